/** `bench control`: costs of one entry instance (delay, CPU, bytes, heap) and their slopes over size. */
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { PeerClient } from '../src/adapters/grpc/PeerClient.js';
import { PeerServiceClient, encodeExchange } from '../src/adapters/grpc/PeerProtocol.js';
import { PeerServer } from '../src/adapters/grpc/PeerServer.js';
import { HttpClient } from '../src/adapters/http/HttpClient.js';
import { HttpEngine } from '../src/adapters/http/HttpEngine.js';
import { JsonServer } from '../src/adapters/http/JsonServer.js';
import { Peers } from '../src/core/gossip/Peers.js';
import { Invariants } from '../src/core/Invariant.js';
import { ServerMark } from '../src/core/membership/ServerHealth.js';
import { planFlow } from '../src/core/routing/FlowPlan.js';
import { LoadTable } from '../src/core/routing/LoadTable.js';
import { planRoute } from '../src/core/routing/RoutePlanner.js';
import { Topology } from '../src/core/routing/Topology.js';
import type { Candidate } from '../src/core/routing/Types.js';
import { Configuration } from '../src/core/tickets/Configuration.js';
import { ObjectKind, type BackendServer, type Change } from '../src/core/tickets/Types.js';
import { SeededRandom } from '../src/fakes/SeededRandom.js';
import type { PeerExchange, PeerService } from '../src/ports/Peer.js';
import { generateFleet, PIPELINE, FleetProfile } from './Fleet.js';
import { measureRelay } from './Relay.js';

/** One measurement at one size, or the slope of a series. */
export interface ControlRow {
  /** Measured cost. */
  readonly what: string;
  /** Quantity that the series varies. */
  readonly over: string;
  /** Value of that quantity; 0 in the row of the slope. */
  readonly size: number;
  readonly value: number;
  readonly unit: string;
}

type Measure = (size: number) => number | Promise<number>;

/** Measurements of one cost at several sizes; the fields mean the same as in `ControlRow`. */
interface Series {
  readonly what: string;
  readonly over: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  readonly measure: Measure;
}

const ANY_PORT = '127.0.0.1:0';
const SECRET = 'control-peer-secret';
const US_PER_MS = 1000;

/** Bytes in the unit that the rows call MB. */
const MB = 2 ** 20;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** CPU time of the process while `action` runs, in microseconds. */
async function cpuUs(action: () => Promise<void> | void): Promise<number> {
  const before = process.cpuUsage();
  await action();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Mean time of one call, in microseconds. */
function meanCallUs(calls: number, action: () => void): number {
  for (let call = 0; call < calls / 10; call += 1) action();
  const startedAt = performance.now();
  for (let call = 0; call < calls; call += 1) action();
  return ((performance.now() - startedAt) / calls) * US_PER_MS;
}

/** Heap retained by the result of `build`, in bytes. */
function retainedHeapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Reading the result here keeps it from being collected before the measurement.
  return retained === undefined ? 0 : after - before;
}

/** @param base - number of the ticket that last changed the servers; 0 when they are new */
function serverChanges(count: number, base = 0): Change[] {
  const template = [...generateFleet(FleetProfile.Shamshyrak, 1).servers.values()];
  return Array.from({ length: count }, (_, index) => ({
    kind: ObjectKind.BackendServer,
    name: `server-${index}`,
    base,
    state: {
      ...template[index % template.length],
      address: `10.0.0.1:${index}`,
    } satisfies BackendServer,
  }));
}

function accountChanges(count: number): Change[] {
  return Array.from({ length: count }, (_, index) => ({
    kind: ObjectKind.ClientAccount,
    name: `account-${index}`,
    base: 0,
    state: { keyHashes: ['0'.repeat(64)], weight: 1, requestsPerSecond: 100, concurrency: 100 },
  }));
}

function createConfiguration(changes: readonly Change[]): Configuration {
  const configuration = new Configuration(new Invariants(true));
  configuration.apply({ number: 1, submission: '', at: '', author: 'a', reason: 'r', changes });
  return configuration;
}

function createCandidates(count: number): Candidate[] {
  const fleet = generateFleet(FleetProfile.Shamshyrak, 1);
  const servers = [...fleet.servers];
  return Array.from({ length: count }, (_, index) => {
    const [name, state] = servers[index % servers.length];
    const { from, to } = state.layerRanges[0];
    const layerMs = fleet.pipeline.layerMs[state.accelerator];
    return {
      server: `${name}-${index}`,
      address: name,
      failureDomain: 'home',
      from,
      to,
      layerMs,
      linkMs: state.linkMs,
    };
  });
}

