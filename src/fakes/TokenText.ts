/**
 * The answers of the fake model. They depend only on the first `HASHED_CHARACTERS` characters of the
 * prompt, so any test can check them.
 */

const WORDS = [
  'birch',
  'rib',
  'glue',
  'frame',
  'lid',
  'jar',
  'seal',
  'paper',
  'lamp',
  'thread',
  'cure',
  'press',
];

const STRIDE = 7919;
const MULTIPLIER = 31;
const MODULUS = 1_000_003;
const HASHED_CHARACTERS = 64;

/** Text of token `index` of the answer to `prompt`. */
export function tokenText(prompt: string, index: number): string {
  let sum = index * STRIDE;
  const end = Math.min(prompt.length, HASHED_CHARACTERS);
  for (let at = 0; at < end; at += 1) sum = (sum * MULTIPLIER + prompt.charCodeAt(at)) % MODULUS;
  return ` ${WORDS[sum % WORDS.length]}`;
}

/** The whole answer of `tokens` tokens. */
export function answerText(prompt: string, tokens: number): string {
  let text = '';
  for (let index = 0; index < tokens; index += 1) text += tokenText(prompt, index);
  return text;
}
