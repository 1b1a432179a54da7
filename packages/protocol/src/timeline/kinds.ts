/** Kinds of time line events and the payload that each carries. */
import type { Millis, OutcomeKind, Ran, SendMode, Tokens } from '@bluebellhill/domain'

/** What a time line event tells of. */
export const EventKind = {
  RequestAdmitted: 'request_admitted',
  RequestRefused: 'request_refused',
  RequestFinished: 'request_finished',
  KeyClaimed: 'key_claimed',
  OrderSought: 'order_sought',
  OrderQueued: 'order_queued',
  OrderGranted: 'order_granted',
  OrderRefused: 'order_refused',
  DispatcherLost: 'dispatcher_lost',
  AttemptSent: 'attempt_sent',
  FirstToken: 'first_token',
  AttemptBroken: 'attempt_broken',
  AttemptCompleted: 'attempt_completed',
  AttemptResumed: 'attempt_resumed',
  AttemptContinued: 'attempt_continued',
  AttemptCancelled: 'attempt_cancelled',
  AttemptRecalled: 'attempt_recalled',
  AnswerDropped: 'answer_dropped',
  GrantLapsed: 'grant_lapsed',
  OrphanFreed: 'orphan_freed',
  RunnerTakenOver: 'runner_taken_over',
  RunnerChanged: 'runner_changed',
  MemberChanged: 'member_changed',
  ClockDistrusted: 'clock_distrusted',
  ProcessPaused: 'process_paused',
  ConfigurationInstalled: 'configuration_installed',
  LeaseWon: 'lease_won',
  LeaseLost: 'lease_lost',
  EngineOrdered: 'engine_ordered',
  PlatformChanged: 'platform_changed',
  PartFailed: 'part_failed',
  NodeStarted: 'node_started',
  NodeStopping: 'node_stopping',
  NodeStopped: 'node_stopped'
} as const
export type EventKind = typeof EventKind[keyof typeof EventKind]

/** Why an answer that arrived was not passed on. */
export const DropCause = {
  /** It came after its attempt had ended. */
  Late: 'late',
  /** It carried another request's or attempt's id, or another offset. */
  Crossed: 'crossed'
} as const
export type DropCause = typeof DropCause[keyof typeof DropCause]

/** What a node knows of a runner's fitness for new work. */
export const RunnerState = {
  Ready: 'ready',
  Loading: 'loading',
  Leaving: 'leaving',
  Unreachable: 'unreachable',
  Removed: 'removed'
} as const
export type RunnerState = typeof RunnerState[keyof typeof RunnerState]

/** What a node knows of another node. */
export const MemberState = {
  Alive: 'alive',
  Suspect: 'suspect',
  Unreachable: 'unreachable',
  Leaving: 'leaving',
  Gone: 'gone'
} as const
export type MemberState = typeof MemberState[keyof typeof MemberState]

interface Nothing { readonly [key: string]: never }

