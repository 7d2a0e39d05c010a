/** Values of one log line. */
export type DecisionFields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Takes one line for each decision that touches a request or changes a belief. Never blocks. */
export interface DecisionLog {
  /**
   * @param event - what was decided
   * @param fields - the inputs, their age or version, and the outcome
   */
  record(event: string, fields: DecisionFields): void;
}
