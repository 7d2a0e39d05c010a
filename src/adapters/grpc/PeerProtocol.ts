/**
 * The peer service: the gRPC service over which entry instances exchange state and forward requests, with
 * its message types. Router instances use the sharing service instead.
 */
import { existsSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { loadPackageDefinition, type ServiceClientConstructor } from '@grpc/grpc-js';
import { loadSync } from '@grpc/proto-loader';
import type { CrashEvidence } from '../../core/quarantine/Types.js';
import type { CommittedTicket } from '../../core/tickets/Types.js';
import type { PeerExchange, PeerState } from '../../ports/Peer.js';

/** An exchange as a gRPC message. */
export interface ExchangeMessage {
  readonly state: PeerState;
  /** Tickets, each as JSON. */
  readonly tickets: string[];
  /** Evidence of crashes as JSON; empty if there is none. */
  readonly evidence: string;
}

/** Maximum size of a received message, in bytes. */
export const MAX_MESSAGE_BYTES = 32 * 1024 * 1024;

const PROTO_FILE = 'peer.proto';

/** Searches the folder of this module and its parents, so that it works from sources and from a build. */
function findProtoFile(): string {
  let folder = dirname(fileURLToPath(import.meta.url));
  for (;;) {
    const candidates = [join(folder, PROTO_FILE), join(folder, 'src/adapters/grpc', PROTO_FILE)];
    for (const candidate of candidates) if (existsSync(candidate)) return candidate;
    const parent = dirname(folder);
    if (parent === folder)
      throw new Error(
        `${PROTO_FILE} was not found in the folder of this module or in those above it. Install the package again.`,
      );
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

/** Client constructor of the peer service; its `service` property is the definition for servers. */
export const PeerServiceClient = loadServiceClient();

/** Converts an exchange to a gRPC message. */
export const encodeExchange = (message: PeerExchange): ExchangeMessage => ({
  state: message.state,
  tickets: message.tickets.map((ticket) => JSON.stringify(ticket)),
  evidence: message.evidence === undefined ? '' : JSON.stringify(message.evidence),
});

/**
 * Converts a gRPC message to an exchange.
 * @throws SyntaxError if a ticket is not valid JSON
 */
export const decodeExchange = (message: ExchangeMessage): PeerExchange => ({
  state: message.state,
  tickets: message.tickets.map((ticket) => JSON.parse(ticket) as CommittedTicket),
  ...(message.evidence !== '' && { evidence: JSON.parse(message.evidence) as CrashEvidence }),
});
