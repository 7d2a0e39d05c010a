/** Client of the backend servers: forwards requests, sends orders and fetches reports. */
import { connect } from 'node:net';
import { z } from 'zod';
import { hostAndPort, type HttpCall, type HttpClient } from '../adapters/http/HttpClient.js';
import { Emitter } from '../core/Emitter.js';
import {
  OrderAnswer,
  type OrderPort,
  type PlacementOrder,
  type ReportPort,
  type ServerReport,
} from '../core/placement/Types.js';
import {
  RerouteStatus,
  type RerouteAnswer,
  type ServerCall,
  type ServerCallListener,
  type ServerConnection,
  type ServerPort,
} from '../core/relay/Types.js';
import { AnsweredCall, type NoticeListener } from '../core/deployment/ServerNotices.js';
import type { ListenPort } from '../core/quarantine/Types.js';
import { startInputTimer } from '../adapters/http/InputTimer.js';
import type { Stage } from '../core/routing/Types.js';
import { decodeNotice } from './NoticeDecoder.js';
import { formatStages, OpenCall } from './OpenCall.js';
import { ServerAgent } from './ServerAgent.js';
import { decodeSpan } from './ServerEntryDecoder.js';
import { HEADER, PATH } from './WireNames.js';

const REPORT = z.object({
  busy: z.boolean().default(false),
  /** Orders accepted since the server started. In the server's entry, the same name counts heartbeats. */
  seq_no: z.number(),
  layer_count: z.unknown().optional(),
  blocked: z.array(z.object({ id: z.string(), address: z.string() })).default([]),
  /** A multiple of the usual times; the same name in a layer kind's entry is a multiple of step times. */
  pace: z.number().nonnegative().catch(1),
});

type ControlCall = AnsweredCall.Order | AnsweredCall.Report;

const CONTROL_CALLS: Readonly<Record<ControlCall, Pick<HttpCall, 'method' | 'path'>>> = {
  [AnsweredCall.Order]: { method: 'POST', path: PATH.order },
  [AnsweredCall.Report]: { method: 'GET', path: PATH.report },
};

/** Interval at which open calls are checked for bytes that belong to no answer, in milliseconds. */
const FRAMING_CHECK_MS = 250;

/** Maximum size of the answer to an order or a request for a report, in bytes. */
const MAX_CONTROL_BYTES = 256 * 1024;

export class ServerClient implements ServerPort, OrderPort, ReportPort, ListenPort {
  private readonly agent = new ServerAgent();

  private readonly openCalls = new Set<OpenCall>();

  private readonly reports = new Emitter<{ server: string; report: ServerReport }>();

  /** Fires with each report that a server gives, whoever asked for it. */
  public readonly onReport = this.reports.event;

  private readonly framingTimer = setInterval(() => {
    for (const call of this.openCalls) call.checkFraming();
  }, FRAMING_CHECK_MS).unref();

  /** @param notices - receives what the answers to all calls say of their servers */
  public constructor(
    private readonly http: HttpClient,
    private readonly notices: NoticeListener,
  ) {}

  public dispose(): void {
    clearInterval(this.framingTimer);
    this.agent.destroy();
  }

  public call(call: ServerCall, listener: ServerCallListener): ServerConnection {
    const open = new OpenCall(call, listener, this.agent, this.notices, (ended) =>
      this.openCalls.delete(ended),
    );
    this.openCalls.add(open);
    return open;
  }

  public async order(order: PlacementOrder, timeoutMs: number): Promise<OrderAnswer> {
    const { address, span, ordersAccepted, id } = order;
    try {
      const { status } = await this.http.json(
        this.controlCall(AnsweredCall.Order, id, address, timeoutMs),
        {
          operation: 'place',
          source: span.from,
          to: span.to,
          method: 'queue',
          precondition: ordersAccepted,
        },
      );
      if (status === 200 || status === 202) return OrderAnswer.Accepted;
      return status === 409 ? OrderAnswer.Conflict : OrderAnswer.Rejected;
    } catch {
      // The placement driver logs the result and later queries the server for the outcome of the order.
      return OrderAnswer.NoAnswer;
    }
  }

  public async reroute(
    id: string,
    address: string,
    requestId: string,
    stages: readonly Stage[],
    timeoutMs: number,
  ): Promise<RerouteAnswer> {
    try {
      const { status, value } = await this.http.json<{ address?: string }>(
        this.controlCall(AnsweredCall.Order, id, address, timeoutMs),
        { operation: 'repath', id: requestId, path: formatStages(stages) },
      );
      if (status === 200 || status === 202) return { status: RerouteStatus.Accepted };
      if (status === 404) return { status: RerouteStatus.UnknownRequest };
      return { status: RerouteStatus.Rejected, blamedAddress: value?.address };
    } catch {
      // The relay logs the result, and abandons the first server of the route if it does not answer.
      return { status: RerouteStatus.NoAnswer };
    }
  }

  /** Describes an order or a request for a report, whose answer may also say something of its server. */
  private controlCall(
    call: ControlCall,
    id: string,
    address: string,
    timeoutMs: number,
  ): Omit<HttpCall, 'body'> {
    const process = this.notices.processOf(id);
    return {
      ...CONTROL_CALLS[call],
      address,
      headers: { [HEADER.expectedServer]: id },
      timeoutMs,
      maxAnswerBytes: MAX_CONTROL_BYTES,
      onHead: (status, headers) => {
        if (process?.address === address)
          this.notices.handleNotice(process, { ...decodeNotice(status, headers), call });
      },
    };
  }

  public isListening(address: string, timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect(hostAndPort(address));
      const finish = (isListening: boolean): void => {
        socket.destroy();
        resolve(isListening);
      };
      const timer = startInputTimer(timeoutMs, () => finish(false));
      socket.once('close', () => timer.dispose());
      socket.once('connect', () => finish(true));
      socket.once('error', () => finish(false));
    });
  }

  public async report(
    id: string,
    address: string,
    timeoutMs: number,
  ): Promise<ServerReport | undefined> {
    try {
      const { status, value } = await this.http.json<unknown>(
        this.controlCall(AnsweredCall.Report, id, address, timeoutMs),
      );
      const parsed = REPORT.safeParse(value);
      if (status !== 200 || !parsed.success) return undefined;
      const { data } = parsed;
      const report = {
        ordersAccepted: data.seq_no,
        busy: data.busy,
        span: decodeSpan(data.layer_count),
        slowness: data.pace,
        blocked: data.blocked,
      };
      this.reports.fire({ server: id, report });
      return report;
    } catch {
      // Not an error for callers: they treat a server without a report as silent.
      return undefined;
    }
  }
}
