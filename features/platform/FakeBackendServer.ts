/** A fake backend server that follows the platform's published protocol. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { LAYERS } from './SampleConfiguration.js';
import { pause } from './Ports.js';
import { resetConnection } from './Sockets.js';
import type { FakeStore } from './FakeStore.js';

/**
 * How the server answers requests. Streams are complete in every style but `Rejected`, the endless ones, and
 * those whose names say that they are not.
 */
export enum AnswerStyle {
  Whole = 'whole',
  /** Without a length; the end of the connection ends the answer. */
  Unframed = 'unframed',
  /** Without a length, and the connection is reset in the middle. */
  UnframedReset = 'unframed and reset',
  /** Without a length, and the connection ends inside an event; streams only. */
  EndsInsideEvent = 'unframed, ending inside an event',
  /** Without a length, and the connection ends before the first event; streams only. */
  EndsBeforeEvents = 'unframed, ending before the first event',
  /** Without a length, and the connection is reset after an event; streams only. */
  ResetAfterEvent = 'unframed, reset after an event',
  /** Complete, but with the id of another request. */
  OfAnotherRequest = 'of another request',
  /** Rejected, stating that the request did not run. */
  Rejected = 'rejected',
  /** The connection ends before the announced length. */
  Truncated = 'truncated',
  /** Complete, with `PART_INTERVAL_MS` between its two parts; plain services only. */
  InTwoParts = 'in two parts',
  /** Complete, but a header's name has a space, which Node's parser takes in and its writer does not send. */
  SpacedHeaderName = "with a space in a header's name",
  /** Complete, but a header's name has a control byte. */
  ControlInHeaderName = "with a control byte in a header's name",
  /** Complete, but with a status that HTTP does not have. */
  StatusZero = 'with status 000',
  StatusBelowHttp = 'with status 099',
  StatusBeyondHttp = 'with status 600',
  /** With status 101, as if the request had asked for another protocol. */
  SwitchesProtocol = 'with status 101',
  /** With a transfer coding that is not known, so that the marks of its parts are in the body. */
  UnknownCoding = 'in an unknown transfer coding',
  /** The connection ends inside a header. */
  EndsInsideHead = 'ending inside its head',
  /** The connection ends after the last header, before the empty line. */
  EndsBeforeBody = 'ending before the end of its head',
  /** The last rejection on the connection once more, then the answer. */
  RepeatedRejection = 'an earlier rejection once more',
  /** As before, but the repeated rejection does not say to which request it belongs. */
  RepeatedAnonymousRejection = 'an earlier rejection once more, without an id',
  /** As before, but the repeated rejection lacks its first byte. */
  RepeatedCutRejection = 'an earlier rejection once more, without its first byte',
  /** The answer to a request that resumes a stream is a failure of the server. */
  FailsToResume = 'a failure when a stream is resumed',
  /** As before, but with a status that HTTP does not have. */
  ResumesWithStatusZero = 'status 000 when a stream is resumed',
  /** The answer to a request that resumes a stream is complete, but a header's name has a space. */
  ResumesWithSpacedName = "a space in a header's name when a stream is resumed",
  /** The answer to a request that resumes a stream is an unsigned failure. */
  FailsToResumeUnsigned = 'an unsigned failure when a stream is resumed',
  /** As before, but within a successful answer without a length. */
  FailsWithinResumed = 'the head and text of a failure within a resumed stream',
  /** A resumed stream skips an event. */
  SkipsEvent = 'an event too few when a stream is resumed',
  /** An event every `SLOW_EVENT_INTERVAL_MS`; streams only. */
  Slow = 'slow, but sound',
  /** After four events, a byte of the next one now and then; streams only. */
  Drips = 'a byte now and then',
  EndlessLineEnds = 'endless line ends',
  EndlessInterimAnswers = 'endless interim answers',
  EndlessHeaders = 'endless headers',
  EndlessBody = 'endless body',
  EndlessChunkSize = 'endless chunk size',
  EndlessEvent = 'endless event',
  EndlessEvents = 'endless events',
}

/** Header with which a request asks for a large answer. */
export const LARGE_ANSWER_HEADER = 'x-test-answer';

/** Announced size of a large answer, in bytes. */
export const LARGE_ANSWER_BYTES = 8_000_000;

/** Bytes of a large answer that are sent, by what the request asks for. */
const LARGE_ANSWERS: Readonly<Record<string, number>> = {
  whole: LARGE_ANSWER_BYTES,
  'stops inside': 7_500_000,
  'stops before its body': 0,
};

