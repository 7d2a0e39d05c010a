/** Connects to model engines over HTTP. */
import { request as httpRequest } from 'node:http';
import {
  EngineFailureKind,
  type Engine,
  type EngineListener,
  type ServerOrder,
  type EngineReport,
  type StreamOpening,
} from '../../core/streams/Types.js';
import { Failure, FailureKind } from '../../core/Failure.js';
import type { Disposable } from '../../ports/Types.js';
import { hasValidHead } from './HeaderText.js';
import { HttpClient, hostAndPort } from './HttpClient.js';
import { startInputTimer } from './InputTimer.js';
import { FrameDecoder } from './TokenFrames.js';

const STATUS_FAILURES: Readonly<Record<number, EngineFailureKind>> = {
  409: EngineFailureKind.StaleEpoch,
  410: EngineFailureKind.Leaving,
};

/** Time limit for the connection to a first stage, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

export class HttpEngine implements Engine {
  public constructor(private readonly client: HttpClient) {}

  public open(opening: StreamOpening, listener: EngineListener): Disposable {
    const firstStage = opening.stages[0];
    const body = JSON.stringify(opening);
    let connected = false;
    let ended = false;
    const fail = (kind: EngineFailureKind) => {
      if (ended) return;
      ended = true;
      listener.onFailure({ kind, server: firstStage.server });
    };
    const decoder = new FrameDecoder({
      onToken: (frame) => {
        if (!ended) listener.onToken(frame);
      },
      onEnd: (finish, tokens) => {
        if (ended) return;
        ended = true;
        listener.onEnd(finish, tokens);
      },
      onFailure: (failure) => {
        if (ended) return;
        ended = true;
        listener.onFailure(failure);
      },
    });
    const outgoing = httpRequest({
      ...hostAndPort(firstStage.address),
      method: 'POST',
      path: '/v1/streams',
      agent: this.client.agent,
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) },
    });
    outgoing.on('socket', (socket) => {
      if (!socket.connecting) {
        connected = true;
        return;
      }
      const timer = startInputTimer(CONNECT_TIMEOUT_MS, () =>
        outgoing.destroy(new Error('connect timeout')),
      );
      socket.once('connect', () => {
        connected = true;
        timer.dispose();
      });
      socket.once('close', () => timer.dispose());
    });
    outgoing.on('error', () =>
      fail(connected ? EngineFailureKind.ConnectionLost : EngineFailureKind.NotConnected),
    );
    // No call asks for another protocol; Node tells of such an answer only here.
    outgoing.on('upgrade', (_message, socket) => {
      fail(EngineFailureKind.ConnectionLost);
      socket.destroy();
    });
    outgoing.on('response', (message) => {
      if (!hasValidHead(message)) {
        outgoing.destroy();
        fail(EngineFailureKind.ConnectionLost);
        return;
      }
      if (message.statusCode !== 200) {
        message.resume();
        fail(STATUS_FAILURES[message.statusCode ?? 0] ?? EngineFailureKind.StageFailed);
        return;
      }
      message.on('data', (chunk: Buffer) => {
        try {
          decoder.push(chunk);
        } catch {
          outgoing.destroy();
          fail(EngineFailureKind.ConnectionLost);
        }
      });
      message.on('end', () => fail(EngineFailureKind.ConnectionLost));
      message.on('error', () => fail(EngineFailureKind.ConnectionLost));
    });
    outgoing.end(body);
    return {
      dispose: () => {
        if (!ended) outgoing.destroy();
        ended = true;
      },
    };
  }

  public async probe(address: string, timeoutMs: number): Promise<EngineReport> {
    const answer = await this.client.json<EngineReport>({
      address,
      method: 'GET',
      path: '/v1/status',
      timeoutMs,
    });
    return answer.value;
  }

  public async order(address: string, order: ServerOrder, timeoutMs: number): Promise<void> {
    const answer = await this.client.json<unknown>(
      { address, method: 'POST', path: '/v1/orders', timeoutMs },
      order,
    );
    if (answer.status !== 200) {
      throw new Failure(
        FailureKind.OrderRejected,
        `Server ${address} rejected the order with status ${answer.status}. With 412, a newer lease holder sends the orders; otherwise check the server.`,
      );
    }
  }
}
