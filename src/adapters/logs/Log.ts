import debug from 'debug';

/** Writes one short sentence. */
export type Log = (message: string) => void;

/** A log with the prefix `acaciadrum:<part>`; switched on by the DEBUG variable. */
export function logFor(component: string): Log {
  const write = debug(`acaciadrum:${component}`);
  return (message) => write(message);
}

/** Switches all parts on, for daemons whose DEBUG variable is not set. */
export function enableLogs(): void {
  if (process.env.DEBUG === undefined) debug.enable('acaciadrum:*');
}