/** Sends a large answer, or the first part of it and then nothing. */
function sendLargeAnswer(socket: Socket, id: string, sentBytes: number): void {
  socket.write(`${signedHead(id)}content-length: ${LARGE_ANSWER_BYTES}\r\n\r\n`);
  socket.write(Buffer.alloc(sentBytes, 'x'));
}

/** Returns the status line and the headers that every answer of a server has. */
function signedHead(id: string, status = '200'): string {
  return `HTTP/1.1 ${status} OK\r\nx-attempt-id: ${id}\r\nx-server-seal: seal\r\n`;
}

/** Heads that Node would refuse to send, by the request's id. */
const SPOILT_HEADS: Partial<Record<AnswerStyle, (id: string) => string>> = {
  [AnswerStyle.SpacedHeaderName]: (id) => `${signedHead(id)}content type: text/plain\r\n`,
  [AnswerStyle.ControlInHeaderName]: (id) => `${signedHead(id)}content\u0001type: text/plain\r\n`,
  [AnswerStyle.StatusZero]: (id) => signedHead(id, '000'),
  [AnswerStyle.StatusBelowHttp]: (id) => signedHead(id, '099'),
  [AnswerStyle.StatusBeyondHttp]: (id) => signedHead(id, '600'),
};

/** What a server sends in an endless answer: the beginning, and the part that it repeats. */
const ENDLESS_ANSWERS: Partial<
  Record<AnswerStyle, { begin: (id: string) => string; repeat: string }>
> = {
  [AnswerStyle.EndlessLineEnds]: { begin: () => '', repeat: '\r\n'.repeat(1000) },
  [AnswerStyle.EndlessInterimAnswers]: {
    begin: () => '',
    repeat: 'HTTP/1.1 103 Early Hints\r\n\r\n',
  },
  [AnswerStyle.EndlessHeaders]: {
    begin: () => 'HTTP/1.1 200 OK\r\n',
    repeat: 'x-more: and more\r\n',
  },
  [AnswerStyle.EndlessBody]: {
    begin: (id) => `${signedHead(id)}\r\n`,
    repeat: 'x'.repeat(4096),
  },
  [AnswerStyle.EndlessChunkSize]: {
    begin: (id) => `${signedHead(id)}transfer-encoding: chunked\r\n\r\n`,
    repeat: '0'.repeat(4096),
  },
  [AnswerStyle.EndlessEvents]: {
    begin: (id) => `${signedHead(id)}\r\n`,
    repeat: `data: ${'x'.repeat(32 * 1024)}\n\n`,
  },
  [AnswerStyle.EndlessEvent]: {
    begin: (id) => `${signedHead(id)}\r\nid: 1\ndata: `,
    repeat: 'x'.repeat(4096),
  },
};

/** The text with which a server that repeats its last rejection begins its answer, by the rejected request's id. */
const REPEATED_REJECTIONS: Partial<Record<AnswerStyle, (id: string) => string>> = {
  [AnswerStyle.RepeatedRejection]: (id) => rejectionText(id),
  [AnswerStyle.RepeatedAnonymousRejection]: () => rejectionText(undefined),
  [AnswerStyle.RepeatedCutRejection]: (id) => rejectionText(id).slice(1),
};

function rejectionText(id: string | undefined): string {
  const echo = id === undefined ? '' : `x-attempt-id: ${id}\r\n`;
  return `HTTP/1.1 503 Service Unavailable\r\n${echo}x-not-executed: 1\r\ncontent-length: 0\r\n\r\n`;
}

/** The whole answer of a server that cannot resume a stream, by the request's id and the next event's number. */
const FAILED_RESUMPTIONS: Partial<Record<AnswerStyle, (id: string, next: number) => string>> = {
  [AnswerStyle.FailsToResume]: (id) =>
    `HTTP/1.1 500 Error\r\nx-attempt-id: ${id}\r\nx-server-seal: seal\r\ncontent-length: 9\r\n\r\nno memory`,
  [AnswerStyle.ResumesWithStatusZero]: (id, next) =>
    `${signedHead(id, '000')}connection: close\r\n\r\nid: ${next}\ndata: event ${next}\n\n`,
  [AnswerStyle.ResumesWithSpacedName]: (id, next) =>
    `${signedHead(id)}x foo: 1\r\nconnection: close\r\n\r\nid: ${next}\ndata: event ${next}\n\n`,
  [AnswerStyle.FailsToResumeUnsigned]: (id) =>
    `HTTP/1.1 502 Error\r\nx-attempt-id: ${id}\r\ncontent-length: 9\r\n\r\nno memory`,
  [AnswerStyle.FailsWithinResumed]: (id, next) =>
    `${signedHead(id)}connection: close\r\n\r\nHTTP/1.1 500 Error\ncontent-length: 9\n\nno memory\n\nno memory\nid: ${next}\ndata: event ${next}\n\n`,
  [AnswerStyle.SkipsEvent]: (id, next) =>
    `${signedHead(id)}connection: close\r\n\r\nid: ${next + 1}\ndata: event ${next + 1}\n\n`,
};