/** Creates an exchange message that lists the given numbers of servers and accounts. */
function createExchange(servers: number, accounts: number): PeerExchange {
  return {
    state: {
      instance: 'entry-1',
      incarnation: 'a1b2c3d4e5f6',
      address: '10.0.0.1:7000',
      failureDomain: 'domain-1',
      applied: 1,
      headAgeMs: 100,
      ready: true,
      leaving: false,
      guarantee: 0.01,
      busy: Array.from({ length: servers }, (_, index) => ({
        server: `server-${index}`,
        busyMs: index / 7,
      })),
      marks: [{ server: 'server-1', mark: ServerMark.Suspect, remainingMs: 900 }],
      sequences: { busy: 9, rates: 9, inFlight: 9, corrections: 9 },
      seenIncarnation: 'a1b2c3d4e5f6',
      seen: { busy: 9, rates: 9, inFlight: 9, corrections: 9 },
      rates: Array.from({ length: accounts }, (_, index) => ({
        account: `account-${index}`,
        value: index,
      })),
      inFlight: Array.from({ length: accounts }, (_, index) => ({
        account: `account-${index}`,
        value: index,
      })),
      corrections: [],
      heirs: [],
    },
    tickets: [],
  };
}

function exchangeBytes(servers: number, accounts: number): number {
  return PeerServiceClient.service.Exchange.requestSerialize(
    encodeExchange(createExchange(servers, accounts)),
  ).length;
}

/**
 * CPU time of one side for one exchange over a real socket, in microseconds. Both sides run in this
 * process, so it is half of the total.
 * @param servers - number of servers in the message, which also lists 10 accounts
 */
async function exchangeCpuUs(servers: number): Promise<number> {
  const message = createExchange(servers, 10);
  const service = { exchange: () => message } as unknown as PeerService;
  const server = new PeerServer(service, SECRET);
  const client = new PeerClient(SECRET);
  const address = await server.listen(ANY_PORT);
  const calls = 300;
  const exchange = async (count: number) => {
    for (let call = 0; call < count; call += 1) await client.exchange(address, message);
  };
  await exchange(calls / 3);
  const cpu = await cpuUs(() => exchange(calls));
  client.dispose();
  server.close();
  return cpu / calls / 2;
}

/** CPU time of one side for one probe over a real socket, in microseconds. */
async function probeCpuUs(): Promise<number> {
  const server = new JsonServer(
    () => ({ status: 200, value: { busyMs: 1, leaving: false } }),
    1024,
  );
  const address = await server.listen(ANY_PORT);
  const client = new HttpClient();
  const engine = new HttpEngine(client);
  const calls = 1000;
  const probe = async (count: number) => {
    for (let call = 0; call < count; call += 1) await engine.probe(address, 1000);
  };
  await probe(calls / 4);
  const cpu = await cpuUs(() => probe(calls));
  client.dispose();
  await server.close();
  return cpu / calls / 2;
}

/** Creates a load table in which each of `peers` peers has reported its load at 21 servers. */
function createLoadTable(peers: number): LoadTable {
  const load = new LoadTable();
  const busy = new Map(Array.from({ length: 21 }, (_, index) => [`server-${index}`, index]));
  for (let peer = 0; peer < peers; peer += 1) load.applyPeerLoad(`peer-${peer}`, busy, 0);
  return load;
}

function createPeers(count: number): Peers {
  const peers = new Peers('self');
  for (let index = 0; index < count; index += 1) {
    peers.applyState({ ...createExchange(0, 0).state, instance: `peer-${index}` }, 0);
  }
  return peers;
}

function applyTicketUs(servers: number): number {
  const configuration = createConfiguration(serverChanges(servers));
  const topology = new Topology(configuration);
  let number = 1;
  const changes = serverChanges(1);
  return meanCallUs(20, () => {
    number += 1;
    configuration.apply({ number, submission: '', at: '', author: 'a', reason: 'r', changes });
    topology.candidatesFor(PIPELINE);
  });
}

const planRouteUs = (size: number): number => {
  const candidates = createCandidates(size);
  const random = new SeededRandom(1);
  const busy = new Map(candidates.map(({ server }) => [server, random.between(10, 60)]));
  const query = {
    candidates,
    layers: 48,
    localDomain: 'home',
    busyMs: (server: string) => busy.get(server) ?? 0,
    usable: () => true,
    kept: [],
    rebuildLayerMs: 1,
  };
  return meanCallUs(size > 100 ? 100 : 1000, () => {
    planRoute(query);
  });
};

