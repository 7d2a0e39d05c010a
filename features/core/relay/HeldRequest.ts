/** One request in hand at a relay, with a fleet and a configuration that change under it. */
import { RouteKind, type Deployment } from '../../../src/core/deployment/Types.js';
import { RelayDispatcher } from '../../../src/core/relay/RelayDispatcher.js';
import { CallFailure, RerouteStatus, type RerouteAnswer } from '../../../src/core/relay/Types.js';
import { WorkReservation } from '../../../src/core/routing/WorkReservation.js';
import { FakeCaller } from '../FakeCaller.js';
import type { RecordedCall } from '../FakeServers.js';
import {
  answerHead,
  backendServer,
  deployment,
  ENGINE_SERVICE,
  RelayFixture,
  route,
} from '../FleetFixture.js';

/** Time-out of all routes, in milliseconds. */
export const TIMEOUT_MS = 3000;

/** Time for which a request may wait for room: an eighth of the objective, in milliseconds. */
export const WAIT_MS = 500;

/** Number of events of a whole stream. */
const EVENTS = 4;

/** Events of a stream when the change comes. */
const EVENTS_BEFORE = 2;

const EVENT_INTERVAL_MS = 20;

/** Tokens that take all memory of a server. */
const ALL_TOKENS = 400_000;

/** The services of the first configuration; `other` and `other-engine` have no route yet. */
const SERVICES = new Map([
  ['engine', ENGINE_SERVICE],
  ['other-engine', { ...ENGINE_SERVICE, name: 'other-engine' }],
  ['plain', { name: 'plain', engine: undefined }],
  ['other', { name: 'other', engine: undefined }],
]);

const ACCOUNTS = [
  { name: 'account', keys: ['key'], rank: 2 },
  { name: 'urgent', keys: ['urgent-key'], rank: 0 },
];

/** Returns the configuration under which the request is accepted. */
export function firstDeployment(): Deployment {
  const common = { isPublic: false, timeoutMs: TIMEOUT_MS, maxServers: 3 };
  const plain = { ...common, resumable: false, shares: [{ service: 'plain', weight: 1 }] };
  const routes = [
    route({ ...common, name: 'stream', prefix: '/stream/', objectiveMs: WAIT_MS * 8 }),
    route({ ...plain, name: 'book', prefix: '/book/', kind: RouteKind.NonIdempotent }),
    route({ ...plain, name: 'read', prefix: '/read/', kind: RouteKind.Idempotent }),
  ];
  return deployment(routes, { services: SERVICES, accounts: ACCOUNTS });
}

export class HeldRequest {
  public readonly fixture = new RelayFixture();

  public readonly caller = new FakeCaller();

  private readonly dispatcher: RelayDispatcher;

  private readonly answeredCalls = new Set<RecordedCall>();

  private eventsSent = 0;

  private takenRoom: WorkReservation[] = [];

  private answerReroute: ((answer: RerouteAnswer) => void) | undefined;

  public constructor() {
    const { deployments, directory, servers, dependencies } = this.fixture;
    deployments.applyIfNewer(firstDeployment());
    for (const number of [1, 2, 3, 4]) {
      const whole = { accelerator: 'whole' };
      directory.put(backendServer(`first-${number}`, { ...whole, span: { from: 0, to: 40 } }));
      directory.put(backendServer(`later-${number}`, { ...whole, span: { from: 40, to: 80 } }));
      directory.put(backendServer(`plain-${number}`, { service: 'plain' }));
      directory.put(backendServer(`other-${number}`, { service: 'other' }));
    }
    const reroute = servers.reroute.bind(servers);
    // The first reroute is answered by the test, later ones are accepted.
    servers.reroute = async (...order) => {
      const accepted = await reroute(...order);
      if (this.answerReroute !== undefined) return accepted;
      return new Promise((resolve) => {
        this.answerReroute = resolve;
      });
    };
    this.dispatcher = new RelayDispatcher(dependencies);
  }

  /** Accepts the request on one of the routes. */
  public accept(path: string): void {
    const prompt = path === '/stream/' ? this.fixture.request().prompt : undefined;
    this.dispatcher.accept(this.fixture.request({ path, prompt, apiKey: 'key' }), this.caller);
  }

  public async run(ms: number): Promise<void> {
    const { clock } = this.fixture;
    await clock.runUntil(clock.now() + ms);
  }

  /** Takes all memory of the engine's servers. */
  public takeRoom(): void {
    const { directory, load } = this.fixture;
    for (const { record } of directory.all()) {
      const { id, address, span } = record;
      if (span === undefined) continue;
      const stages = [{ server: id, address, ...span }];
      this.takenRoom.push(new WorkReservation(load, stages, ALL_TOKENS, 0));
    }
  }

  public freeRoom(): void {
    for (const taken of this.takenRoom) taken.dispose();
  }

  /** Sends the next events of the stream from the server of the last send. */
  public async stream(count: number): Promise<void> {
    const made = this.beginAnswer();
    for (let sent = 0; sent < count; sent += 1) {
      await this.run(EVENT_INTERVAL_MS);
      this.eventsSent += 1;
      made.listener.onData(Buffer.from(`id: ${this.eventsSent}\ndata: ${this.eventsSent}\n\n`));
    }
  }

  public async beginStream(): Promise<void> {
    await this.stream(EVENTS_BEFORE);
  }

  /** Sends the rest of the answer from the server of the last send. */
  public async finishAnswer(): Promise<void> {
    const made = this.beginAnswer();
    if (made.call.stages.length > 0) await this.stream(EVENTS - this.eventsSent);
    else made.listener.onData(Buffer.from('data: 1\n\n'));
    made.listener.onEnd();
  }

  public lose(): void {
    this.fixture.servers.lastCall.listener.onFailure(CallFailure.ConnectionLost);
  }

  /** Lets a later server of the stream fall silent, and runs until the first one is asked for a reroute. */
  public async startReroute(): Promise<void> {
    const { servers } = this.fixture;
    servers.silent.add(this.laterServer);
    for (let tries = 0; this.answerReroute === undefined && tries < 100; tries += 1)
      await this.run(EVENT_INTERVAL_MS);
  }

  public async endReroute(status: RerouteStatus): Promise<void> {
    this.answerReroute?.({ status });
    await this.run(0);
  }

  public get firstServer(): string {
    return this.fixture.servers.lastCall.call.server.id;
  }

  public get laterServer(): string {
    return this.fixture.servers.lastCall.call.stages[1].server;
  }

  /** Digits of the events that the caller has. */
  public get text(): string {
    return [...this.caller.text.matchAll(/data: (\d+)/g)].map(([, digits]) => digits).join('');
  }

  private beginAnswer(): RecordedCall {
    const made = this.fixture.servers.lastCall;
    if (!this.answeredCalls.has(made)) made.listener.onHead(answerHead());
    this.answeredCalls.add(made);
    return made;
  }
}
