import debug from 'debug';

/** Writes one message. */
export type Log = (message: string) => void;

/** Creates a log with the prefix `acaciadrum:<component>`, enabled by the DEBUG variable. */
export function logFor(component: string): Log {
  const write = debug(`acaciadrum:${component}`);
  return (message) => write(message);
}

/** Enables the logs of all components unless the DEBUG variable is set. Called by daemons. */
export function enableLogs(): void {
  if (process.env.DEBUG === undefined) debug.enable('acaciadrum:*');
}
