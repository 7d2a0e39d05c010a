/** The gRPC service between entry instances and the shapes of its messages. */
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { loadPackageDefinition, type ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import type { CommittedTicket } from '../../core/tickets/Types.js';
import type { PeerExchange, PeerState } from '../../ports/Peer.js';

/** An exchange on the wire. */
export interface ExchangeMessage {
  readonly state: PeerState;
  /** JSON of each ticket. */
  readonly tickets: string[];
}

/** Largest message taken, in bytes. */
export const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

const PROTO_FILE = 'peer.proto';

function findProtoFile(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  for (;;) {
    const candidates = [join(folder, PROTO_FILE), join(folder, 'src/adapters/grpc', PROTO_FILE)];
    for (const candidate of candidates) if (existsSync(candidate)) return candidate;
    const parent = dirname(folder);
    if (parent === folder) throw new Error(`${PROTO_FILE} is missing. Install the package again.`);
    folder = parent;
  }
}

function loadServiceClient(): ServiceClientConstructor {
  const definition = loadSync(findProtoFile(), { defaults: true, arrays: true, longs: Number });
  const loaded = loadPackageDefinition(definition) as unknown as {
    acaciadrum: { Peer: ServiceClientConstructor };
  };
  return loaded.acaciadrum.Peer;
}

/** The service. */
export const PeerServiceClient = loadServiceClient();

/** Turns an exchange into its message. */
export const encodeExchange = (message: PeerExchange): ExchangeMessage => ({
  state: message.state,
  tickets: message.tickets.map((ticket) => JSON.stringify(ticket)),
});

/** Reads an exchange from its message. */
export const decodeExchange = (message: ExchangeMessage): PeerExchange => ({
  state: message.state,
  tickets: message.tickets.map((ticket) => JSON.parse(ticket) as CommittedTicket),
});
