import xxhash from 'xxhash-wasm';
import type { Clock } from '../../ports/Types.js';
import { refusal, Outcome, RefusalReason, type Refusal } from '../Outcome.js';
import type { PartQuarantine } from '../quarantine/PartQuarantine.js';
import type { QuarantinedPart } from '../quarantine/Types.js';
import type { Configuration } from '../tickets/Configuration.js';
import { ObjectKind } from '../tickets/Types.js';
import type { StreamRequest } from './StreamSession.js';
import type { Engine } from './Types.js';

const { h64ToString } = await xxhash();

/** Time within which a server answers a probe, in milliseconds; one that has ended does not. */
const PROBE_TIMEOUT_MS = 100;

/** Minimum retry-after delay of a quarantined prompt, in milliseconds. */
const MIN_DELAY_MS = 2000;

export interface PromptQuarantineDependencies {
  readonly clock: Clock;
  readonly engine: Engine;
  readonly configuration: Configuration;
  readonly quarantine: PartQuarantine;
}

/** Holds back prompts under which servers crash. Callers state no parts, so a prompt counts as a whole. */
export class PromptQuarantine {
  public constructor(private readonly dependencies: PromptQuarantineDependencies) {}

  /** Returns the refusal of a request that may not be queued; undefined if it may. */
  public refuseNew(request: Pick<StreamRequest, 'pipeline' | 'prompt'>): Refusal | undefined {
    const { quarantine, clock } = this.dependencies;
    const [found] = quarantine.find([partOf(request)]);
    if (found === undefined || found.heldUntil <= clock.now()) return undefined;
    return this.refusalOf(found, Outcome.NotRun);
  }

  /**
   * Returns the refusal of a request that may not be sent to a server; undefined if it may.
   * @param outcome - outcome of the request so far
   */
  public refuseSend(request: StreamRequest, outcome: Outcome): Refusal | undefined {
    const found = this.dependencies.quarantine.refuse([partOf(request)]);
    return found && this.refusalOf(found, outcome);
  }

  /** Records that a server answered a request. */
  public recordAnswer(request: StreamRequest): void {
    this.dependencies.quarantine.recordAnswer([partOf(request)]);
  }

  /** Records a crash if a server has ended that had not begun to answer a request. */
  public async examineLoss(request: StreamRequest, server: string): Promise<void> {
    const { engine, configuration, quarantine, clock } = this.dependencies;
    const address = configuration.state(ObjectKind.BackendServer, server)?.address;
    if (address === undefined) return;
    const lostAt = clock.now();
    try {
      await engine.probe(address, PROBE_TIMEOUT_MS);
    } catch {
      // Tickets do not tell one process of a server from the next, so the time of the loss does.
      quarantine.recordCrash(server, lostAt, [partOf(request)]);
    }
  }

  private refusalOf({ heldUntil, crashes }: QuarantinedPart, outcome: Outcome): Refusal {
    if (outcome === Outcome.NotRun) {
      return refusal(
        outcome,
        RefusalReason.Quarantined,
        `Servers crashed under this prompt, ${crashes} of them lately. Change the prompt, or retry after the delay given in Retry-After.`,
        Math.max(MIN_DELAY_MS, heldUntil - this.dependencies.clock.now()),
      );
    }
    return refusal(
      outcome,
      RefusalReason.Withdrawn,
      `Servers crashed under this prompt, ${crashes} of them lately, so it is not sent again. Check the effect of the request and change the prompt before retrying it.`,
    );
  }
}

function partOf({ pipeline, prompt }: Pick<StreamRequest, 'pipeline' | 'prompt'>): string {
  return `${pipeline}/${h64ToString(prompt)}`;
}