/** Holds what is written to a socket. The end of an answer would undo a plain `cork`. */
function holdOutput(socket: Socket): void {
  socket.cork();
  socket.uncork = () => undefined;
}

/** Sends what `holdOutput` has held. */
function releaseOutput(socket: Socket): void {
  delete (socket as Partial<Socket>).uncork;
  while (socket.writableCorked > 0) socket.uncork();
}

/** Writes text again and again until the socket is closed. */
function repeatUntilClosed(socket: Socket, text: string): void {
  const write = (): void => {
    if (socket.destroyed) return;
    if (socket.write(text)) setImmediate(write);
    else socket.once('drain', write);
  };
  write();
}

/** Number of events in a complete stream. */
export const EVENTS_PER_STREAM = 12;

const EVENT_INTERVAL_MS = 10;

/** Header with which a request asks for a stream of `EVENTS_PER_LONG_STREAM` events. */
export const LONG_STREAM_HEADER = 'x-test-long';

/** Number of events in a complete long stream; it takes 3 s, longer than a server falls silent. */
export const EVENTS_PER_LONG_STREAM = 60;

const LONG_STREAM_INTERVAL_MS = 50;

/** Interval between the events of a slow stream, in milliseconds; a whole one takes less than its deadline. */
const SLOW_EVENT_INTERVAL_MS = 300;

/** Time between the two parts of an answer, in milliseconds. */
export const PART_INTERVAL_MS = 200;

/** Events of a stream before its server sends single bytes. */
const EVENTS_BEFORE_DRIPS = 4;

/** Time from the start of a run until a crashing part ends the server, in milliseconds. */
const CRASH_DELAY_MS = 30;

/** Time from a crash because of a crashing part until the server has restarted, in milliseconds. */
export const RESTART_MS = 1500;

/** Returns the events of a stream that follow event `last`. */
function eventsAfter(last: number): string[] {
  return Array.from(
    { length: EVENTS_PER_STREAM - last },
    (_, index) => `id: ${last + index + 1}\ndata: event ${last + index + 1}\n\n`,
  );
}

/** Returns the complete body of the answer to a call. */
export function answerTo(id: string): string {
  return `the whole answer of the server to ${id}`;
}

/** Returns the ids of the parts of a request's prompt. */
export function promptParts(headers: IncomingMessage['headers']): string[] {
  return String(headers['x-prompt-prefix'] ?? '')
    .split(',')
    .map((part) => part.split(':')[0]);
}

/** One execution of a request. */
export interface Run {
  readonly id: string;
  /** Time on the monotonic clock, in milliseconds. */
  readonly at: number;
  readonly headers: IncomingMessage['headers'];
  readonly body: string;
}

/** An answer to requests that do not run. */
export interface Refusal {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
}

/** Returns the pause that a refusal asks for, in milliseconds; undefined if it asks for none. */
function pauseOf(refusal: Refusal | undefined): number | undefined {
  const seconds = refusal?.headers['retry-after'];
  return seconds === undefined ? undefined : Number(seconds) * 1000;
}

/** A request as it arrived at a server. */
export interface Arrival {
  readonly id: string;
  /** Time on the monotonic clock, in milliseconds. */
  readonly at: number;
  /** Whether its answer says that the server is leaving. */
  readonly saidLeaving: boolean;
  /** Whether its answer is a refusal. */
  readonly wasRefused: boolean;
  /** Pause that its answer asks for, in milliseconds; undefined if it asks for none. */
  readonly pauseMs: number | undefined;
  /** Start time of the process, as its entry states it. */
  readonly incarnation: number;
}

export class FakeBackendServer {
  public style = AnswerStyle.Whole;

  /** Ends the server because of `crashingPart`; by default it restarts by itself. */
  public onCrashingPart: () => void = () => {
    this.crashAndRestart();
  };

