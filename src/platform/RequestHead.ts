/** Reads the head of a caller's request. */
import type { IncomingMessage } from 'node:http';
import type { CallerRequest, PromptSize } from '../core/relay/Types.js';
import { HEADER } from './WireNames.js';

const KEY_SCHEME = 'token ';

/** Memory that a name or a value of a header takes besides its bytes, in Node's lists and in our copies, in bytes. */
const HEADER_STRING_BYTES = 96;

/** Returns a header that came once. */
export function header(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
}

/** Memory that the head of a request takes, in bytes. */
export function headBytes({ rawHeaders, url = '' }: IncomingMessage): number {
  return rawHeaders.length * HEADER_STRING_BYTES + url.length;
}

/** Returns the API key; undefined if there is none. */
export function readKey(request: IncomingMessage): string | undefined {
  const value = header(request, 'authorization');
  if (value === undefined || !value.toLowerCase().startsWith(KEY_SCHEME)) return undefined;
  return value.slice(KEY_SCHEME.length).trim();
}

/** Returns the size of the prompt; undefined if the request states none. */
export function readPrompt(request: IncomingMessage): PromptSize | undefined {
  const [prompt, answer] = (header(request, HEADER.tokens) ?? '').split(',').map(Number);
  if (!(prompt >= 0) || !(answer >= 0)) return undefined;
  const estimate = Number(header(request, HEADER.answerEstimate));
  return {
    promptTokens: prompt,
    maxAnswerTokens: answer,
    ...(estimate > 0 && Number.isFinite(estimate) && { expectedAnswerTokens: estimate }),
  };
}

/** Maximum number of prompt parts that are read from a request. */
const MAX_PROMPT_PARTS = 32;

/** Returns the ids of the prompt's parts: the last one, which no other caller's request has, and the others. */
export function readPromptParts(
  request: IncomingMessage,
): Pick<CallerRequest, 'sharedPromptParts' | 'ownPromptPart'> {
  const value = header(request, HEADER.promptParts);
  if (value === undefined) return { sharedPromptParts: [], ownPromptPart: undefined };
  const ids = value.split(',', MAX_PROMPT_PARTS).map((part) => part.split(':', 1)[0].trim());
  return {
    sharedPromptParts: ids.slice(0, -1).filter((id) => id !== ''),
    ownPromptPart: ids.at(-1),
  };
}
