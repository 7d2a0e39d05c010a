/** Reads the deploy file and renders the settings template as the users' platform does. */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { fileURLToPath } from 'node:url';

/** Root of the repository. */
export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '../..');

function readDeployValue(name) {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  const found = new RegExp(`^${name} = "(.*)"$`, 'm').exec(text);
  if (found === null) throw new Error(`deploy/system.toml has no ${name}`);
  return found[1];
}

/** Program and arguments of the command that starts the router. */
export function startCommand() {
  return readDeployValue('run').split(' ');
}

function lookUp(scopes, name) {
  if (name === '.') return scopes[0];
  for (const scope of scopes) {
    let value = scope;
    for (const step of name.split('.')) value = value?.[step];
    if (value !== undefined) return value;
  }
  return undefined;
}

/** Renders sections first, and then the placeholders outside of them. */
function renderText(text, scopes) {
  const withoutSections = text.replace(
    /\{\{([#^])([\w.]+)\}\}([\s\S]*?)\{\{\/\2\}\}/g,
    (_match, kind, name, inner) => {
      const value = lookUp(scopes, name);
      const isAbsent = value === undefined || value === false;
      if (kind === '^') return isAbsent ? renderText(inner, scopes) : '';
      if (isAbsent) return '';
      if (!Array.isArray(value)) return renderText(inner, scopes);
      return value
        .map((item, index) => {
          const separator = index + 1 < value.length ? ',' : '';
          return renderText(inner.replaceAll('{{,}}', separator), [item, ...scopes]);
        })
        .join('');
    },
  );
  return withoutSections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_match, name, asJson) => {
    const value = lookUp(scopes, name);
    if (asJson !== undefined) return JSON.stringify(value ?? null);
    return value === undefined ? '' : String(value);
  });
}

/** Returns the router's settings for the platform's fields of one machine. */
export function renderSettings(fields) {
  const template = readFileSync(path.join(ROOT, readDeployValue('template')), 'utf8');
  return renderText(template, [fields]);
}
