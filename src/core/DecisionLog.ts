/** Fields of one log line. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Structured log with one line for each decision that affects a request or changes what an instance
 * assumes about the system. Implementations never block.
 */
export interface DecisionLog {
  /**
   * Writes one line.
   * @param event - what was decided or observed
   * @param fields - the inputs, their age or version, and the outcome
   */
  record(event: string, fields: DecisionFields): void;
}
