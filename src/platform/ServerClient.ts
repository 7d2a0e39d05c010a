/** Client of the backend servers: forwards requests, sends orders and fetches reports. */
import { connect } from 'node:net';
import { z } from 'zod';
import { hostAndPort, type HttpClient } from '../adapters/http/HttpClient.js';
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
import type { ListenPort } from '../core/quarantine/Types.js';
import type { Stage } from '../core/routing/Types.js';
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

  public constructor(private readonly http: HttpClient) {}

  public dispose(): void {
    clearInterval(this.framingTimer);
    this.agent.destroy();
  }

  public call(call: ServerCall, listener: ServerCallListener): ServerConnection {
    const open = new OpenCall(call, listener, this.agent, (ended) => this.openCalls.delete(ended));
    this.openCalls.add(open);
    return open;
  }

  public async order(order: PlacementOrder, timeoutMs: number): Promise<OrderAnswer> {
    const { address, span, ordersAccepted, id } = order;
    try {
      const { status } = await this.http.json(
        {
          address,
          method: 'POST',
          path: PATH.order,
          headers: { [HEADER.expectedServer]: id },
          timeoutMs,
          maxAnswerBytes: MAX_CONTROL_BYTES,
        },
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
        {
          address,
          method: 'POST',
          path: PATH.order,
          headers: { [HEADER.expectedServer]: id },
          timeoutMs,
          maxAnswerBytes: MAX_CONTROL_BYTES,
        },
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

  public isListening(address: string, timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const socket = connect({ ...hostAndPort(address), timeout: timeoutMs });
      const finish = (isListening: boolean): void => {
        socket.destroy();
        resolve(isListening);
      };
      socket.once('connect', () => finish(true));
      socket.once('timeout', () => finish(false));
      socket.once('error', () => finish(false));
    });
  }

  public async report(
    id: string,
    address: string,
    timeoutMs: number,
  ): Promise<ServerReport | undefined> {
    try {
      const { status, value } = await this.http.json<unknown>({
        address,
        method: 'GET',
        path: PATH.report,
        headers: { [HEADER.expectedServer]: id },
        timeoutMs,
        maxAnswerBytes: MAX_CONTROL_BYTES,
      });
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
