/** Formats answers and refusals as the JSON that OpenAI-compatible client libraries expect. */
import { Outcome, type Refusal } from '../../core/Outcome.js';
import type { FinishReason } from '../../core/streams/Types.js';
import { CompletionShape, type CompletionBody } from './CompletionBody.js';

/** Values common to all parts of one answer. */
export interface CompletionHead {
  readonly id: string;
  /** Unix time, in seconds. */
  readonly created: number;
  readonly body: CompletionBody;
  readonly promptTokens: number;
}

/** Formats the parts of one answer. */
export interface AnswerFormat {
  /** Formats one token as a server-sent event. */
  tokenEvent(text: string): string;
  /** Formats the last server-sent event: finish reason, token count and outcome. */
  finalEvent(finish: FinishReason, tokens: number): string;
  /** Formats the whole answer as one JSON object. */
  bufferedBody(text: string, finish: FinishReason, tokens: number): string;
}

/** Terminates every complete stream. */
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

export function createAnswerFormat(head: CompletionHead): AnswerFormat {
  return FORMATS[head.body.shape](head);
}

/** Formats a refusal as a JSON body. */
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

/** Formats a refusal as the last event of an incomplete stream. */
export function refusalEvent(refusal: Refusal): string {
  return `event: error\ndata: ${refusalBody(refusal)}\n\n`;
}