  /** Called when the server breaks a stream off because of its style. */
  public onBreakOff: () => void = () => {};

  /** Requests that the server ran, in order. */
  public readonly runs: Run[] = [];

  /** Part of a prompt that makes the server crash when it begins to answer; it restarts without layers. */
  public crashingPart: string | undefined;

  /** Body of a request that makes the server crash when it begins to run it; it restarts. */
  public crashingBody: string | undefined;

  /** Requests a second that the server's answers name as its limit; none if undefined. */
  public requestLimit: number | undefined;

  /** Whether all of the server's answers say that it is leaving. */
  public saysLeaving = false;

  /** Status of the answers that fail or turn requests away; undefined if requests run. */
  public refusal: Refusal | undefined;

  /** Beginning of the ids of the requests that are refused; others run. */
  public refusedPrefix = '';

  /** Times at which requests arrived, those that were turned away included, on the monotonic clock. */
  public readonly arrivals: Arrival[] = [];

  /** Times of the crashes because of `crashingPart` on the monotonic clock, in milliseconds. */
  public readonly crashes: number[] = [];

  /** Start time that the server's entry announces. */
  private startedAt = 1;

  private span: { source: number; to: number } | undefined;

  private ordersAccepted = 0;

  /** Endless answers whose connections are open. */
  private floods = 0;

  /** Number of rejections that were sent once more. */
  public repetitions = 0;

  private address = '';

  private state = 'ready';

  private isStopped = false;

  private readonly sockets = new Set<Socket>();

  private isSilent = false;

  /** Id of the last rejected request, by connection. */
  private readonly rejected = new WeakMap<Socket, string>();

  private readonly server: Server = createServer((request, response) => {
    this.handle(request, response);
  });

