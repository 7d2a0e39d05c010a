import { AnswerVerdict, judgeAnswer, type RepeatPolicy } from './AnswerGate.js';
import type { Attempt } from './Attempt.js';
import type { AssignedRequest, RelayDependencies } from './RelayDependencies.js';
import { CallFailure, type AnswerHead } from './Types.js';

/** Records what the answers to one request say about its servers and its inputs. */
export class AnswerRecorder {
  private isProven = false;

  public constructor(
    private readonly dependencies: RelayDependencies,
    private readonly assigned: AssignedRequest,
  ) {}

  /** Whether a server has answered the request, so that it is not what crashes servers. */
  public get hasAnswer(): boolean {
    return this.isProven;
  }

  /** Records that a server has answered the request, so that its inputs are sound. */
  public recordAnswer(): void {
    if (this.isProven) return;
    this.isProven = true;
    this.dependencies.quarantine.recordAnswer(this.assigned.inputs);
  }

  /** Judges an answer by its head, and logs why it must not reach the caller if that is so. */
  public judge(attempt: Attempt, head: AnswerHead, policy: RepeatPolicy): void {
    this.recordHead(attempt, head);
    const { verdict, reason } = judgeAnswer(head, policy);
    Object.assign(attempt, { head, verdict });
    if (verdict !== AnswerVerdict.Discard) return;
    const { id } = this.assigned.request;
    const { server } = attempt;
    const { status } = head;
    const { decisions } = this.dependencies;
    decisions.record('answer-discarded', { id, server, reason, status, policy });
  }

  /** Records what the head of an answer says about its server. */
  private recordHead({ process }: Attempt, head: AnswerHead): void {
    const { signed, notExecuted, misdirected, requestsPerSecond } = head;
    // Other heads may not be the server's own.
    if (misdirected || !(signed || notExecuted)) return;
    this.dependencies.serverLimits.recordAnswer(process, requestsPerSecond);
  }

  /**
   * Finds the server that a rejection blames and withholds new work from it: for a short time, or, if it is
   * not the expected one or does not hold its layers, until its entry shows layers again.
   * @param sends - number of sends so far
   * @returns the id of the server
   */
  public blame(attempt: Attempt, head: AnswerHead, sends: number): string {
    const { directory, decisions } = this.dependencies;
    const { id } = this.assigned.request;
    const { server, stages } = attempt;
    const { status, blamedAddress, misdirected } = head;
    const blamed = this.serverAt(attempt, blamedAddress) ?? server;
    const isNamed = blamedAddress !== undefined || stages.length <= 1;
    if (misdirected) directory.clearSpan(blamed);
    else this.recordRejection(attempt, blamed, isNamed);
    decisions.record('turned-away', { id, server, blamed, status, sends });
    return blamed;
  }

  /**
   * Finds the server at an address. The route is searched before the directory, because the address may
   * belong to another server by now.
   */
  private serverAt({ stages }: Attempt, address: string | undefined): string | undefined {
    if (address === undefined) return undefined;
    const stage = stages.find((known) => known.address === address);
    return stage?.server ?? this.dependencies.directory.findByAddress(address)?.record.id;
  }

  /**
   * Logs the loss of a call, and has it examined whether the request crashed the server.
   * @param hasBegun - whether the server had begun the answer
   * @param sends - number of sends so far
   */
  public recordLoss(server: string, failure: CallFailure, hasBegun: boolean, sends: number): void {
    const { crashWitness, decisions } = this.dependencies;
    const { request, inputs } = this.assigned;
    if (failure === CallFailure.ConnectionLost && !this.isProven)
      crashWitness.examineLoss(server, inputs);
    decisions.record('lost', {
      id: request.id,
      server,
      failure,
      hasBegun,
      sends,
      inputs: inputs.join(','),
    });
  }

  /**
   * Records that the servers of an attempt have begun or given its answer.
   * @param isGood - whether the answer shows that they work; a failure may be fast
   */
  public recordAcceptance(attempt: Attempt, servers: readonly string[], isGood: boolean): void {
    const { directory, pace } = this.dependencies;
    for (const server of servers) directory.noteAcceptance(server);
    const trial = attempt.takeTrial();
    if (isGood && trial !== undefined) pace.recordAnswer(trial);
  }

  /**
   * Records that a server rejected the request.
   * @param isNamed - whether it is known to be the one at fault
   */
  public recordRejection({ currentTrial }: Attempt, id: string, isNamed: boolean): void {
    const { directory, serverAdmission, pace } = this.dependencies;
    const server = directory.get(id);
    // A server that asked for a pause is neither full nor declining.
    if (server !== undefined && !serverAdmission.isHeldBack(server)) directory.noteRejection(id);
    if (isNamed && currentTrial !== undefined) pace.recordRejection(currentTrial, id);
  }
}
