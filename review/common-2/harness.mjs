// Shared by the scripts of the second review: starts routers with the commands of the deploy file, and holds small
// stand-ins of servers and clients. The store is the project's own stand-in.
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { appendFileSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { setTimeout as pause } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { freeAddress } from '../../dist/features/platform/Ports.js';
import { FakeStore } from '../../dist/features/platform/FakeStore.js';
import { getStatus, send } from './client.mjs';
import { Server } from './Server.mjs';

export { freeAddress, pause, send };

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** The command of the role in the deploy file, as words. */
function runCommand() {
  const text = readFileSync(path.join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]+)"$/m.exec(text)[1].split(' ');
}

/** Bounds of a small deployment, as the sheets of the users name them. */
export const BOUNDS = {
  drainMs: 2000,
  stopGraceS: 8,
  retryShare: 0.2,
  retrySlack: 196,
  retryWindowS: 10,
};

const MACHINE = {
  processorShare: 0.675,
  processorSpeed: 1,
  memoryMb: 350,
  descriptors: 4200,
  linkMbps: 1000,
};

/** One case: its record, its folder for temporary files, and all that it started. */
export class Case {
  constructor(folder) {
    this.folder = folder;
    this.temporary = mkdtempSync(path.join(tmpdir(), 'acaciadrum-review-'));
    this.recordFile = path.join(folder, 'record.txt');
    this.startedAt = performance.now();
    this.store = new FakeStore();
    this.routers = [];
    this.servers = [];
    writeFileSync(this.recordFile, '');
    this.note(`disruption: ${hasTrouble ? 'yes' : 'no'}`);
  }

  get ms() {
    return Math.round(performance.now() - this.startedAt);
  }

  note(text) {
    appendFileSync(this.recordFile, `${String(this.ms).padStart(6)} ms  ${text}\n`);
  }

  async startStore() {
    this.storeAddress = await this.store.listen();
  }

  configure(configuration) {
    this.store.put('op', 'config', configuration);
    this.note(`store acknowledged configuration ${configuration.version}`);
  }

  async startRouter(name, zone, { isFirstStart = true, storeAddress = this.storeAddress } = {}) {
    const addresses = {
      callers: await freeAddress(),
      readiness: await freeAddress(),
      peers: await freeAddress(),
      metrics: await freeAddress(),
    };
    const seeds = this.routers.slice(0, 3).map((known) => known.peers);
    const settings = {
      instance: name,
      failureDomain: zone,
      callers: { address: addresses.callers },
      readiness: { address: addresses.readiness },
      peers: { address: addresses.peers, seeds },
      metrics: { address: addresses.metrics },
      store: { address: storeAddress },
      isFirstStart,
      machine: MACHINE,
      bounds: BOUNDS,
    };
    const file = path.join(this.temporary, `${name}.yaml`);
    // JSON is YAML as well.
    writeFileSync(file, JSON.stringify(settings));
    const router = { name, zone, file, ...addresses, child: undefined, isExpectedToEnd: false };
    this.routers.push(router);
    this.spawnRouter(router);
    return router;
  }

  spawnRouter(router) {
    const [program, ...words] = runCommand();
    const child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env: { PATH: process.env.PATH ?? '', ACACIADRUM_CONFIG: router.file },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = path.join(this.temporary, `${router.name}.log`);
    child.stdout.on('data', (chunk) => appendFileSync(log, chunk));
    child.stderr.on('data', (chunk) => appendFileSync(log, chunk));
    child.once('exit', (code, signal) => {
      if (!router.isExpectedToEnd) this.note(`router ${router.name} ended: ${code ?? signal}`);
      if (router.child === child) Object.assign(router, { child: undefined });
    });
    Object.assign(router, { child, log, isExpectedToEnd: false });
    this.note(`router ${router.name} started as process ${child.pid}`);
  }

  /** Waits until a router says that it is ready. */
  async awaitReady(router, limitMs = 20_000) {
    const endsAt = performance.now() + limitMs;
    while (performance.now() < endsAt) {
      const status = await getStatus(router.readiness, '/-/readyz');
      if (status === 200) {
        this.note(`router ${router.name} is ready`);
        return;
      }
      await pause(50);
    }
    throw new Error(`router ${router.name} is not ready`);
  }

  async addServer(options) {
    const server = new Server(this, options);
    await server.listen();
    this.servers.push(server);
    return server;
  }

  async dispose() {
    for (const router of this.routers) {
      if (router.child === undefined) continue;
      router.isExpectedToEnd = true;
      const exited = once(router.child, 'exit');
      router.child.kill('SIGKILL');
      await exited;
    }
    for (const server of this.servers) server.close();
    this.store.close();
    if (process.env.KEEP_LOGS === undefined) rmSync(this.temporary, { recursive: true });
    else this.note(`logs: ${this.temporary}`);
  }
}

/** Time after which a case counts as not run, in milliseconds. */
const LIMIT_MS = 115_000;

/** Runs a case and ends with its verdict: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function play(url, steps) {
  const played = new Case(path.dirname(fileURLToPath(url)));
  const end = async (code) => {
    await played.dispose().catch(() => {});
    process.exit(code);
  };
  const giveUp = (reason) => {
    played.note(`could not run: ${reason}`);
    end(2);
  };
  process.on('uncaughtException', (error) => giveUp(error.stack));
  process.on('SIGTERM', () => giveUp('ended by a signal'));
  process.on('SIGINT', () => giveUp('ended by a signal'));
  setTimeout(() => giveUp('it took too long'), LIMIT_MS).unref();
  try {
    await played.startStore();
    const broken = await steps(played);
    played.note(broken ? `RULE BROKEN: ${broken}` : 'the rule held');
    await end(broken ? 1 : 0);
  } catch (error) {
    giveUp(error.stack);
  }
}
