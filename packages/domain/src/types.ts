/**
 * Identifiers and values that every aggregate shares.
 * Times are in milliseconds on a monotonic clock that the caller reads and passes in as `now`.
 */

declare const brand: unique symbol

/** A value of type `Base` that cannot be mixed up with another kind of identifier. */
export type Branded<Base, Name extends string> = Base & { readonly [brand]: Name }

export type RequestId = Branded<string, 'RequestId'>
export type AttemptId = Branded<string, 'AttemptId'>
export type RunnerId = Branded<string, 'RunnerId'>
export type NodeId = Branded<string, 'NodeId'>
export type OrganisationId = Branded<string, 'OrganisationId'>
export type FailureDomain = Branded<string, 'FailureDomain'>

/** Milliseconds, either a length of time or a reading of the monotonic clock. */
export type Millis = number

/** A number of model tokens. */
export type Tokens = number

/**
 * Fails at compile time where a union is not handled whole.
 *
 * @param value - the case that should not exist
 * @throws Error naming the value, if it is reached at run time
 */
export const assertNever = (value: never): never => {
  throw new Error(`unexpected value: ${JSON.stringify(value)}`)
}

/** Whether the request was executed by a backend server. */
export const Ran = {
  No: 'no',
  Yes: 'yes',
  Unknown: 'unknown'
} as const
export type Ran = typeof Ran[keyof typeof Ran]

/** Ways in which a request ends. `protocol` gives each its number, HTTP status and sentence. */
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
  CallerGone: 'caller_gone',
  Starting: 'starting',
  Stopping: 'stopping',
  Internal: 'internal'
} as const
export type OutcomeKind = typeof OutcomeKind[keyof typeof OutcomeKind]

/** The final result of a request. */
export interface Outcome {
  readonly kind: OutcomeKind
  readonly ran: Ran
  /** When the caller may try again; absent where trying again cannot help. */
  readonly retryAfter?: Millis
  /** What happened, for the time line and the operator; never holds a prompt. */
  readonly detail?: string
}
