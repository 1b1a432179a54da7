/**
 * Identifiers and values that all folders of the domain package share.
 * Times are in milliseconds on a monotonic clock that the calling code reads and passes as `now`.
 */

declare const brand: unique symbol

/** A value of type `Base` that the compiler does not accept where a brand with another name is expected. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name }

export type RequestId = Branded<string, 'RequestId'>
export type AttemptId = Branded<string, 'AttemptId'>
export type RunnerId = Branded<string, 'RunnerId'>
export type NodeId = Branded<string, 'NodeId'>
export type OrganisationId = Branded<string, 'OrganisationId'>
export type FailureDomain = Branded<string, 'FailureDomain'>
export type Region = Branded<string, 'Region'>

/** Milliseconds: a duration or a reading of the monotonic clock. */
export type Millis = number

/** Longest time that a timer measures: 24.8 days. A longer one would fire at once. */
export const MAX_TIMER: Millis = 2 ** 31 - 1

/** A number of model tokens. */
export type Tokens = number

/** Greatest length of a prompt or an answer that is told to other nodes; no engine has memory for as much. */
export const MAX_TOKENS: Tokens = 2 ** 32 - 1

/**
 * Makes the compiler report a union whose cases are not all handled.
 *
 * @param value - the unhandled case, of type `never` when all cases are handled
 * @throws Error that contains the value, if it is reached at run time
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}

/** Whether a backend server executed the request. */
export const Ran = {
  No: 'no',
  Yes: 'yes',
  Unknown: 'unknown'
} as const
export type Ran = typeof Ran[keyof typeof Ran]

/** Ways in which a request ends. The protocol package maps each to its number, HTTP status and message. */
export const OutcomeKind = {
  Answered: 'answered',
  BadRequest: 'bad_request',
  Unauthorised: 'unauthorised',
  UnknownModel: 'unknown_model',
  UnknownRoute: 'unknown_route',
  TooLarge: 'too_large',
  DeadlinePassed: 'deadline_passed',
  DeadlineInfeasible: 'deadline_infeasible',
  Overloaded: 'overloaded',
  OrganisationLimit: 'organisation_limit',
  NoRunner: 'no_runner',
  NoGroup: 'no_group',
  KeyConflict: 'key_conflict',
  KeyInProgress: 'key_in_progress',
  KeyOutcomeUnknown: 'key_outcome_unknown',
  StoreUnavailable: 'store_unavailable',
  RetryBudgetSpent: 'retry_budget_spent',
  ServerRefused: 'server_refused',
  ServerFailed: 'server_failed',
  AnswerLost: 'answer_lost',
  CallerDisconnected: 'caller_gone',
  Starting: 'starting',
  Stopping: 'stopping',
  Internal: 'internal'
} as const
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind]

/** The final result of a request. */
export interface Outcome {
  readonly kind: OutcomeKind
  readonly ran: Ran
  /** Delay after which the caller may retry; absent if a retry cannot help. */
  readonly retryAfter?: Millis
  /** What happened, for the time line and the operator; never contains prompt text. */
  readonly detail?: string
}
