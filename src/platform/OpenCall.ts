import {
  request as httpRequest,
  type ClientRequest,
  type ClientRequestArgs,
  type IncomingMessage,
} from 'node:http';
import type { Socket } from 'node:net';
import { AnswerCompletion } from '../adapters/http/AnswerCompletion.js';
import { hasValidHead } from '../adapters/http/HeaderText.js';
import { hostAndPort } from '../adapters/http/HttpClient.js';
import { startInputTimer } from '../adapters/http/InputTimer.js';
import {
  CallFailure,
  type AnswerHead,
  type ServerCall,
  type ServerCallListener,
  type ServerConnection,
} from '../core/relay/Types.js';
import { AnsweredCall, type NoticeListener } from '../core/deployment/ServerNotices.js';
import type { Stage } from '../core/routing/Types.js';
import type { Disposable } from '../ports/Types.js';
import type { ServerAgent } from './ServerAgent.js';
import { decodeNotice } from './NoticeDecoder.js';
import { endToEndHeaders, HEADER, MISDIRECTED } from './WireNames.js';

/**
 * Connect timeout, in milliseconds. Connecting takes only two link delays, so an attempt that takes longer
 * than this is not going to succeed.
 */
const CONNECT_TIMEOUT_MS = 250;

/** Headers of callers that the router sets itself or that servers must not receive. */
const EXCLUDED_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'content-length',
  'expect',
  HEADER.account,
  HEADER.expectedServer,
  HEADER.deadlineMs,
  HEADER.stages,
  HEADER.lastEvent,
  HEADER.urgency,
]);

/**
 * Bytes that may arrive besides the body, in bytes: the head, and line ends and interim answers before it.
 * Node bounds a head but not those.
 */
const MAX_FRAMING_BYTES = 64 * 1024;

/** Framing bytes allowed for each byte of the body: chunks of one byte have five. */
const FRAMING_PER_BODY_BYTE = 8;

const NO_EXCLUDED_HEADERS: ReadonlySet<string> = new Set();

/** Formats a route for the platform's servers: `address=from-to` for each stage, separated by commas. */
export function formatStages(stages: readonly Stage[]): string {
  return stages.map(({ address, from, to }) => `${address}=${from}-${to}`).join(',');
}

function headersFor(call: ServerCall): string[] {
  const { request, server, stages, account, resumeAfter, urgency } = call;
  const headers = endToEndHeaders(request.message.headers, EXCLUDED_HEADERS);
  headers.push(HEADER.expectedServer, server.id, HEADER.deadlineMs, String(call.deadlineMs));
  if (account !== undefined) headers.push(HEADER.account, account);
  if (stages.length > 0) headers.push(HEADER.stages, formatStages(stages));
  if (resumeAfter !== undefined) headers.push(HEADER.lastEvent, resumeAfter);
  if (urgency !== undefined) headers.push(HEADER.urgency, String(urgency));
  const { length } = request.message.body;
  if (length > 0 || request.message.method === 'POST')
    headers.push('content-length', String(length));
  return headers;
}

/** Whether an answer is delimited by its length or by chunks, not by the end of its connection. */
function isDelimited({ headers }: IncomingMessage): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}

/** Whether Node decodes the transfer coding of an answer, so that its body holds no marks of it. */
function hasKnownCoding({ headers }: IncomingMessage): boolean {
  const coding = headers['transfer-encoding'];
  return coding === undefined || coding.toLowerCase() === 'chunked';
}

/** Returns undefined if the header is missing or is not a positive number. */
function readRequestLimit(value: string | string[] | undefined): number | undefined {
  const perSecond = Number(value);
  return perSecond > 0 && Number.isFinite(perSecond) ? perSecond : undefined;
}

function toHead(message: IncomingMessage): AnswerHead {
  const { headers, statusCode = 0 } = message;
  const fault = headers[HEADER.blamedAddress];
  return {
    status: statusCode,
    headers: endToEndHeaders(message.rawHeaders, NO_EXCLUDED_HEADERS),
    sendable: hasValidHead(message),
    signed: headers[HEADER.signature] !== undefined,
    misdirected: statusCode === MISDIRECTED,
    notExecuted: headers[HEADER.notExecuted] !== undefined || statusCode === MISDIRECTED,
    identityEncoded: headers['content-encoding'] === undefined && hasKnownCoding(message),
    isDelimited: isDelimited(message),
    requestsPerSecond: readRequestLimit(headers[HEADER.requestLimit]),
    blamedAddress: typeof fault === 'string' ? fault : undefined,
  };
}

/** One call to a backend server that is in progress. Disposing it closes its connection. */
export class OpenCall implements ServerConnection {
  private readonly outgoing: ClientRequest;

  private readonly completion: AnswerCompletion;

  private answer: IncomingMessage | undefined;

  private isPaused = false;

  private connectTimer: Disposable | undefined;

  private socket: Socket | undefined;

  private isFinished = false;

  private connected = false;

  /** Whether earlier calls used the connection, so that a late or repeated answer to them may arrive. */
  private isReusedConnection = false;

  /** Bytes that had been read on the connection before this call. */
  private bytesBefore = 0;

  private bodyBytes = 0;

