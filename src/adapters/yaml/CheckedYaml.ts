/** Parses YAML and checks it against schemas; reports each fault with its line. */
import { LineCounter, parseDocument, type Document } from 'yaml';
import { err, ok, type Result } from 'true-myth/result';
import type { z } from 'zod';
import type { ValidationFault } from '../../core/Failure.js';
import { schemaFaults, type LineFinder } from '../../core/tickets/TicketCheck.js';

/** A parsed document that can find the line of a value. */
export interface ParsedYaml {
  readonly value: unknown;
  readonly lineOf: LineFinder;
}

const MAX_ALIASES = 20;

const SETTINGS_PAGE = 'docs/SETTINGS.md';

const NOT_STATED = 'is not stated';

function createLineFinder(document: Document, lines: LineCounter): LineFinder {
  return (path) => {
    for (let { length } = path; length > 0; length -= 1) {
      const node = document.getIn(path.slice(0, length), true) as
        { range?: [number, number, number] } | undefined;
      if (node?.range !== undefined && node.range !== null)
        return lines.linePos(node.range[0]).line;
    }
    return 1;
  };
}

/** Parses YAML text; returns the faults if it is not valid or expands too many aliases. */
export function parseYaml(text: string): Result<ParsedYaml, readonly ValidationFault[]> {
  const lines = new LineCounter();
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
  if (document.errors.length > 0) {
    return err(
      document.errors.map((error) => ({
        line: error.linePos?.[0].line ?? 0,
        path: '',
        problem: error.message.split('\n')[0] ?? 'not YAML',
        remedy: 'Correct the YAML at this line.',
      })),
    );
  }
  try {
    return ok({
      value: document.toJS({ maxAliasCount: MAX_ALIASES }),
      lineOf: createLineFinder(document, lines),
    });
  } catch (error) {
    return err([
      {
        line: 0,
        path: '',
        problem: (error as Error).message,
        remedy: 'Write the values out without aliases.',
      },
    ]);
  }
}

/**
 * Makes every field that is null undefined, at any depth. Entries of lists stay, and so do the names of the fields,
 * since a schema may refuse those that it does not know. The value may contain itself by an alias.
 */
function clearNulls(root: unknown): void {
  const values = new Set([root]);
  for (const value of values) {
    if (typeof value !== 'object' || value === null) continue;
    const fields = value as Record<string, unknown>;
    for (const [name, field] of Object.entries(fields)) {
      if (field === null && !Array.isArray(value)) fields[name] = undefined;
      else values.add(field);
    }
  }
}

/** States that a field that is needed is missing or null. */
function missingProblem({ code, input }: z.core.$ZodRawIssue): string | undefined {
  return code === 'invalid_type' && input === undefined ? NOT_STATED : undefined;
}

/** Says to state a field that is not stated; which values it accepts is not the question yet. */
function withRemedy(fault: ValidationFault): ValidationFault {
  if (fault.problem !== NOT_STATED) return fault;
  return { ...fault, remedy: `State it: ${SETTINGS_PAGE} says what it is.` };
}

/**
 * Parses the YAML of a settings file and checks it against a schema. A field that is null counts as absent: a template
 * that fills in a file has nothing else to write for a value that it does not know.
 */
export function parseCheckedYaml<S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.output<S>, readonly ValidationFault[]> {
  const parsed = parseYaml(text);
  if (parsed.isErr) return err(parsed.error);
  const value = parsed.value.value ?? undefined;
  clearNulls(value);
  const checked = schema.safeParse(value, { error: missingProblem });
  if (checked.success) return ok(checked.data);
  return err(schemaFaults(checked.error, parsed.value.lineOf, SETTINGS_PAGE).map(withRemedy));
}
