/** Types of the placement of attempts by the scheduler of a group. */
import type { Assignment, HealthSignal, Millis, NodeId, PlacementChoice, PromptSize, Region, RunnerId, ServerNotice, ServiceTime, Suspect } from '@bluebellhill/domain'

/** An attempt that is to be placed; times are on the clock of this node. */
export interface PlacementSpec {
  /** Attempt id of the caller. */
  readonly request: string
  readonly service: string
  readonly size: PromptSize
  readonly objective: Millis
  /** Time at which the answer, or its first event, is due. */
  readonly dueAt: Millis
  readonly pauseObjective: Millis | null
  /** Servers that must not get the attempt. */
  readonly excluded: readonly RunnerId[]
  /** The only servers that may get it; null if all may. */
  readonly allowed: readonly RunnerId[] | null
  /** Whether the attempt is taken from the retry budget. */
  readonly chargesRetry: boolean
  /** Whether the scheduler of another group has passed it on. */
  readonly isRedirected: boolean
  readonly isFirstAttempt: boolean
  /** Whether it or a part of its prompt may crash servers: it goes where fewest requests run. */
  readonly isSuspected: boolean
  /** The request if it is quarantined, and the quarantined parts of its prompt, for which a trial is asked; empty if none is. */
  readonly trialParts: readonly Suspect[]
  /** The request, if it may crash servers itself: it gets a server without another such request. Absent if it is not suspected. */
  readonly isolatedAs?: Suspect
  /** Organisation of the caller; absent if it has none, or if the node that asks does not state it. */
  readonly organisation?: string
  /** From 0, the most urgent, to 9; absent if the node that asks does not state it. */
  readonly urgency?: number
  /** Time for which it has waited for a placement already; absent if it has not. */
  readonly waited?: Millis
  /** Digest that the request has each time its caller sends it; absent if the node that asks does not state it. */
  readonly identity?: string
  /** The only regions whose servers may get it; absent if all may. */
  readonly regions?: readonly Region[]
  /** Whether the node that asks understands that a request waits for its placement. */
  readonly acceptsQueueing?: boolean
  /** Whether it is a second attempt beside one in progress. */
  readonly isHedge?: boolean
}

/** How an attempt is placed because of what it may do to its server. */
export type AttemptCaution = Pick<PlacementSpec, 'isSuspected' | 'trialParts' | 'isolatedAs'>

/** The same with the identity of the request, where memory may be promised to it. */
export type IdentifiedCaution = AttemptCaution & Pick<PlacementSpec, 'identity'>

export const NO_CAUTION: AttemptCaution = { isSuspected: false, trialParts: [] }

/** Why an attempt is not placed. */
export const PlacementRefusal = {
  NoServer: 'no_server',
  /** No backend servers have the memory and a slot for it now; or, if it may wait, none will have them before its caller leaves. */
  NoRoom: 'no_room',
  /** All backend servers that could serve it have stated a request limit, and it is reached. */
  RequestLimit: 'request_limit',
  /** All backend servers that could serve it are cold, and have got as many requests as they accept until they are warm. */
  ServersCold: 'servers_cold',
  /** All backend servers that could serve it have stated that they are leaving. */
  ServersLeaving: 'servers_leaving',
  /** All backend servers that could serve it have asked this node for a pause. */
  ServersPaused: 'servers_paused',
  /** It or a part of its prompt is quarantined, and no trial is granted. */
  Quarantined: 'quarantined',
  /** It may crash servers, and each server runs another such request, or the same one is in progress. */
  SuspectsInProgress: 'suspects_in_progress',
  /** The caller would disconnect before the first event. */
  TooLate: 'too_late',
  RetryBudgetSpent: 'retry_budget_spent',
  UnknownService: 'unknown_service',
  /** The operator has evacuated all failure domains whose servers could serve it. */
  DomainsEvacuated: 'domains_evacuated',
  /** This node is stopping, and its answer would come too late. */
  NodeStopping: 'node_stopping'
} as const
export type PlacementRefusal = typeof PlacementRefusal[keyof typeof PlacementRefusal]

/** Load of the chosen server before the attempt, for the log. */
export interface ChosenServerLoad {
  readonly requests: number
  readonly pendingPrefill: Millis
}

/** Decision not to place an attempt. */
export interface RefusedPlacement {
  readonly type: 'refused'
  readonly reason: string
  /** Time after which the caller may return; null if nothing is known of it. */
  readonly retryAfter: Millis | null
  /** Whether memory is kept for the request until then. */
  readonly isPromised?: boolean
  /** Statement of a backend server because of which none is chosen; absent if there is none. */
  readonly notice?: ServerNotice
  /** Backend server that has asked for a pause until the caller may return; absent if there is none. */
  readonly pausedServer?: RunnerId
}

