import type { ServerResponse } from 'node:http';
import type { RunResult } from '../../core/claims/KeyedRequestRunner.js';
import { Outcome, type Refusal } from '../../core/Outcome.js';
import type { CompletionRequest } from '../../core/requests/CompletionDispatcher.js';
import type { AnswerListener } from '../../core/streams/StreamSession.js';
import type { FinishReason } from '../../core/streams/Types.js';
import { Timing } from '../metrics/Metrics.js';
import { DONE_EVENT, createAnswerFormat, refusalEvent, type AnswerFormat } from './AnswerFormat.js';
import type { CompletionBody } from './CompletionBody.js';
import { sendRefusal } from './Refusals.js';
import type { CallerServerDependencies } from './Types.js';

const ID_BYTES = 12;

/** Used to estimate the prompt tokens that an answer's `usage` reports; the instance has no tokenizer. */
const CHARACTERS_PER_TOKEN = 4;

const SSE_TYPE = 'text/event-stream';
const JSON_TYPE = 'application/json';

/** Submits one completion to the dispatcher and formats its answer for the caller. */
export class CompletionRequestHandler {
  private readonly request: CompletionRequest;

  private readonly format: AnswerFormat;

  private startedAt = 0;

  private lastTokenAt = 0;

  private corked = false;

  /**
   * @param response - undefined only if `runBuffered` is used
   * @param bytes - size of the request body
   */
  public constructor(
    private readonly dependencies: CallerServerDependencies,
    private readonly response: ServerResponse | undefined,
    account: string,
    private readonly body: CompletionBody,
    bytes: number,
  ) {
    const id = `cmpl-${dependencies.random.id(ID_BYTES)}`;
    const { pipeline, prompt, maxTokens, priority } = body;
    this.request = { id, account, pipeline, prompt, maxTokens, priority, bytes };
    const promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    this.format = createAnswerFormat({
      id,
      created: Math.floor(Date.now() / 1000),
      body,
      promptTokens,
    });
    this.startedAt = dependencies.clock.now();
  }

  /** Sends the answer to the caller; cancels the completion if the caller disconnects. */
  public sendToCaller(): Promise<void> {
    const response = this.response as ServerResponse;
    return new Promise((resolve) => {
      const listener = this.body.stream
        ? this.streamListener(response)
        : this.bufferedListener(response);
      const handle = this.dependencies.completions.submit(this.request, listener);
      response.once('close', () => {
        handle.dispose();
        resolve();
      });
    });
  }

  /** Runs to the end even if the caller disconnects, and returns the whole answer. */
  public runBuffered(): Promise<RunResult> {
    let text = '';
    let events = '';
    return new Promise((resolve) => {
      this.dependencies.completions.submit(this.request, {
        onToken: (token) => {
          this.recordTokenTime();
          if (this.body.stream) events += this.format.tokenEvent(token);
          else text += token;
        },
        onEnd: (finish, tokens) => {
          this.dependencies.metrics.countCompleted('completion');
          const content = this.body.stream
            ? events + this.format.finalEvent(finish, tokens) + DONE_EVENT
            : this.format.bufferedBody(text, finish, tokens);
          const contentType = this.body.stream ? SSE_TYPE : JSON_TYPE;
          resolve({
            answer: { status: 200, contentType, body: Buffer.from(content).toString('base64') },
          });
        },
        onRefusal: (refused) => resolve({ refusal: refused }),
      });
    });
  }

  private streamListener(response: ServerResponse): AnswerListener {
    return {
      onToken: (text) => {
        this.recordTokenTime();
        if (!response.headersSent) this.beginStream(response);
        this.writeEvent(response, this.format.tokenEvent(text));
      },
      onEnd: (finish: FinishReason, tokens: number) => {
        this.dependencies.metrics.countCompleted('completion');
        if (!response.headersSent) this.beginStream(response);
        response.addTrailers({ 'Acaciadrum-Outcome': Outcome.Complete });
        response.end(this.format.finalEvent(finish, tokens) + DONE_EVENT);
      },
      onRefusal: (refusal: Refusal) => this.refuse(response, refusal),
    };
  }

  private bufferedListener(response: ServerResponse): AnswerListener {
    let answer = '';
    return {
      onToken: (text) => {
        this.recordTokenTime();
        answer += text;
      },
      onEnd: (finish: FinishReason, tokens: number) => {
        this.dependencies.metrics.countCompleted('completion');
        const text = this.format.bufferedBody(answer, finish, tokens);
        response.writeHead(200, {
          'content-type': JSON_TYPE,
          'acaciadrum-outcome': Outcome.Complete,
        });
        response.end(text);
      },
      onRefusal: (refusal: Refusal) => this.refuse(response, refusal),
    };
  }

  private refuse(response: ServerResponse, refusal: Refusal): void {
    if (!response.headersSent || response.destroyed) {
      sendRefusal(response, refusal, this.dependencies.metrics);
      return;
    }
    this.dependencies.metrics.countRefusal(refusal.reason, refusal.outcome);
    response.addTrailers({
      'Acaciadrum-Outcome': refusal.outcome,
      'Acaciadrum-Reason': refusal.reason,
    });
    response.end(refusalEvent(refusal));
  }

  private beginStream(response: ServerResponse): void {
    response.writeHead(200, {
      'content-type': SSE_TYPE,
      'cache-control': 'no-cache',
      trailer: 'Acaciadrum-Outcome, Acaciadrum-Reason',
    });
  }

  /** Corks the response until the next tick, so that the tokens of one engine chunk share a write. */
  private writeEvent(response: ServerResponse, event: string): void {
    if (!this.corked) {
      this.corked = true;
      response.cork();
      process.nextTick(() => {
        this.corked = false;
        response.uncork();
      });
    }
    response.write(event);
  }

  private recordTokenTime(): void {
    const now = this.dependencies.clock.now();
    if (this.lastTokenAt === 0)
      this.dependencies.metrics.recordTime(Timing.FirstToken, now - this.startedAt);
    else this.dependencies.metrics.recordTime(Timing.TokenGap, now - this.lastTokenAt);
    this.lastTokenAt = now;
  }
}
