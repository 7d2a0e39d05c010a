/** The JSON that OpenAI-compatible client libraries read. */
import { Outcome, type Refusal } from '../../core/Outcome.js';
import type { FinishReason } from '../../core/streams/Types.js';
import { CompletionShape, type CompletionBody } from './CompletionBody.js';

/** Identifies one answer. */
export interface CompletionHead {
  readonly id: string;
  /** Seconds since the epoch. */
  readonly created: number;
  readonly body: CompletionBody;
  readonly promptTokens: number;
}

/** Builds the parts of one answer. */
export interface AnswerFormat {
  /** One token as a server-sent event. */
  tokenEvent(text: string): string;
  /** The last event: finish reason, token count and outcome. */
  finalEvent(finish: FinishReason, tokens: number): string;
  /** The whole answer as one JSON object. */
  bufferedBody(text: string, finish: FinishReason, tokens: number): string;
}

/** Ends every stream that is whole. */
export const DONE_EVENT = 'data: [DONE]\n\n';

const tokenUsage = (head: CompletionHead, tokens: number) => ({
  prompt_tokens: head.promptTokens,
  completion_tokens: tokens,
  total_tokens: head.promptTokens + tokens,
});

const completeOutcome = (tokens: number) => ({ outcome: Outcome.Complete, tokens });

const FORMATS: Readonly<Record<CompletionShape, (head: CompletionHead) => AnswerFormat>> = {
  [CompletionShape.Text]: (head) => {
    const base = {
      id: head.id,
      object: 'text_completion',
      created: head.created,
      model: head.body.pipeline,
    };
    const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[{"index":0,"text":`;
    return {
      tokenEvent: (text) =>
        `${prefix}${JSON.stringify(text)},"logprobs":null,"finish_reason":null}]}\n\n`,
      finalEvent: (finish, tokens) =>
        `data: ${JSON.stringify({
          ...base,
          choices: [{ index: 0, text: '', logprobs: null, finish_reason: finish }],
          usage: tokenUsage(head, tokens),
          acaciadrum: completeOutcome(tokens),
        })}\n\n`,
      bufferedBody: (text, finish, tokens) =>
        JSON.stringify({
          ...base,
          choices: [{ index: 0, text, logprobs: null, finish_reason: finish }],
          usage: tokenUsage(head, tokens),
        }),
    };
  },
  [CompletionShape.Chat]: (head) => {
    const base = {
      id: head.id,
      object: 'chat.completion.chunk',
      created: head.created,
      model: head.body.pipeline,
    };
    const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[{"index":0,"delta":{"role":"assistant","content":`;
    return {
      tokenEvent: (text) => `${prefix}${JSON.stringify(text)}},"finish_reason":null}]}\n\n`,
      finalEvent: (finish, tokens) =>
        `data: ${JSON.stringify({
          ...base,
          choices: [{ index: 0, delta: {}, finish_reason: finish }],
          usage: tokenUsage(head, tokens),
          acaciadrum: completeOutcome(tokens),
        })}\n\n`,
      bufferedBody: (content, finish, tokens) =>
        JSON.stringify({
          ...base,
          object: 'chat.completion',
          choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: finish }],
          usage: tokenUsage(head, tokens),
        }),
    };
  },
};

/** Builds the format of an answer. */
export function createAnswerFormat(head: CompletionHead): AnswerFormat {
  return FORMATS[head.body.shape](head);
}

/** The JSON body of a refusal. */
export function refusalBody(refusal: Refusal): string {
  return JSON.stringify({
    error: {
      message: refusal.message,
      type: refusal.outcome,
      code: refusal.reason,
      outcome: refusal.outcome,
      retry_after_ms: refusal.retryAfterMs,
    },
  });
}

/** A refusal as the last event of a stream that is not whole. */
export function refusalEvent(refusal: Refusal): string {
  return `event: error\ndata: ${refusalBody(refusal)}\n\n`;
}
