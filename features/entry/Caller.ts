/** HTTP client of the tests: sends one request as a caller and records the answer. */
import { request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { hostAndPort } from '../../src/adapters/http/HttpClient.js';
import { DEMO_KEYS } from '../../src/fakes/DemoFleet.js';

export interface CallerAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly trailers: NodeJS.Dict<string>;
  readonly body: string;
  /** Whether the answer arrived in full. */
  readonly ended: boolean;
}

export interface TestRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly body?: string;
  readonly headers?: Record<string, string>;
  /** Number of body chunks after which to close the connection. */
  readonly disconnectAfter?: number;
  readonly onChunk?: (count: number) => void;
}

/** Describes an answer in the message of a failed check. */
export function describeAnswer({ status, headers, body }: CallerAnswer): string {
  return `${status} ${headers['acaciadrum-outcome']} ${headers['acaciadrum-reason']} ${body}`;
}

const NO_ANSWER: CallerAnswer = { status: 0, headers: {}, trailers: {}, body: '', ended: false };

/** Sends a request with the key of a demo account; a failed connection resolves to status 0. */
export function sendRequest(request: TestRequest): Promise<CallerAnswer> {
  return new Promise((resolve) => {
    const outgoing = httpRequest(
      {
        ...hostAndPort(request.address),
        method: request.method,
        path: request.path,
        agent: false,
        headers: {
          authorization: `Bearer ${DEMO_KEYS.workshop}`,
          'content-type': 'application/json',
          ...request.headers,
        },
      },
      (message) => {
        let body = '';
        let chunks = 0;
        const finish = (ended: boolean) =>
          resolve({
            status: message.statusCode ?? 0,
            headers: message.headers,
            trailers: message.trailers,
            body,
            ended,
          });
        message.on('data', (chunk: Buffer) => {
          body += chunk.toString();
          chunks += 1;
          request.onChunk?.(chunks);
          if (chunks === request.disconnectAfter) outgoing.destroy();
        });
        message.on('end', () => finish(true));
        message.on('error', () => finish(false));
        message.on('aborted', () => finish(false));
      },
    );
    outgoing.on('error', () => resolve(NO_ANSWER));
    outgoing.end(request.body);
  });
}

/** Extracts text and finish reason of a streamed answer; `whole` requires the terminating event. */
export function parseStream(body: string): { text: string; whole: boolean; finish: string } {
  let text = '';
  let finish = '';
  for (const event of body.split('\n\n')) {
    if (!event.startsWith('data: {')) continue;
    const { choices } = JSON.parse(event.slice('data: '.length)) as {
      choices?: { text?: string; delta?: { content?: string }; finish_reason: string | null }[];
    };
    const choice = choices?.[0];
    text += choice?.text ?? choice?.delta?.content ?? '';
    finish = choice?.finish_reason ?? finish;
  }
  return { text, finish, whole: body.endsWith('data: [DONE]\n\n') };
}
