/** Why a request was not sent to a further server. */
export enum RetryObstacle {
  /** Its route allows no second run of what a server may have run. */
  NotRepeatable = 'not-repeatable',
  /** The time that is left is shorter than any answer. */
  Time = 'time',
  RetryBudget = 'retry-budget',
  /** No server or route is usable now. */
  NoRoute = 'no-route',
  /** Its route allows no further server, and those already used are not usable now. */
  ServerLimit = 'server-limit',
  /** A part of the request is quarantined. */
  Quarantined = 'quarantined',
}
