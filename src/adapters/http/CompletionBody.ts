/** Parses the request bodies that OpenAI-compatible client libraries send. */
import { err, ok, type Result } from 'true-myth/result';
import { z } from 'zod';

/** The two kinds of completion request and answer, each with its own endpoint. */
export enum CompletionShape {
  Text = 'text',
  Chat = 'chat',
}

/** A parsed completion request. */
export interface CompletionBody {
  readonly shape: CompletionShape;
  readonly pipeline: string;
  readonly prompt: string;
  /** 0 if the caller sets no limit. */
  readonly maxTokens: number;
  readonly stream: boolean;
  /** From 0 to 9; of an account's requests, those of higher priority run first. */
  readonly priority: number;
}

const MAX_PRIORITY = 9;
const optionalTokenLimit = z.number().int().positive().nullish();
const commonFields = {
  model: z.string().min(1),
  stream: z.boolean().nullish(),
  max_tokens: optionalTokenLimit,
  priority: z.number().int().min(0).max(MAX_PRIORITY).nullish(),
  n: z.literal(1, 'only n: 1 is supported').nullish(),
};

const textBody = z.looseObject({
  ...commonFields,
  prompt: z.union([z.string(), z.array(z.string()).length(1, 'send one prompt per request')]),
});

const contentPart = z.looseObject({ type: z.string(), text: z.string().optional() });

const chatBody = z.looseObject({
  ...commonFields,
  max_completion_tokens: optionalTokenLimit,
  messages: z
    .array(
      z.looseObject({
        role: z.string(),
        content: z.union([z.string(), z.array(contentPart)]).nullish(),
      }),
    )
    .min(1),
});

type BodyParser = (value: unknown) => Result<CompletionBody, string>;

function describeFirstIssue(error: z.ZodError): string {
  const [issue] = error.issues;
  return `The body is not valid at "${issue?.path.join('.') ?? ''}": ${issue?.message ?? 'not valid'}. Correct it and send it again.`;
}

function chatPrompt(messages: z.output<typeof chatBody>['messages']): string {
  const lines: string[] = [];
  for (const { role, content } of messages) {
    const text = Array.isArray(content)
      ? content.map((item) => item.text ?? '').join('')
      : (content ?? '');
    lines.push(`${role}: ${text}`);
  }
  return lines.join('\n');
}

const PARSERS: Readonly<Record<CompletionShape, BodyParser>> = {
  [CompletionShape.Text]: (value) => {
    const parsed = textBody.safeParse(value);
    if (!parsed.success) return err(describeFirstIssue(parsed.error));
    const { data } = parsed;
    const prompt = Array.isArray(data.prompt) ? data.prompt[0] : data.prompt;
    return ok({
      shape: CompletionShape.Text,
      pipeline: data.model,
      prompt,
      maxTokens: data.max_tokens ?? 0,
      stream: data.stream ?? false,
      priority: data.priority ?? 0,
    });
  },
  [CompletionShape.Chat]: (value) => {
    const parsed = chatBody.safeParse(value);
    if (!parsed.success) return err(describeFirstIssue(parsed.error));
    const { data } = parsed;
    return ok({
      shape: CompletionShape.Chat,
      pipeline: data.model,
      prompt: chatPrompt(data.messages),
      maxTokens: data.max_completion_tokens ?? data.max_tokens ?? 0,
      stream: data.stream ?? false,
      priority: data.priority ?? 0,
    });
  },
};

/**
 * Parses a request body.
 * @returns the request, or a message for the caller that names the first validation fault
 */
export function parseCompletion(
  shape: CompletionShape,
  body: Buffer,
): Result<CompletionBody, string> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch {
    return err('The body is not JSON. Send a JSON object.');
  }
  return PARSERS[shape](value);
}
