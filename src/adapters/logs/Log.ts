import debug from 'debug';

/** Writes one short sentence. */
export type Log = (message: string) => void;

/** A log with the prefix `acaciadrum:<part>`; switched on by the DEBUG variable. */
export function logFor(part: string): Log {
  const write = debug(`acaciadrum:${part}`);
  return (message) => write(message);
}

/** Switches all parts on, for daemons whose DEBUG variable is not set. */
export function enableLogs(): void {
  if (process.env.DEBUG === undefined) debug.enable('acaciadrum:*');
}
