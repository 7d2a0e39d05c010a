/** One router instance in a process of its own. */
import { spawn, type ChildProcess } from 'node:child_process';
import {
  createWriteStream,
  readdirSync,
  readFileSync,
  writeFileSync,
  type WriteStream,
} from 'node:fs';
import { once } from 'node:events';
import path from 'node:path';
import { stringify } from 'yaml';
import { freeAddress } from '../platform/Ports.js';

const PROGRAM = 'dist/src/router/main.js';

const DEFAULT_FLAGS: readonly string[] = ['--max-old-space-size=200'];

/** Time within which an instance must exit after SIGTERM before it is killed, in seconds. */
export const STOP_GRACE_S = 5;

/** Time after the announcement in which a leaving server may still get work, in milliseconds. */
export const DRAIN_MS = 1000;

export class RouterProcess {
  public callersAddress = '';

  public peersAddress = '';

  /** Whether the process is paused by SIGSTOP. */
  public isPaused = false;

  private child: ChildProcess | undefined;

  /** Addresses of the listeners by the names that the settings give them. */
  public readonly listeners: Record<string, string> = {};

  public readonly settingsFile: string;

  public readonly logFile: string;

  private readonly log: WriteStream;

  public constructor(
    public readonly name: string,
    private readonly failureDomain: string,
    folder: string,
  ) {
    this.settingsFile = path.join(folder, `${name}.yaml`);
    this.logFile = path.join(folder, `${name}.log`);
    this.log = createWriteStream(this.logFile, { flags: 'a' });
  }

  /**
   * Writes the settings file, with free addresses for all listeners.
   * @param machine - what the machine can carry; left out of the file if undefined
   */
  public async configure(
    storeAddress: string,
    seeds: readonly string[],
    machine?: Readonly<Record<string, number>>,
  ): Promise<void> {
    this.callersAddress = await freeAddress();
    this.peersAddress = await freeAddress();
    this.listeners.callers = this.callersAddress;
    this.listeners.peers = this.peersAddress;
    this.listeners.readiness = await freeAddress();
    this.listeners.metrics = await freeAddress();
    const settings = {
      instance: this.name,
      failureDomain: this.failureDomain,
      callers: { address: this.callersAddress },
      readiness: { address: this.listeners.readiness },
      peers: { address: this.peersAddress, seeds },
      metrics: { address: this.listeners.metrics },
      store: { address: storeAddress },
      ...(machine !== undefined && { machine }),
      bounds: {
        drainMs: DRAIN_MS,
        stopGraceS: STOP_GRACE_S,
        retryShare: 0.2,
        retrySlack: 60,
        retryWindowS: 10,
      },
    };
    writeFileSync(this.settingsFile, stringify(settings));
  }

  /** Largest resident memory of the process so far, in megabytes; 0 if it does not run. */
  public get peakMemoryMb(): number {
    return this.memoryMb('VmHWM');
  }

  /** Resident memory of the process now, in megabytes; 0 if it does not run. */
  public get residentMemoryMb(): number {
    return this.memoryMb('VmRSS');
  }

  /** Whether the process handles a signal by its number. */
  public handlesSignal(number: number): boolean {
    if (this.child?.pid === undefined) return false;
    const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    const mask = BigInt(`0x${/^SigCgt:\s+([0-9a-f]+)$/m.exec(status)?.[1] ?? '0'}`);
    return mask.toString(2).at(-number) === '1';
  }

  public get isRunning(): boolean {
    return this.child !== undefined;
  }

  /** Number of open descriptors of the process; 0 if it does not run. */
  public get openDescriptors(): number {
    if (this.child?.pid === undefined) return 0;
    try {
      return readdirSync(`/proc/${this.child.pid}/fd`).length;
    } catch {
      // The process is ending.
      return 0;
    }
  }

  /** @param flags - flags of Node */
  public start(flags: readonly string[] = DEFAULT_FLAGS): void {
    const child = spawn(process.execPath, [...flags, PROGRAM], {
      env: { PATH: process.env.PATH ?? '', ACACIADRUM_CONFIG: this.settingsFile },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', () => {
      if (this.child === child) this.child = undefined;
    });
    this.child = child;
    this.isPaused = false;
  }

  public signal(name: NodeJS.Signals): void {
    if (name === 'SIGSTOP') this.isPaused = true;
    if (name === 'SIGCONT') this.isPaused = false;
    this.child?.kill(name);
  }

  /** Kills the process in any state and waits until it has exited. */
  public async kill(): Promise<void> {
    const { child } = this;
    if (child === undefined) return;
    const exited = once(child, 'exit');
    child.kill('SIGKILL');
    await exited;
  }

  /**
   * Waits until the process has exited.
   * @returns its exit code, null when a signal ended it or it was not running,
   *   undefined when it still runs after the timeout
   */
  public async waitForExit(timeoutMs: number): Promise<number | null | undefined> {
    const { child } = this;
    if (child === undefined) return null;
    try {
      const [code] = (await once(child, 'exit', { signal: AbortSignal.timeout(timeoutMs) })) as [
        number | null,
      ];
      return code;
    } catch {
      return undefined;
    }
  }

  public async dispose(): Promise<void> {
    await this.kill();
    this.log.end();
  }

  /** Returns an entry of the kernel's status of the process; 0 if it does not run or is ending. */
  private memoryMb(entry: string): number {
    if (this.child?.pid === undefined) return 0;
    let status = '';
    try {
      status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
    } catch {
      return 0;
    }
    const kilobytes = new RegExp(`^${entry}:\\s+(\\d+) kB$`, 'm').exec(status)?.[1];
    return (Number(kilobytes ?? 0) * 1024) / 1e6;
  }
}
