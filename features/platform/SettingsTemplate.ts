/** Fills in the settings template of the deploy file as the users' platform does. */
import { readFileSync } from 'node:fs';

const TEMPLATE_FILE = 'deploy/settings.yaml';

const SECTION = /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g;

const PLACEHOLDER = /\{\{([\w.]+)(\|json)?\}\}/g;

/** Fields of the platform; tables may hold tables and lists. */
export type PlatformFields = Readonly<Record<string, unknown>>;

/** Looks a dotted name up in the innermost scope that has it; `.` is the innermost scope itself. */
function lookUp(scopes: readonly unknown[], name: string): unknown {
  if (name === '.') return scopes[0];
  for (const scope of scopes) {
    let value = scope;
    for (const step of name.split('.')) value = (value as PlatformFields | undefined)?.[step];
    if (value !== undefined) return value;
  }
  return undefined;
}

function renderPlaceholder(value: unknown, isJson: boolean): string {
  if (isJson) return JSON.stringify(value ?? null);
  if (value === undefined) return '';
  if (Array.isArray(value)) return value.join(',');
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Renders sections, each with its entry as the innermost scope, and then the placeholders outside of them. */
function renderText(text: string, scopes: readonly unknown[]): string {
  const flat = text.replace(SECTION, (_match, kind: string, name: string, inner: string) => {
    const value = lookUp(scopes, name);
    const isAbsent = value === undefined || value === false;
    if (kind === '^') return isAbsent ? renderText(inner, scopes) : '';
    if (isAbsent) return '';
    if (!Array.isArray(value)) return renderText(inner, scopes);
    let rendered = '';
    for (const [index, entry] of value.entries()) {
      const separator = index + 1 < value.length ? ',' : '';
      rendered += renderText(inner.replaceAll('{{,}}', separator), [entry, ...scopes]);
    }
    return rendered;
  });
  return flat.replace(PLACEHOLDER, (_match, name: string, json?: string) =>
    renderPlaceholder(lookUp(scopes, name), json !== undefined),
  );
}

/** Returns the settings of a router for the platform's fields of its machine. */
export function renderSettings(fields: PlatformFields): string {
  return renderText(readFileSync(TEMPLATE_FILE, 'utf8'), [fields]);
}