  public constructor(
    private readonly call: ServerCall,
    private readonly listener: ServerCallListener,
    agent: ServerAgent,
    private readonly notices: NoticeListener,
    private readonly onFinish: (call: OpenCall) => void,
  ) {
    const { message } = call.request;
    const options: ClientRequestArgs = {
      ...hostAndPort(call.server.address),
      method: message.method,
      path: message.target,
      // A kept-alive connection may close while a request is sent on it. The request then cannot be told
      // from one that ran, so only engine calls and GET requests reuse connections.
      agent: call.stages.length > 0 || message.method === 'GET' ? agent : false,
      // Node accepts raw header arrays here, though its types declare only records.
      headers: headersFor(call),
    };
    this.outgoing = httpRequest(options);
    this.completion = new AnswerCompletion(this.outgoing);
    this.outgoing.on('socket', (socket) => this.watchSocket(socket));
    this.outgoing.on('response', (answer) => this.readAnswer(answer));
    // No request asks for another protocol; Node tells of such an answer only here.
    this.outgoing.on('upgrade', (_answer, socket) => {
      this.fail(CallFailure.MismatchedAnswer);
      socket.destroy();
    });
    this.outgoing.on('error', () => this.fail(this.connectionFailure));
    this.outgoing.end(message.body);
  }

  public dispose(): void {
    if (this.isFinished) return;
    this.finish();
    this.outgoing.destroy();
  }

  public pause(): void {
    this.isPaused = true;
    this.answer?.pause();
  }

  public resume(): void {
    this.isPaused = false;
    this.answer?.resume();
  }

  /** Closes the connection if the server sends bytes without end that are no part of an answer. */
  public checkFraming(): void {
    if (this.socket === undefined) return;
    const framing = this.socket.bytesRead - this.bytesBefore - this.bodyBytes;
    if (framing <= MAX_FRAMING_BYTES + FRAMING_PER_BODY_BYTE * this.bodyBytes) return;
    this.fail(CallFailure.TooLong);
    this.outgoing.destroy();
  }

  private finish(): void {
    this.isFinished = true;
    this.onFinish(this);
    this.connectTimer?.dispose();
  }

  private get connectionFailure(): CallFailure {
    return this.connected ? CallFailure.ConnectionLost : CallFailure.NotSent;
  }

  private watchSocket(socket: Socket): void {
    this.socket = socket;
    this.bytesBefore = socket.bytesRead;
    if (!socket.connecting) {
      this.connected = true;
      this.isReusedConnection = true;
      return;
    }
    this.connectTimer = startInputTimer(CONNECT_TIMEOUT_MS, () => {
      this.fail(CallFailure.ConnectTimeout);
      this.outgoing.destroy();
    });
    socket.once('connect', () => {
      this.connected = true;
      this.connectTimer?.dispose();
    });
  }

  private readAnswer(answer: IncomingMessage): void {
    if (this.isFinished) return;
    const head = toHead(answer);
    const belongsToCall = this.belongsToCall(answer);
    this.notify(head, answer, belongsToCall);
    if (!belongsToCall) {
      this.fail(CallFailure.MismatchedAnswer);
      this.outgoing.destroy();
      return;
    }
    answer.on('data', (chunk: Buffer) => {
      this.bodyBytes += chunk.length;
      if (!this.isFinished) this.listener.onData(chunk);
    });
    answer.on('end', () =>
      this.completion.onceKnown((isComplete) => {
        if (isComplete) this.succeed();
        else this.fail(CallFailure.ConnectionLost);
      }),
    );
    answer.on('error', () => this.fail(CallFailure.ConnectionLost));
    answer.on('close', () => {
      if (!answer.complete) this.fail(CallFailure.ConnectionLost);
    });
    this.answer = answer;
    if (this.isPaused) answer.pause();
    this.listener.onHead(head);
  }

  /**
   * Passes on what an answer says of its server. One to another request says whether the server is leaving, but
   * a pause that it asks for began earlier.
   */
  private notify({ status, blamedAddress }: AnswerHead, answer: IncomingMessage, isOwn: boolean) {
    const { server, request, stages } = this.call;
    const notice = decodeNotice(status, answer.headers);
    const blamed = stages.find(({ address }) => address === blamedAddress)?.server;
    this.notices.handleNotice(server, {
      ...notice,
      pauseMs: isOwn ? notice.pauseMs : undefined,
      call: AnsweredCall.Request,
      requestId: request.id,
      ...(blamed !== undefined && blamed !== server.id && { blamedServer: blamed }),
    });
  }

  /**
   * Whether an answer is the one to this call. On a connection that was used before, an answer without an id may
   * be a late or repeated one to an earlier call, whatever it says.
   */
  private belongsToCall({ headers }: IncomingMessage): boolean {
    const echoed = headers[HEADER.requestId];
    const { id } = this.call.request;
    return echoed === undefined ? id === '' || !this.isReusedConnection : echoed === id;
  }

  private succeed(): void {
    if (this.isFinished) return;
    this.finish();
    this.listener.onEnd();
  }

  private fail(failure: CallFailure): void {
    if (this.isFinished) return;
    this.finish();
    this.listener.onFailure(failure);
  }
}
