/** What is done with a peer's word of a server's pace. */
import type { PacedServer } from './PacedServer.js';
import { PaceCause, type SharedPace } from './Types.js';

export enum MergeStep {
  Ignore = 'ignore',
  /** The peer has missed the end. */
  RepeatEnd = 'repeat-end',
  End = 'end',
  Widen = 'widen',
  Adopt = 'adopt',
}

/**
 * Compares a peer's word with what is known of the same process of a server.
 * @param answersHere - whether the server has answered this instance within the time of a report
 */
export function judgeWord(
  { generation, window, isPaced }: PacedServer,
  shared: SharedPace,
  answersHere: boolean,
): MergeStep {
  const { isEnded = false } = shared;
  if (shared.generation < generation || (shared.generation === generation && !isPaced))
    return isPaced || isEnded || generation === 0 ? MergeStep.Ignore : MergeStep.RepeatEnd;
  if (isEnded) return MergeStep.End;
  if (shared.generation === generation)
    return shared.window > window ? MergeStep.Widen : MergeStep.Ignore;
  // A peer that suspected a server, or heard late of it, says nothing of one that answers here.
  const isPeersAlone = shared.cause === PaceCause.Recovered || generation === 0;
  return isPeersAlone && !isPaced && answersHere ? MergeStep.Ignore : MergeStep.Adopt;
}