/** The payload of each kind of event. */
export interface EventPayloads {
  [EventKind.RequestAdmitted]: {
    readonly template: string
    readonly model: string
    readonly promptTokens: Tokens
    readonly maxTokens: Tokens
    readonly limit: Millis
    readonly idempotent: boolean
    readonly urgency: number
  }
  [EventKind.RequestRefused]: { readonly code: OutcomeKind, readonly ran: Ran, readonly retryAfter: Millis | null }
  [EventKind.RequestFinished]: {
    readonly code: OutcomeKind
    readonly ran: Ran
    readonly generated: Tokens
    readonly duration: Millis
    readonly firstToken: Millis | null
    readonly attempts: number
  }
  /** `state` is what the register answered: claimed, replayed, conflict, in progress or unavailable. */
  [EventKind.KeyClaimed]: { readonly state: string, readonly duration: Millis }
  /** The entry node asks a dispatcher for a grant. */
  [EventKind.OrderSought]: { readonly dispatcher: string, readonly excluded: readonly string[], readonly remaining: Millis }
  /** The dispatcher took the order into its queue. */
  [EventKind.OrderQueued]: { readonly entry: string, readonly ahead: number, readonly promptTokens: Tokens }
  [EventKind.OrderGranted]: { readonly entry: string, readonly queueDelay: Millis, readonly validFor: Millis, readonly priority: number, readonly group: readonly string[] }
  [EventKind.OrderRefused]: { readonly entry: string, readonly code: OutcomeKind, readonly retryAfter: Millis }
  [EventKind.DispatcherLost]: { readonly dispatcher: string }
  [EventKind.AttemptSent]: { readonly dispatcher: string, readonly mode: SendMode, readonly generated: Tokens }
  [EventKind.FirstToken]: { readonly elapsed: Millis }
  [EventKind.AttemptBroken]: { readonly started: Ran, readonly generated: Tokens }
  [EventKind.AttemptCompleted]: { readonly generated: Tokens }
  [EventKind.AttemptResumed]: { readonly offset: Tokens }
  [EventKind.AttemptContinued]: { readonly offset: Tokens, readonly previous: string | null }
  [EventKind.AttemptCancelled]: { readonly generated: Tokens }
  [EventKind.AttemptRecalled]: { readonly dispatcher: string }
  [EventKind.AnswerDropped]: { readonly cause: DropCause, readonly offset: Tokens | null }
  [EventKind.GrantLapsed]: { readonly entry: string }
  /** `heldTokens` is null where the engine has not told. */
  [EventKind.OrphanFreed]: { readonly heldTokens: Tokens | null }
  [EventKind.RunnerTakenOver]: { readonly previous: string | null }
  [EventKind.RunnerChanged]: { readonly from: RunnerState | null, readonly to: RunnerState }
  [EventKind.MemberChanged]: { readonly member: string, readonly from: MemberState | null, readonly to: MemberState, readonly incarnation: number }
  /** The node's own process was stopped or starved. */
  [EventKind.ProcessPaused]: { readonly gap: Millis }
  [EventKind.ClockDistrusted]: { readonly member: string, readonly ahead: Millis }
  /** `organisation` of the event is absent where the fleet's own value was installed. */
  [EventKind.ConfigurationInstalled]: { readonly revision: string, readonly previous: string | null, readonly source: string }
  [EventKind.LeaseWon]: { readonly lease: string, readonly fencing: string }
  [EventKind.LeaseLost]: { readonly lease: string, readonly fencing: string }
  [EventKind.EngineOrdered]: { readonly order: string, readonly fencing: string, readonly accepted: boolean }
  [EventKind.PlatformChanged]: { readonly service: string, readonly available: boolean }
  /** A part of the node met an unforeseen error and goes on. */
  [EventKind.PartFailed]: { readonly part: string, readonly during: string }
  [EventKind.NodeStarted]: { readonly failureDomain: string, readonly version: string }
  [EventKind.NodeStopping]: { readonly inProgress: number }
  [EventKind.NodeStopped]: Nothing
}

/** Kinds that tell of one request; the others tell of the fleet and are kept longer. */
export const REQUEST_KINDS: ReadonlySet<EventKind> = new Set([
  EventKind.RequestAdmitted,
  EventKind.RequestRefused,
  EventKind.RequestFinished,
  EventKind.KeyClaimed,
  EventKind.OrderSought,
  EventKind.OrderQueued,
  EventKind.OrderGranted,
  EventKind.OrderRefused,
  EventKind.DispatcherLost,
  EventKind.AttemptSent,
  EventKind.FirstToken,
  EventKind.AttemptBroken,
  EventKind.AttemptCompleted,
  EventKind.AttemptResumed,
  EventKind.AttemptContinued,
  EventKind.AttemptCancelled,
  EventKind.AttemptRecalled,
  EventKind.AnswerDropped,
  EventKind.GrantLapsed
])

const KINDS: ReadonlySet<string> = new Set(Object.values(EventKind))

/**
 * Tells whether a word names a kind of event.
 *
 * @param text - the word
 * @returns true where it is a kind
 */
export const isEventKind = (text: string): text is EventKind => KINDS.has(text)
