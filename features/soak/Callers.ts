/** Callers that keep using one open connection until a request gets no answer, then use the next instance. */
import { Agent, request as httpRequest, type IncomingMessage } from 'node:http';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import type { SeededRandom } from '../../src/fakes/SeededRandom.js';
import { RoutePath } from '../platform/SampleConfiguration.js';
import {
  EVENTS_PER_LONG_STREAM,
  EVENTS_PER_STREAM,
  LONG_STREAM_HEADER,
} from '../platform/FakeBackendServer.js';
import { pause } from '../platform/Ports.js';
import type { Attempt } from './GuaranteeChecker.js';
import type { RouterProcess } from './RouterProcess.js';

/** Deadline of each attempt, in milliseconds. */
const DEADLINE_MS = 3000;

/** Deadline of each attempt where servers fall silent: for a long stream, a silence in it and one more, in milliseconds. */
export const PATIENT_DEADLINE_MS = 10_000;

/** A caller closes a connection after a silence of its deadline plus this time, in milliseconds. */
const TIMEOUT_SLACK_MS = 500;

/** Share of the attempts that use the most recently revoked key. */
const REVOKED_KEY_SHARE = 0.15;

/** Every this many attempts, one has the crashing part. */
const CRASHING_INTERVAL = 5;

/** Every this many attempts of patient callers, one asks for a long stream. */
const LONG_STREAM_INTERVAL = 2;

const PATHS = Object.values(RoutePath);

interface Caller {
  readonly agent: Agent;
  router: RouterProcess;
}

export class Callers {
  public readonly attempts: Attempt[] = [];

  /** Keys that callers use; the last one is valid. */
  public keys = ['key-1'];

  /** Part that the prompts of some streams have; none if undefined. */
  public crashingPart: string | undefined;

  private attemptCount = 0;

  private isStopped = false;

  private loops: Promise<void>[] = [];

  /** @param isPatient - whether deadlines are `PATIENT_DEADLINE_MS`, and some streams are long */
  public constructor(
    private readonly routers: readonly RouterProcess[],
    private readonly random: SeededRandom,
    private readonly isPatient: boolean,
  ) {}

  public start(callers: number): void {
    for (let index = 0; index < callers; index += 1) {
      const agent = new Agent({ keepAlive: true, maxSockets: 1 });
      this.loops.push(this.loop({ agent, router: this.routers[index % this.routers.length] }));
    }
  }

  public async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.loops);
  }

  /** Sends one attempt with a valid key, for a short answer, on a connection of its own. */
  public probe(router: RouterProcess, path: string): Promise<Attempt> {
    return this.send(router, path);
  }

  /**
   * Sends one attempt and records its result.
   * @param agent - holds the caller's connection; undefined for a probe
   */
  private send(router: RouterProcess, path: string, agent?: Agent): Promise<Attempt> {
    this.attemptCount += 1;
    const id = `a${this.attemptCount}`;
    const isProbe = agent === undefined;
    const usesRevokedKey = this.keys.length > 1 && this.random.chance(REVOKED_KEY_SHARE);
    const key = this.keys.at(usesRevokedKey && !isProbe ? -2 : -1) as string;
    const deadlineMs = this.isPatient ? PATIENT_DEADLINE_MS : DEADLINE_MS;
    const isLong = this.isPatient && !isProbe && this.attemptCount % LONG_STREAM_INTERVAL === 0;
    const sentAt = performance.now();
    return new Promise((resolve) => {
      let isDone = false;
      let isConnected = false;
      const finish = (response: IncomingMessage | undefined, body: string): void => {
        if (isDone) return;
        isDone = true;
        const attempt = {
          id,
          instance: router.name,
          path,
          key,
          sentAt,
          deadlineMs,
          events: isLong ? EVENTS_PER_LONG_STREAM : EVENTS_PER_STREAM,
          endedAt: performance.now(),
          isConnected,
          status: response?.statusCode ?? 0,
          isSigned: response?.headers['x-server-seal'] === 'seal',
          isComplete: response?.complete ?? false,
          body,
        };
        this.attempts.push(attempt);
        resolve(attempt);
      };
      const outgoing = httpRequest(
        {
          ...hostAndPort(router.callersAddress),
          method: 'POST',
          path: `${path}${id}`,
          agent: agent ?? false,
          timeout: deadlineMs + TIMEOUT_SLACK_MS,
          headers: {
            host: 'host',
            'x-attempt-id': id,
            'x-deadline-ms': String(deadlineMs),
            'x-token-count': '800,24',
            'x-prompt-prefix': this.promptOf(this.attemptCount),
            ...(isLong && { [LONG_STREAM_HEADER]: '1' }),
            authorization: `Token ${key}`,
          },
        },
        (response) => {
          let body = '';
          response.on('data', (chunk: Buffer) => {
            body += chunk.toString();
          });
          response.on('error', () => undefined);
          response.once('close', () => finish(response, body));
        },
      );
      outgoing.once('socket', (socket) => {
        isConnected = !socket.connecting;
        if (isConnected) return;
        socket.once('connect', () => {
          isConnected = true;
        });
      });
      outgoing.once('timeout', () => outgoing.destroy());
      outgoing.once('error', () => finish(undefined, ''));
      outgoing.end('body');
    });
  }

  /** Returns the parts of the prompt of an attempt; all prompts share the first one. */
  private promptOf(attempt: number): string {
    const hasCrashingPart = this.crashingPart !== undefined && attempt % CRASHING_INTERVAL === 0;
    return [
      'shared:400',
      ...(hasCrashingPart ? [`${this.crashingPart}:100`] : []),
      `own-${attempt}:300`,
    ].join(',');
  }

  private async loop(caller: Caller): Promise<void> {
    while (!this.isStopped) {
      const path = this.random.pick(PATHS);
      const { status } = await this.send(caller.router, path, caller.agent);
      if (status === 0) caller.router = this.nextRouter(caller.router);
      await pause(this.random.between(10, 60));
    }
    caller.agent.destroy();
  }

  private nextRouter(router: RouterProcess): RouterProcess {
    const next = (this.routers.indexOf(router) + 1) % this.routers.length;
    return this.routers[next];
  }
}
