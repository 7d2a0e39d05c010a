/** Orders to servers and reports from them about the layers that they hold. */
import type { LayerSpan } from '../deployment/Types.js';

/** A server's answer to an order. */
export enum OrderAnswer {
  /** Loading has begun, or the server holds the layers already. */
  Accepted = 'taken',
  /** The server has accepted a different number of orders than the order states. */
  Conflict = 'conflict',
  /** No answer arrived: the order may be carried out, now or later. */
  NoAnswer = 'unknown',
  /** The server does not carry out the order for another reason. */
  Rejected = 'refused',
}

/** An order to hold a span of layers. */
export interface PlacementOrder {
  readonly id: string;
  readonly address: string;
  readonly span: LayerSpan;
  /** Orders that the server must have accepted before this one. */
  readonly ordersAccepted: number;
}

/** What a server reports when asked. */
export interface ServerReport {
  readonly ordersAccepted: number;
  readonly span: LayerSpan | undefined;
  /** Whether an order is being carried out. */
  readonly busy: boolean;
  /** Factor by which the server takes longer than its profile says; 1 if it does not. */
  readonly slowness: number;
  /** Requests that wait for a later server on their route. */
  readonly blocked: readonly BlockedRequest[];
}

/** A request that began at the reporting server and waits for another. */
export interface BlockedRequest {
  readonly id: string;
  /** Address of the server that it waits for. */
  readonly address: string;
}

/** Sends orders to servers. */
export interface OrderPort {
  /** @returns `NoAnswer` if the server does not answer within `timeoutMs` milliseconds */
  order(order: PlacementOrder, timeoutMs: number): Promise<OrderAnswer>;
}

/** Asks servers for reports. */
export interface ReportPort {
  /** @returns undefined if the server does not answer within `timeoutMs` milliseconds */
  report(id: string, address: string, timeoutMs: number): Promise<ServerReport | undefined>;
}
