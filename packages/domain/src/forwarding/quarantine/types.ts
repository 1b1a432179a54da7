/** Facts about what crashes backend servers, and the verdicts that follow from them. */
import type { Millis, NodeId, RunnerId } from '../../types.js'

/** Id of one part of a prompt that several requests may share. */
export type PromptPart = string

/** What a crash may be blamed on: a part of a prompt, or a whole request that may come again. */
export type Suspect = PromptPart

/** Requests of one node that a backend server had not proved sound when it broke off its connections. */
export interface CrashReport {
  readonly server: RunnerId
  /** Start time of the server that ended; null if unknown. One start ends at most once. */
  readonly startedAt: number | null
  /** Service of the server; absent if the reporting node does not tell it. */
  readonly service?: string
  readonly reportedBy: NodeId
  readonly at: Millis
  /** Number of requests with shared prompt parts that may have caused it. */
  readonly suspects: number
  /**
   * Parts of their prompts without the last of each, those never seen in a sound answer first, and then the requests themselves, whether they
   * have parts or not; both are bounded.
   */
  readonly parts: readonly Suspect[]
}

/** A backend server answered a request beyond the point at which it would have crashed. */
export interface SoundAnswer {
  /** A part of its prompt, or the request; empty if only the service is told. */
  readonly part: Suspect
  readonly at: Millis
  /** Service of the server; absent if the reporting node does not tell it. */
  readonly service?: string
}

/** A server sent data after it was reported as crashed, under the same start: the report is wrong. */
export interface ServerSurvival {
  readonly server: RunnerId
  readonly startedAt: number | null
  readonly at: Millis
}

/** A request that is quarantined, or has a quarantined part, was sent to find out whether it is sound again. */
export interface Trial {
  readonly part: Suspect
  readonly at: Millis
  readonly grantedBy: NodeId
}

/** A quarantined request came again and was refused. */
export interface Recurrence {
  readonly part: Suspect
  readonly at: Millis
}

/** What other nodes need in order to reach the same verdicts. */
export interface QuarantineFacts {
  readonly crashes: readonly CrashReport[]
  readonly sounds: readonly SoundAnswer[]
  readonly survivals: readonly ServerSurvival[]
  readonly trials: readonly Trial[]
  /** Absent from nodes of earlier builds. */
  readonly recurrences?: readonly Recurrence[]
}

/** How a request may be sent, judged by itself and by its parts. */
export const QuarantineStatus = {
  /** Neither it nor a part of it is suspected. */
  Clear: 'clear',
  /** It or a part of it may have crashed a server: it goes where little runs. */
  Suspected: 'suspected',
  /** It or a part of it crashes servers: it is refused, except for a trial. */
  Quarantined: 'quarantined'
} as const
export type QuarantineStatus = typeof QuarantineStatus[keyof typeof QuarantineStatus]

/** Evidence against the suspect that decides a verdict. */
export interface Evidence {
  readonly part: Suspect
  /** Crashes since it was last seen sound that no other quarantined suspect explains. */
  readonly crashes: number
  /** The same, with crashes at almost the same time counted once. */
  readonly moments: number
  readonly lastCrashAge: Millis
  /** Whether it has ever been seen in a sound answer. */
  readonly wasSound: boolean
}

/** Verdict on a request. */
export type Verdict =
  | { readonly status: typeof QuarantineStatus.Clear }
  | { readonly status: typeof QuarantineStatus.Suspected, readonly evidence: Evidence }
  | {
    readonly status: typeof QuarantineStatus.Quarantined
    readonly evidence: Evidence
    /** All quarantined parts of the request, and the request itself if it is quarantined; a trial is recorded for each. */
    readonly parts: readonly Suspect[]
    /** Whether one request may be sent now to find out if the parts are sound again; one node of the fleet decides on it. */
    readonly isTrialDue: boolean
  }

/** Counts for metrics. */
export interface QuarantineCounts {
  /** Server starts that are reported as crashed and not refuted. */
  readonly crashesKnown: number
  /** Server starts whose reports a survival refutes. */
  readonly crashesRefuted: number
  /** Prompt parts and requests that are suspected only. */
  readonly partsSuspected: number
  /** Prompt parts and requests that are quarantined. */
  readonly partsQuarantined: number
  /** Facts dropped because of a bound on their number, since the start. */
  readonly factsDropped: number
}
