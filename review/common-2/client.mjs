// Clients of the routers.
import { request as httpRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { clearTimeout, setTimeout } from 'node:timers';

/** Asks for a path and returns the status; 0 if there is no answer. */
export function getStatus(address, target) {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const outgoing = httpRequest({ host, port, path: target, agent: false, timeout: 1000 });
    outgoing.on('response', (answer) => {
      answer.resume();
      resolve(answer.statusCode);
    });
    outgoing.on('timeout', () => outgoing.destroy());
    outgoing.on('error', () => resolve(0));
    outgoing.end();
  });
}

/**
 * Sends one request over a connection of its own, unless an agent is given.
 * @returns what the client saw
 */
export function send(address, { id, target, host = 'host', key = 'key-1', headers = {}, ...rest }) {
  const { body = 'body', method = 'POST', deadlineMs = 4000, agent = false, waitMs } = rest;
  const sentAt = performance.now();
  const seen = { id, target, status: 0, body: '', isComplete: false, headers: {}, sentAt };
  return new Promise((resolve) => {
    const finish = (error) => {
      if (seen.endedAt !== undefined) return;
      seen.endedAt = performance.now();
      seen.ms = Math.round(seen.endedAt - sentAt);
      if (error !== undefined) seen.error = error.code ?? error.message;
      clearTimeout(seen.timer);
      delete seen.timer;
      resolve(seen);
    };
    const [ip, port] = address.split(':');
    const outgoing = httpRequest({
      host: ip,
      port,
      method,
      path: target,
      agent,
      headers: {
        host,
        'x-attempt-id': id,
        'x-deadline-ms': String(deadlineMs),
        ...(key !== undefined && { authorization: `Token ${key}` }),
        ...headers,
      },
    });
    seen.timer = setTimeout(() => {
      outgoing.destroy();
      finish(new Error('the client left'));
    }, waitMs ?? deadlineMs);
    outgoing.on('response', (answer) => {
      seen.status = answer.statusCode;
      seen.headers = answer.headers;
      seen.headAt = performance.now();
      answer.on('data', (chunk) => {
        seen.body += chunk.toString('latin1');
      });
      answer.on('end', () => {
        seen.isComplete = answer.complete;
        finish();
      });
      answer.on('error', finish);
      answer.on('close', () => finish(new Error('closed early')));
    });
    outgoing.on('error', finish);
    outgoing.end(method === 'GET' ? undefined : body);
  });
}
