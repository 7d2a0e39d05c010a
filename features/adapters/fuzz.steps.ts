import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import {
  decodeExchange,
  encodeExchange,
  PeerServiceClient,
  type ExchangeMessage,
} from '../../src/adapters/grpc/PeerProtocol.js';
import { CompletionShape, parseCompletion } from '../../src/adapters/http/CompletionBody.js';
import { FrameDecoder, encodeToken } from '../../src/adapters/http/TokenFrames.js';
import { parseYaml, parseCheckedYaml } from '../../src/adapters/yaml/CheckedYaml.js';
import { parseKeyOrigin } from '../../src/core/claims/KeyMint.js';
import { checkTicket } from '../../src/core/tickets/TicketCheck.js';
import { ENTRY_SETTINGS } from '../../src/entry/Settings.js';

interface FuzzWorld {
  handledCount: number;
  unexpected: string[];
}

type Parser = (input: string, bytes: Buffer) => void;

const YAML_PIECES = [
  'author: a\n',
  'changes:\n',
  '- kind: Pipeline\n',
  '  name: p\n',
  '  state: {layers: 1e99}\n',
  '&a [*a]',
  '"',
  '? ',
  ': ',
  '\t',
  '!!js ',
  '- - -',
  '\u0000',
  '<<: *x\n',
];
const JSON_PIECES = [
  '{"model":',
  '"x"',
  ',"prompt":',
  '[',
  ']',
  '"max_tokens":-1',
  'null',
  '1e999',
  '}',
  '"messages":[{"role":"u","content":',
  '\\ud800',
  '__proto__',
];

const listener = { onToken: () => {}, onEnd: () => {}, onFailure: () => {} };
const frame = encodeToken({
  epoch: 1,
  index: 0,
  text: 'x',
  hops: new Int32Array([0, 4, 1]),
  hopCount: 1,
});

const PARSERS: Readonly<Record<string, Parser>> = {
  ticket: (input) => {
    const parsed = parseYaml(input);
    if (parsed.isOk) checkTicket(parsed.value.value, parsed.value.lineOf);
  },
  settings: (input) => {
    parseCheckedYaml(input, ENTRY_SETTINGS);
  },
  "caller's body": (input) => {
    for (const shape of Object.values(CompletionShape)) parseCompletion(shape, Buffer.from(input));
  },
  'engine frames': (_input, bytes) => {
    try {
      new FrameDecoder(listener).push(Buffer.concat([frame, bytes]));
    } catch (error) {
      assert.ok(error instanceof RangeError);
    }
  },
  'peer message': (_input, bytes) => {
    let message: ExchangeMessage;
    try {
      message = PeerServiceClient.service.Exchange.requestDeserialize(bytes) as ExchangeMessage;
    } catch {
      return;
    }
    try {
      encodeExchange(decodeExchange(message));
    } catch (error) {
      // PeerServer answers every error of a handler with INVALID_ARGUMENT, so decoding may throw here.
      assert.ok(error instanceof SyntaxError || error instanceof TypeError);
    }
  },
  'idempotency key': (input) => {
    parseKeyOrigin(`minted.${input}`);
  },
};

When(
  '{int} random inputs are given to the {string} parser with seed {int}',
  { timeout: 60_000 },
  function run(this: FuzzWorld, runs: number, name: string, seed: number) {
    const pieces = fc.constantFrom(...YAML_PIECES, ...JSON_PIECES);
    const text = fc.oneof(
      fc.string(),
      fc.array(fc.oneof(pieces, fc.string()), { maxLength: 12 }).map((parts) => parts.join('')),
      fc.json(),
    );
    this.handledCount = 0;
    this.unexpected = [];
    for (const input of fc.sample(text, { numRuns: runs, seed })) {
      try {
        PARSERS[name](input, Buffer.from(input, 'latin1'));
        this.handledCount += 1;
      } catch (error) {
        this.unexpected.push(`${JSON.stringify(input)}: ${String(error)}`);
      }
    }
  },
);

Then('each input is accepted or rejected with an expected error', function check(this: FuzzWorld) {
  assert.deepEqual(this.unexpected, []);
  assert.ok(this.handledCount > 0);
});
