/** One router in a process of its own, started as the deploy file says, and again when it ends. */
import { spawn } from 'node:child_process';
import { createWriteStream, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { renderSettings, ROOT, startCommand } from './DeployFile.mjs';

/** Delay after which the platform starts a process that has ended, in milliseconds. */
const RESTART_DELAY_MS = 500;

/** Interval at which the platform compares the memory of a process with its limit, in milliseconds. */
const MEMORY_CHECK_MS = 50;

/** Memory of a machine of the users' sheets, in megabytes. */
export const MEMORY_MB = 350;

/** Bounds of the users' sheets that the settings have. */
export const BOUNDS = {
  drain_ms: 2000,
  grace_s: 8,
  retry_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 196,
};

export class RouterProcess {
  /** Ends of the process that the test did not ask for. */
  ends = [];

  /** Largest resident memory that was seen, in megabytes. */
  peakMb = 0;

  child;

  #isStopped = false;

  #memoryTimer;

  /**
   * @param machine - `name`, `zone`, `ip`, and `ports` for callers, readiness and peers
   * @param record - receives a line for each start and end
   */
  constructor(machine, folder, record) {
    this.machine = machine;
    this.name = machine.name;
    this.folder = folder;
    this.record = record;
    this.settingsFile = path.join(folder, `${machine.name}.yaml`);
    this.logFile = path.join(folder, `${machine.name}.log`);
    const { ip, ports } = machine;
    this.callers = { host: ip, port: ports.callers };
    this.readiness = { host: ip, port: ports.readiness };
    this.peers = `${ip}:${ports.peers}`;
  }

  configure({ storeAddress, seeds, isFirstStart }) {
    const { name, zone, ip, ports } = this.machine;
    const fields = {
      node_name: name,
      role: 'entry',
      ip,
      zone,
      region: 'region',
      seeds,
      bootstrap: isFirstStart,
      listen: {
        frontend: `${ip}:${ports.callers}`,
        readiness: `${ip}:${ports.readiness}`,
        control_plane: this.peers,
      },
      limits: { cpu_fraction: 0.675, cores: 1, memory_mb: MEMORY_MB, link_mbps: 1000 },
      bounds: BOUNDS,
      platform: { address: storeAddress },
    };
    writeFileSync(this.settingsFile, renderSettings(fields));
  }

  start() {
    const [program, ...args] = startCommand();
    const log = createWriteStream(this.logFile, { flags: 'a' });
    const child = spawn(program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH ?? '',
        HOME: process.env.HOME ?? '',
        ACACIADRUM_CONFIG: this.settingsFile,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.child = child;
    this.record(`start ${this.name}`);
    child.once('exit', (code, signal) => {
      if (this.child === child) this.child = undefined;
      this.record(`end ${this.name} code=${code} signal=${signal}`);
      if (this.#isStopped) return;
      this.ends.push({ code, signal });
      setTimeout(() => {
        if (!this.#isStopped && this.child === undefined) this.start();
      }, RESTART_DELAY_MS);
    });
    this.#memoryTimer ??= setInterval(() => this.#checkMemory(), MEMORY_CHECK_MS);
  }

  get memoryMb() {
    if (this.child === undefined) return 0;
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }

  /** The platform kills a process that exceeds the memory of its machine. */
  #checkMemory() {
    const usedMb = this.memoryMb;
    this.peakMb = Math.max(this.peakMb, usedMb);
    if (usedMb <= MEMORY_MB) return;
    this.record(`memory ${this.name} ${Math.round(usedMb)} MB of ${MEMORY_MB} MB: killed`);
    this.child?.kill('SIGKILL');
  }

  signal(name) {
    this.record(`signal ${name} to ${this.name}`);
    this.child?.kill(name);
  }

  /** Log lines of one event. */
  logged(event) {
    const lines = [];
    for (const line of readFileSync(this.logFile, 'utf8').split('\n')) {
      if (line.includes(`"msg":"${event}"`)) lines.push(JSON.parse(line));
    }
    return lines;
  }

  dispose() {
    this.#isStopped = true;
    clearInterval(this.#memoryTimer);
    this.child?.kill('SIGKILL');
  }
}