/** Decision about one attempt that does not wait. */
export type FinalPlacement = Exclude<PlacementResult, { readonly type: 'queued' }>

/** Decision about one attempt. */
export type PlacementResult =
  | {
    readonly type: 'placed'
    readonly choice: PlacementChoice
    readonly load: ChosenServerLoad
    /** Whether the request limit that the server has stated was applied; schedulers of earlier builds do not know of it. */
    readonly keepsLimit: boolean
    /** Whether the limit of cold servers was applied; absent if not, as with schedulers of earlier builds. */
    readonly keepsWarmUp?: boolean
    /** Some of the servers that were not considered because of what they have stated, for the log. */
    readonly passedOver: readonly RunnerId[]
    /** Whether it is a trial of what is quarantined; schedulers of earlier builds grant none. */
    readonly isTrial: boolean
    /** Whether the limits of hedges were applied; absent if it is no hedge, or the scheduler is of an earlier build. */
    readonly isHedge?: boolean
    /** Time after which the attempt is later than nearly all recent ones of its service; absent if too few are known, or no hedges may be sent. */
    readonly hedgeAfter?: Millis
  }
  | RefusedPlacement
  /** It waits for memory or a slot: the node renews the query after each `renewAfter`, and gets the placement as soon as it is decided. */
  | { readonly type: 'queued', readonly renewAfter: Millis }
  /** The scheduler of another group can serve it sooner. */
  | { readonly type: 'redirected', readonly address: string }

/** An attempt that is placed and recorded. */
export interface PlacedAttempt {
  readonly choice: PlacementChoice
  readonly assignment: Assignment
  readonly load: ChosenServerLoad
  /** `ip:port` of the scheduler that keeps the assignment; null if it is this node. */
  readonly scheduler: string | null
  /** Some of the servers that were not considered because of what they have stated. */
  readonly passedOver: readonly RunnerId[]
  /** Whether it is a trial of what is quarantined. */
  readonly isTrial: boolean
  /** Time after which it is later than nearly all recent ones of its service; absent if the scheduler states none. */
  readonly hedgeAfter?: Millis
  /** The only regions that its request may reach; absent if it may reach all. */
  readonly regions?: readonly Region[] | undefined
  /** Time from the decision to place the attempt until the result was known. */
  readonly decidedIn: Millis
}

export type AttemptPlacement =
  | { readonly type: 'placed', readonly attempt: PlacedAttempt }
  | RefusedPlacement

/** What became of an attempt, for the scheduler that keeps its assignment. */
export interface AttemptReport {
  /** Number of the assignment at the reporting node; 0 if the report is only about the server. */
  readonly number: number
  readonly isEnded: boolean
  readonly server: RunnerId
  /** Null if the attempt gives no health signal. */
  readonly signal: HealthSignal | null
  /** Shortest of the last pauses over the published pass time; null if there were too few pauses. */
  readonly slowdown: number | null
  /** Time of the complete answer of a plain service; absent if there is none, and from earlier builds. */
  readonly serviceTime?: ServiceTime
}

/** What a decision of a scheduler depends on besides the attempt. */
export interface PlacementContext {
  /** Requests per second that other nodes place without this scheduler. */
  readonly unseenArrivals: number
  /** Part of the group's share of request limits that this scheduler may use: less than 1 if it decides for one node only. */
  readonly limitShare: number
  /** Whether this scheduler decides for all nodes of its group. */
  readonly isGroupDecision: boolean
}

/** Context of a scheduler that decides for all nodes of its group. */
export const GROUP_CONTEXT: PlacementContext = { unseenArrivals: 0, limitShare: 1, isGroupDecision: true }

/** Number and node of an assignment. */
export interface AssignmentOwner {
  readonly node: NodeId
  readonly number: number
}

/** How a scheduler places an attempt beside requests that wait. */
export interface PlacementTerms {
  /** Engines that are held for other requests. */
  readonly held: ReadonlySet<RunnerId>
  /** Whether its engine must have a free slot, since the attempt can wait for one at the scheduler. */
  readonly needsFreeSlot: boolean
  /** Whether it has been counted and taken from the retry budget before. */
  readonly isCounted: boolean
}

/** Terms of a scheduler without waiting requests. */
export const NO_TERMS: PlacementTerms = { held: new Set(), needsFreeSlot: false, isCounted: false }

/** The process that asks for a placement, and how it gets one that is decided later. */
export interface PlacementWaiter {
  /** Tells the process from earlier ones of the same node. */
  readonly startedAt: number
  /** Sends the decision. */
  readonly deliver: (result: PlacementResult) => void
}

/** How long a node lets an attempt wait for its placement. */
export interface PlacementWait {
  /** Time at which it gives up waiting. */
  readonly until: Millis
  /** Ends the wait, because the caller has left. */
  readonly signal?: AbortSignal
}
