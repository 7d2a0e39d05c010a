/** A small deployment on loopback: the users' store, backend servers, and routers as processes of their own. */
import { Buffer } from 'node:buffer';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { FaultProxy } from '../../dist/features/soak/FaultProxy.js';
import { FakeStore } from '../../dist/features/platform/FakeStore.js';
import { configuration } from '../../dist/features/platform/SampleConfiguration.js';
import { BackendServer } from './BackendServer.mjs';
import { Client } from './Client.mjs';
import { RouterProcess } from './RouterProcess.mjs';

/** Time limit of a script, in milliseconds. */
const TIME_LIMIT_MS = 115_000;

/** Time within which the deployment has to be ready, in milliseconds. */
const READY_MS = 20_000;

/** Accelerator of the sample configuration that holds the whole model. */
const WHOLE_MODEL_KIND = 'whole';

export function pause(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

function freePort(host) {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.once('error', reject);
    server.listen(0, host, () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
}

/** Returns a loopback address that hardly any other program uses; the metrics port of a router is fixed. */
export function loopbackAddress(number) {
  return `127.${20 + (process.pid % 200)}.${1 + (Math.floor(process.pid / 200) % 250)}.${10 + number}`;
}

export class Fleet {
  servers = [];

  routers = [];

  /** The link of each router to the store. */
  storeLinks = [];

  store = new FakeStore();

  #startedAt = performance.now();

  #lines = [];

  /** Clients and other things that end with the fleet. */
  #owned = [];

  #folder = mkdtempSync(path.join(tmpdir(), 'review-'));

  now = () => performance.now() - this.#startedAt;

  record = (line) => {
    this.#lines.push(`${this.now().toFixed(0).padStart(7)} ${line}`);
  };

  /** @param caseFolder - folder of the case, where `record.txt` is written */
  constructor(caseFolder) {
    this.caseFolder = caseFolder;
  }

  async start({ zones, routers, engines, plains, change = (config) => config }) {
    const { store, record, now } = this;
    const storeAddress = await store.listen();
    this.config = change(configuration(1));
    store.put('op', 'config', this.config);
    const add = async (service, kind, number) => {
      const zone = zones[number % zones.length];
      const id = `${service}-${number + 1}`;
      const server = new BackendServer({ id, service, zone, kind, store, now, record });
      await server.listen(loopbackAddress(100 + this.servers.length));
      this.servers.push(server);
    };
    for (let index = 0; index < engines; index += 1) await add('engine', WHOLE_MODEL_KIND, index);
    for (let index = 0; index < plains; index += 1) await add('plain', '', index);
    for (let index = 0; index < routers; index += 1) {
      const ip = loopbackAddress(index);
      const ports = {
        callers: await freePort(ip),
        readiness: await freePort(ip),
        peers: await freePort(ip),
      };
      const machine = { name: `entry-${index + 1}`, zone: zones[index % zones.length], ip, ports };
      this.routers.push(new RouterProcess(machine, this.#folder, record));
    }
    const seeds = this.routers.slice(0, 3).map(({ peers }) => peers);
    for (const router of this.routers) {
      const storeLink = this.own(new FaultProxy());
      this.storeLinks.push(storeLink);
      const linkAddress = await storeLink.listen(storeAddress);
      router.configure({ storeAddress: linkAddress, seeds, isFirstStart: true });
      router.start();
    }
    await this.waitUntil(async () => this.#isReady(), READY_MS, 'the deployment to be ready');
    // In touch: contact_ms without any disruption.
    await pause(3500);
    record('ready');
  }

  async #isReady() {
    for (const router of this.routers) if (!(await this.isRouterReady(router))) return false;
    return this.servers.every(({ kind, holdsLayers }) => kind === '' || holdsLayers);
  }

  isRouterReady({ readiness }) {
    return new Promise((resolve) => {
      const probe = httpRequest({ ...readiness, path: '/-/readyz', agent: false }, (answer) => {
        answer.resume();
        resolve(answer.statusCode === 200);
      });
      probe.on('error', () => resolve(false));
      probe.end();
    });
  }

  async waitUntil(isDone, timeoutMs, what) {
    const endsAt = this.now() + timeoutMs;
    while (!(await isDone())) {
      if (this.now() > endsAt) throw new Error(`waited in vain for ${what}`);
      await pause(50);
    }
  }

  client(name, router) {
    return this.own(new Client(name, router.callers, this));
  }

  /** Ends something with the fleet that has a method `dispose` or `close`. */
  own(disposable) {
    this.#owned.push(disposable);
    return disposable;
  }

  serversOf(service) {
    return this.servers.filter((server) => server.service === service);
  }

  dispose() {
    for (const owned of this.#owned) (owned.dispose ?? owned.close).call(owned);
    for (const router of this.routers) router.dispose();
    for (const server of this.servers) server.stop();
    this.store.close();
    if (process.env.KEEP_LOGS === undefined)
      rmSync(this.#folder, { recursive: true, force: true, maxRetries: 5, retryDelay: 100 });
    else process.stdout.write(`logs: ${this.#folder}\n`);
  }

  write() {
    writeFileSync(
      path.join(this.caseFolder, 'record.txt'),
      Buffer.from(`${this.#lines.join('\n')}\n`),
    );
  }
}

/** Exit codes. Node ends with 1 after an error of its own, so that a broken rule has another one. */
const RULE_HELD = 0;
const NOT_RUN = 2;
const RULE_BROKEN = 3;

/**
 * Plays one case and ends the process.
 * @param play - gets the fleet and whether the disruption is to be made; returns the lines of what broke the
 *   rule, and whether it was broken
 */
export async function playCase(caseFolder, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const fleet = new Fleet(caseFolder);
  let code = NOT_RUN;
  const end = () => {
    fleet.write();
    fleet.dispose();
  };
  const limit = setTimeout(() => {
    fleet.record('result: not finished in time');
    end();
    process.exit(NOT_RUN);
  }, TIME_LIMIT_MS);
  limit.unref();
  for (const name of ['SIGINT', 'SIGTERM']) {
    process.once(name, () => {
      end();
      process.exit(NOT_RUN);
    });
  }
  process.on('uncaughtException', (error) => {
    fleet.record(`result: could not run: ${error.stack}`);
    process.stderr.write(`could not run: ${error.stack}\n`);
    end();
    process.exit(NOT_RUN);
  });
  try {
    const { isBroken, findings } = await play(fleet, hasTrouble);
    for (const finding of findings) {
      fleet.record(`found: ${finding}`);
      process.stdout.write(`${finding}\n`);
    }
    const verdict = isBroken ? 'the rule was broken' : 'the rule held';
    fleet.record(`result: ${verdict}`);
    process.stdout.write(`${verdict} (trouble: ${hasTrouble})\n`);
    code = isBroken ? RULE_BROKEN : RULE_HELD;
  } catch (error) {
    fleet.record(`result: could not run: ${error.stack}`);
    process.stdout.write(`could not run: ${error.stack}\n`);
  }
  end();
  process.exit(code);
}