const SERIES: readonly Series[] = [
  {
    what: 'relay delay p50',
    over: 'streams',
    unit: 'us',
    sizes: [50, 100, 200, 400],
    measure: async (size) => (await measureRelay(size, 100, 40)).delayP50Us,
  },
  {
    what: 'relay delay p99',
    over: 'streams',
    unit: 'us',
    sizes: [50, 100, 200, 400],
    measure: async (size) => (await measureRelay(size, 100, 40)).delayP99Us,
  },
  {
    what: 'relay cpu',
    over: 'streams',
    unit: 'us/token',
    sizes: [50, 100, 200, 400],
    measure: async (size) => 1e6 / (await measureRelay(size, 100, 40)).tokensPerCoreS,
  },
  {
    what: 'route choice',
    over: 'servers of a pipeline',
    unit: 'us',
    sizes: [10, 21, 42, 84, 337],
    measure: planRouteUs,
  },
  {
    what: 'flow plan',
    over: 'servers of a pipeline',
    unit: 'us',
    sizes: [10, 21, 42, 84],
    measure: (size) =>
      meanCallUs(10, () => {
        planFlow(createCandidates(size), 48);
      }),
  },
  {
    what: 'load estimate',
    over: 'peers heard',
    unit: 'us',
    sizes: [6, 24, 97, 390],
    measure: (size) => {
      const load = createLoadTable(size);
      return meanCallUs(5000, () => {
        load.busyMs('server-3', 1);
      });
    },
  },
  {
    what: 'ticket apply',
    over: 'servers',
    unit: 'us',
    sizes: [340, 1350, 2700, 5400],
    measure: applyTicketUs,
  },
  {
    what: 'exchange cpu',
    over: 'servers named',
    unit: 'us',
    sizes: [21, 84, 168, 337],
    measure: exchangeCpuUs,
  },
  {
    what: 'exchange bytes',
    over: 'servers named',
    unit: 'bytes',
    sizes: [21, 84, 168, 337],
    measure: (size) => exchangeBytes(size, 0),
  },
  {
    what: 'exchange bytes',
    over: 'accounts named',
    unit: 'bytes',
    sizes: [10, 100, 355, 710],
    measure: (size) => exchangeBytes(0, size),
  },
  { what: 'probe cpu', over: 'probes', unit: 'us', sizes: [1], measure: probeCpuUs },
  {
    what: 'configuration heap',
    over: 'servers',
    unit: 'MB',
    sizes: [340, 1350, 2700, 5400],
    measure: (size) => retainedHeapBytes(() => createConfiguration(serverChanges(size))) / MB,
  },
  {
    what: 'configuration heap',
    over: 'accounts',
    unit: 'MB',
    sizes: [90, 180, 355, 710],
    measure: (size) => retainedHeapBytes(() => createConfiguration(accountChanges(size))) / MB,
  },
  {
    what: 'peers heap',
    over: 'peers',
    unit: 'MB',
    sizes: [24, 97, 195, 390],
    measure: (size) => retainedHeapBytes(() => createPeers(size)) / MB,
  },
  {
    what: 'load heap',
    over: 'peers heard',
    unit: 'MB',
    sizes: [6, 24, 97, 390],
    measure: (size) => retainedHeapBytes(() => createLoadTable(size)) / MB,
  },
];

/** Returns the least-squares slope of value over size. */
function slopeOf(rows: readonly ControlRow[]): number {
  const meanSize = rows.reduce((sum, row) => sum + row.size, 0) / rows.length;
  const meanValue = rows.reduce((sum, row) => sum + row.value, 0) / rows.length;
  let covariance = 0;
  let variance = 0;
  for (const { size, value } of rows) {
    covariance += (size - meanSize) * (value - meanValue);
    variance += (size - meanSize) ** 2;
  }
  return variance === 0 ? 0 : covariance / variance;
}

const roundToFourDigits = (value: number): number => Number(value.toPrecision(4));

/** Measures every series. A row with size 0 holds the slope of its series per unit of size. */
export async function runControlBench(): Promise<ControlRow[]> {
  const rows: ControlRow[] = [];
  for (const { what, over, unit, sizes, measure } of SERIES) {
    const series: ControlRow[] = [];
    for (const size of sizes)
      series.push({ what, over, size, value: roundToFourDigits(await measure(size)), unit });
    rows.push(...series);
    if (sizes.length > 1)
      rows.push({
        what: `${what} slope`,
        over,
        size: 0,
        value: roundToFourDigits(slopeOf(series)),
        unit: `${unit} each`,
      });
  }
  return rows;
}
