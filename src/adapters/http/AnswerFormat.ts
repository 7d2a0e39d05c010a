/** Formats answers and refusals as the JSON that OpenAI-compatible client libraries expect. */
import { Outcome, type Refusal } from '../../core/Outcome.js';
import type { FinishReason } from '../../core/streams/Types.js';
import { CompletionShape, type CompletionBody } from './CompletionBody.js';

/** Values common to all parts of one answer. */
export interface AnswerMetadata {
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

const tokenUsage = (metadata: AnswerMetadata, tokens: number) => ({
  prompt_tokens: metadata.promptTokens,
  completion_tokens: tokens,
  total_tokens: metadata.promptTokens + tokens,
});

const completeOutcome = (tokens: number) => ({ outcome: Outcome.Complete, tokens });

const FORMATS: Readonly<Record<CompletionShape, (metadata: AnswerMetadata) => AnswerFormat>> = {
  [CompletionShape.Text]: (metadata) => {
    const base = {
      id: metadata.id,
      object: 'text_completion',
      created: metadata.created,
      model: metadata.body.pipeline,
    };
    const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[{"index":0,"text":`;
    return {
      tokenEvent: (text) =>
        `${prefix}${JSON.stringify(text)},"logprobs":null,"finish_reason":null}]}\n\n`,
      finalEvent: (finish, tokens) =>
        `data: ${JSON.stringify({
          ...base,
          choices: [{ index: 0, text: '', logprobs: null, finish_reason: finish }],
          usage: tokenUsage(metadata, tokens),
          acaciadrum: completeOutcome(tokens),
        })}\n\n`,
      bufferedBody: (text, finish, tokens) =>
        JSON.stringify({
          ...base,
          choices: [{ index: 0, text, logprobs: null, finish_reason: finish }],
          usage: tokenUsage(metadata, tokens),
        }),
    };
  },
  [CompletionShape.Chat]: (metadata) => {
    const base = {
      id: metadata.id,
      object: 'chat.completion.chunk',
      created: metadata.created,
      model: metadata.body.pipeline,
    };
    const prefix = `data: ${JSON.stringify(base).slice(0, -1)},"choices":[{"index":0,"delta":{"role":"assistant","content":`;
    return {
      tokenEvent: (text) => `${prefix}${JSON.stringify(text)}},"finish_reason":null}]}\n\n`,
      finalEvent: (finish, tokens) =>
        `data: ${JSON.stringify({
          ...base,
          choices: [{ index: 0, delta: {}, finish_reason: finish }],
          usage: tokenUsage(metadata, tokens),
          acaciadrum: completeOutcome(tokens),
        })}\n\n`,
      bufferedBody: (content, finish, tokens) =>
        JSON.stringify({
          ...base,
          object: 'chat.completion',
          choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: finish }],
          usage: tokenUsage(metadata, tokens),
        }),
    };
  },
};

export function createAnswerFormat(metadata: AnswerMetadata): AnswerFormat {
  return FORMATS[metadata.body.shape](metadata);
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
