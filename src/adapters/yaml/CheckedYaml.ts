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

/** Parses the YAML of a settings file and checks it against a schema. */
export function parseCheckedYaml<S extends z.ZodType>(
  text: string,
  schema: S,
): Result<z.output<S>, readonly ValidationFault[]> {
  const parsed = parseYaml(text);
  if (parsed.isErr) return err(parsed.error);
  const checked = schema.safeParse(parsed.value.value);
  return checked.success
    ? ok(checked.data)
    : err(schemaFaults(checked.error, parsed.value.lineOf, SETTINGS_PAGE));
}