  public constructor(
    public readonly id: string,
    private readonly service: string,
    private readonly zone: string,
    private readonly accelerator: string,
    private readonly store: FakeStore,
  ) {
    this.server.maxHeadersCount = 0;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      if (this.isSilent) holdOutput(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  /**
   * Starts to listen and writes the server's entry.
   * @param mapAddress - maps the server's own address to the one that routers use, such as a proxy's
   */
  public async listen(
    mapAddress: (address: string) => string | Promise<string> = (own) => own,
  ): Promise<void> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    this.address = await mapAddress(`127.0.0.1:${(this.server.address() as AddressInfo).port}`);
    this.announce('ready');
  }

  /** Restarts after a crash, without layers and on another port. */
  public async restart(mapAddress?: (address: string) => string | Promise<string>): Promise<void> {
    this.startedAt += 1;
    this.ordersAccepted = 0;
    this.span = undefined;
    await this.listen(mapAddress);
  }

  /** Ends the server for good. */
  public stop(): void {
    this.isStopped = true;
    this.crash();
  }

  /** Simulates a crash: resets every connection and accepts no more. */
  public crash(): void {
    this.server.close();
    for (const socket of this.sockets) resetConnection(socket);
  }

  /**
   * Holds everything that the server sends, reports included, and sends it afterwards. The server accepts
   * connections and works on meanwhile.
   */
  public async fallSilent(ms: number): Promise<void> {
    if (this.isSilent) return;
    this.isSilent = true;
    for (const socket of this.sockets) holdOutput(socket);
    await pause(ms);
    this.isSilent = false;
    for (const socket of this.sockets) releaseOutput(socket);
  }

  /** Whether the server has accepted an order to hold layers since it started. */
  public get holdsLayers(): boolean {
    return this.span !== undefined;
  }

  /** Whether an endless answer is being sent. */
  public get isFlooding(): boolean {
    return this.floods > 0;
  }

  /** Writes the server's entry to the store; later entries keep its state until the next announcement. */
  public announce(state: string): void {
    this.state = state;
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 134,
      state,
      seq_no: 7,
      born: this.startedAt,
      route_kind: this.accelerator,
      ...(this.span !== undefined && { layer_count: { ...this.span, version: 1 } }),
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = '';
    for await (const chunk of request) body += chunk;
    if (this.saysLeaving) response.setHeader('server-leaving', '1');
    if (request.url === '/-/report') this.report(response);
    else if (request.url === '/-/order') this.order(response, body);
    else this.run(request, response, body);
  }

  private handleCrashingPart(): void {
    if (!this.server.listening) return;
    this.crashes.push(performance.now());
    this.onCrashingPart();
  }

  private async crashAndRestart(): Promise<void> {
    this.crash();
    await pause(RESTART_MS);
    if (!this.isStopped) await this.restart();
  }

  private report(response: ServerResponse): void {
    response.end(
      JSON.stringify({
        seq_no: this.ordersAccepted,
        busy: false,
        ...(this.span !== undefined && { layer_count: this.span }),
      }),
    );
  }

  private order(response: ServerResponse, body: string): void {
    const order = JSON.parse(body) as {
      operation: string;
      source: number;
      to: number;
      precondition: number;
    };
    if (order.precondition !== this.ordersAccepted) {
      response.writeHead(409).end('{}');
      return;
    }
    this.ordersAccepted += 1;
    this.span = { source: order.source, to: order.to };
    response.writeHead(202).end('{}');
    // A leaving server may still be ordered, by instances that do not know it yet, and goes on leaving.
    this.announce(this.state);
  }

  private run(request: IncomingMessage, response: ServerResponse, body: string): void {
    const { headers } = request;
    const requestId = String(headers['x-attempt-id']);
    if (headers['x-expect-instance'] !== this.id) {
      response.writeHead(421, { 'x-attempt-id': requestId }).end();
      return;
    }
    const refusal = requestId.startsWith(this.refusedPrefix) ? this.refusal : undefined;
    this.arrivals.push({
      id: requestId,
      at: performance.now(),
      saidLeaving: this.saysLeaving,
      wasRefused: refusal !== undefined,
      pauseMs: pauseOf(refusal),
      incarnation: this.startedAt,
    });
    if (refusal !== undefined) {
      const { status, headers: refusalHeaders } = refusal;
      response.writeHead(status, { 'x-attempt-id': requestId, ...refusalHeaders }).end('refused');
      return;
    }
    if (this.style === AnswerStyle.Rejected) {
      this.rejected.set(request.socket, requestId);
      response.writeHead(503, { 'x-attempt-id': requestId, 'x-not-executed': '1' }).end();
      return;
    }
    if (this.requestLimit !== undefined)
      response.setHeader('server-limit', String(this.requestLimit));
    this.runs.push({ id: String(headers['x-attempt-id']), at: performance.now(), headers, body });
    const rejected = this.rejected.get(request.socket);
    const repeated = REPEATED_REJECTIONS[this.style];
    if (repeated !== undefined && rejected !== undefined) {
      this.repetitions += 1;
      request.socket.write(repeated(rejected));
    }
    const endless = ENDLESS_ANSWERS[this.style];
    if (endless !== undefined) {
      this.floods += 1;
      request.socket.once('close', () => {
        this.floods -= 1;
      });
      request.socket.write(endless.begin(requestId));
      repeatUntilClosed(request.socket, endless.repeat);
      return;
    }
    const spoiltHead = SPOILT_HEADS[this.style];
    if (spoiltHead !== undefined) {
      this.answerAfterHead(request, spoiltHead(requestId));
      return;
    }
    const largeAnswer = LARGE_ANSWERS[String(headers[LARGE_ANSWER_HEADER])];
    if (largeAnswer !== undefined) {
      sendLargeAnswer(request.socket, requestId, largeAnswer);
      return;
    }
    const hasCrashingPart =
      this.crashingPart !== undefined && promptParts(headers).includes(this.crashingPart);
    if (hasCrashingPart || body === this.crashingBody)
      setTimeout(() => this.handleCrashingPart(), CRASH_DELAY_MS);
    else if (headers['x-hop-count'] === undefined) this.answer(request, response);
    else this.stream(request, response);
  }

  /** Sends a head and the whole body of the answer. */
  private answerAfterHead({ socket, headers }: IncomingMessage, head: string): void {
    const isStream = headers['x-hop-count'] !== undefined;
    const body = isStream
      ? eventsAfter(Number(headers['last-event-id'] ?? 0)).join('')
      : answerTo(String(headers['x-attempt-id']));
    this.onBreakOff();
    socket.write(`${head}content-length: ${body.length}\r\n\r\n`);
    // The rest follows in parts, as it would from a server that writes its events one by one.
    socket.write(body.slice(0, 30));
    setTimeout(() => socket.write(body.slice(30)), EVENT_INTERVAL_MS);
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const hasOtherId = this.style === AnswerStyle.OfAnotherRequest;
    const id = hasOtherId ? 'another' : String(request.headers['x-attempt-id']);
    const answer = answerTo(id);
    const head = signedHead(id);
    const { socket } = request;
    switch (this.style) {
      case AnswerStyle.Unframed:
        socket.end(`${head}connection: close\r\n\r\n${answer}`);
        return;
      case AnswerStyle.UnframedReset:
        socket.write(`${head}connection: close\r\n\r\n${answer.slice(0, 9)}`);
        socket.resetAndDestroy();
        return;
      case AnswerStyle.SwitchesProtocol:
        socket.write(
          `HTTP/1.1 101 Switching Protocols\r\nx-attempt-id: ${id}\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n`,
        );
        return;
      case AnswerStyle.UnknownCoding:
        socket.end(`${head}transfer-encoding: parts\r\n\r\n5\r\nwhole\r\n0\r\n\r\n`);
        return;
      case AnswerStyle.EndsInsideHead:
        socket.end(`${head}content-len`);
        return;
      case AnswerStyle.EndsBeforeBody:
        socket.end(`${head}content-length: 0\r\n`);
        return;
      case AnswerStyle.InTwoParts:
        socket.write(`${head}content-length: ${answer.length}\r\n\r\n${answer.slice(0, 9)}`);
        setTimeout(() => socket.write(answer.slice(9)), PART_INTERVAL_MS);
        return;
      case AnswerStyle.Truncated:
        socket.end(`${head}content-length: ${answer.length}\r\n\r\n${answer.slice(0, 9)}`);
        return;
      default:
        response.writeHead(200, { 'x-attempt-id': id, 'x-server-seal': 'seal' }).end(answer);
    }
  }

  /**
   * Returns the body of a stream without a length, if the server answers in such a style.
   * @param last - number of the last event that the caller has
   */
  private takeUnframedStream(last: number): string | undefined {
    const events = eventsAfter(last);
    switch (this.style) {
      case AnswerStyle.Unframed:
        return events.join('');
      case AnswerStyle.EndsInsideEvent:
        this.onBreakOff();
        return events.slice(0, 4).join('').slice(0, -3);
      case AnswerStyle.EndsBeforeEvents:
        this.onBreakOff();
        return '';
      default:
        return undefined;
    }
  }

  private stream(request: IncomingMessage, response: ServerResponse): void {
    const { headers } = request;
    const last = Number(headers['last-event-id'] ?? 0);
    const failed = FAILED_RESUMPTIONS[this.style];
    if (failed !== undefined && last > 0) {
      this.onBreakOff();
      request.socket.end(failed(String(headers['x-attempt-id']), last + 1));
      return;
    }
    if (this.style === AnswerStyle.ResetAfterEvent) {
      const events = eventsAfter(last).slice(0, 4).join('');
      this.onBreakOff();
      request.socket.write(
        `${signedHead(String(headers['x-attempt-id']))}connection: close\r\n\r\n${events}`,
      );
      request.socket.resetAndDestroy();
      return;
    }
    const unframed = this.takeUnframedStream(last);
    if (unframed !== undefined) {
      const id = String(headers['x-attempt-id']);
      request.socket.end(`${signedHead(id)}connection: close\r\n\r\n${unframed}`);
      return;
    }
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-attempt-id': String(headers['x-attempt-id']),
      'x-server-seal': 'seal',
    });
    let number = Number(headers['last-event-id'] ?? 0);
    const isSlow = this.style === AnswerStyle.Slow || this.style === AnswerStyle.Drips;
    const isLong = headers[LONG_STREAM_HEADER] !== undefined;
    const events = isLong ? EVENTS_PER_LONG_STREAM : EVENTS_PER_STREAM;
    const intervalMs = isLong ? LONG_STREAM_INTERVAL_MS : EVENT_INTERVAL_MS;
    const timer = setInterval(
      () => {
        number += 1;
        if (this.style === AnswerStyle.Drips && number > EVENTS_BEFORE_DRIPS) {
          response.write('i');
          return;
        }
        response.write(`id: ${number}\ndata: event ${number}\n\n`);
        if (number < events) return;
        clearInterval(timer);
        response.end();
      },
      isSlow ? SLOW_EVENT_INTERVAL_MS : intervalMs,
    );
    response.once('close', () => clearInterval(timer));
  }
}

/** Whether a route, in the format that servers receive, covers every layer once and in order. */
export function coversLayers(route: string): boolean {
  let next = 0;
  for (const part of route.split(',')) {
    const [from, to] = part
      .slice(part.indexOf('=') + 1)
      .split('-')
      .map(Number);
    if (from !== next || to <= from) return false;
    next = to;
  }
  return next === LAYERS;
}
