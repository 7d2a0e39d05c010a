/**
 * Models an answer of three tokens over up to three successive epochs, one for each route; frames may
 * be late, duplicated or out of order.
 */
import { TokenAssembler, TokenVerdict } from '../src/core/streams/TokenAssembler.js';
import type { Model } from './Checker.js';

interface Frame {
  readonly epoch: number;
  readonly index: number;
}

interface State {
  readonly epoch: number;
  /** Delivered tokens, each with the epoch of its frame, in order of delivery. */
  readonly delivered: readonly Frame[];
  /** Frames that the assembler holds until an earlier one arrives. */
  readonly held: readonly Frame[];
  /** Frames in transit; a frame may arrive twice. */
  readonly frames: readonly Frame[];
  /** Index of the next token that the engine of each epoch generates. */
  readonly nextIndexes: readonly number[];
  /** Index at which each epoch was resumed. */
  readonly resumedAt: readonly number[];
  readonly duplicates: number;
}

const TOKENS = 3;
const MAX_EPOCH = 3;
const MAX_DUPLICATES = 1;
const UNUSED = -1;

/** Sorts frames so that equivalent states are equal. */
function sortFrames(frames: readonly Frame[]): Frame[] {
  return [...frames].sort((a, b) => a.epoch - b.epoch || a.index - b.index);
}

/** Rebuilds the router's token assembler for a state. */
function assemblerOf(state: State, onDeliver: (index: number) => void): TokenAssembler {
  let live = false;
  const assembler = new TokenAssembler((_text, index) => {
    if (live) onDeliver(index);
  });
  for (let index = 0; index < state.delivered.length; index += 1) assembler.accept(1, index, '');
  while (assembler.epoch < state.epoch) assembler.raiseEpoch();
  for (const { epoch, index } of state.held) assembler.accept(epoch, index, '');
  live = true;
  return assembler;
}

function receiveFrame(state: State, at: number, isBroken: boolean): State {
  const frame = state.frames[at];
  const delivered: number[] = [];
  const assembler = assemblerOf(state, (index) => delivered.push(index));
  const epoch = isBroken ? state.epoch : frame.epoch;
  const verdict = assembler.accept(epoch, frame.index, '');
  const frameOf = (index: number): Frame =>
    state.held.find((held) => held.index === index) ?? frame;
  return {
    ...state,
    delivered: [
      ...state.delivered,
      ...delivered.map((index) => ({ epoch: frameOf(index).epoch, index })),
    ],
    held:
      verdict === TokenVerdict.Held
        ? sortFrames([...state.held, frame])
        : state.held.filter((held) => !delivered.includes(held.index)),
  };
}

function raiseEpoch(state: State): State {
  const assembler = assemblerOf(state, () => {});
  const resumeAt = assembler.raiseEpoch();
  const at = assembler.epoch - 1;
  return {
    ...state,
    epoch: assembler.epoch,
    held: [],
    nextIndexes: state.nextIndexes.map((next, index) => (index === at ? resumeAt : next)),
    resumedAt: state.resumedAt.map((from, index) => (index === at ? resumeAt : from)),
  };
}

/**
 * Generates one token at the engine of an epoch. The engine of an earlier epoch may generate tokens too,
 * because it continues until its cancellation arrives.
 */
function generateToken(state: State, epoch: number): State {
  const index = state.nextIndexes[epoch - 1];
  return {
    ...state,
    nextIndexes: state.nextIndexes.map((next, at) => (at === epoch - 1 ? next + 1 : next)),
    frames: sortFrames([...state.frames, { epoch, index }]),
  };
}

export const streamModel: Model<State> = {
  name: 'stream recovery',
  defect: 'the assembler ignores the epoch',
  initial: {
    epoch: 1,
    delivered: [],
    held: [],
    frames: [],
    nextIndexes: [0, UNUSED, UNUSED],
    resumedAt: [0, UNUSED, UNUSED],
    duplicates: 0,
  },
  invariants: {
    'each index is delivered once, in order': ({ delivered }) =>
      delivered.every(({ index }, at) => index === at),
    'each token comes from the last epoch resumed at or before its index': ({
      delivered,
      resumedAt,
    }) =>
      delivered.every(({ epoch, index }) => {
        const later = resumedAt.slice(epoch).filter((from) => from !== UNUSED);
        return index >= resumedAt[epoch - 1] && later.every((from) => index < from);
      }),
  },
  enabled: (state) => {
    const events: string[] = [];
    for (const [at, next] of state.nextIndexes.entries()) {
      if (next !== UNUSED && next < TOKENS) events.push(`generateToken ${at + 1}`);
    }
    for (const at of state.frames.keys()) {
      events.push(`receiveFrame ${at}`);
      if (state.duplicates < MAX_DUPLICATES) events.push(`receiveDuplicate ${at}`);
    }
    if (state.epoch < MAX_EPOCH && state.delivered.length < TOKENS) events.push('raiseEpoch');
    return events;
  },
  next: (state, event, isBroken) => {
    const [name, subject] = event.split(' ');
    if (name === 'raiseEpoch') return raiseEpoch(state);
    if (name === 'generateToken') return generateToken(state, Number(subject));
    const received = receiveFrame(state, Number(subject), isBroken);
    // The other copy of the frame stays in transit.
    if (name === 'receiveDuplicate') return { ...received, duplicates: state.duplicates + 1 };
    return { ...received, frames: state.frames.filter((_, at) => at !== Number(subject)) };
  },
};
