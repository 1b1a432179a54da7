/** Facts about prompt parts that crash engines, and the verdicts that follow from them. */
import type { Millis, NodeId, RunnerId } from '../../types.js'

/** Id of one part of a prompt that several requests may share. */
export type PromptPart = string

/** Requests of one node that a backend server had not proved sound when it broke off its connections. */
export interface CrashReport {
  readonly server: RunnerId
  /** Start time of the server that ended; null if unknown. One start ends at most once. */
  readonly startedAt: number | null
  readonly reportedBy: NodeId
  readonly at: Millis
  /** Number of requests that may have caused it; 0 if all requests of the node had proved sound. */
  readonly suspects: number
  /** Their parts without the last of each. Those never seen in a sound answer come first; bounded. */
  readonly parts: readonly PromptPart[]
}

/** A part was in a request that an engine answered beyond its first event. */
export interface SoundPart {
  readonly part: PromptPart
  readonly at: Millis
}

/** A server sent data after it was reported as crashed, under the same start: the report is wrong. */
export interface ServerSurvival {
  readonly server: RunnerId
  readonly startedAt: number | null
  readonly at: Millis
}

/** A request with a quarantined part was sent to find out whether the part is sound again. */
export interface PartTrial {
  readonly part: PromptPart
  readonly at: Millis
  readonly grantedBy: NodeId
}

/** What other nodes need in order to reach the same verdicts. */
export interface QuarantineFacts {
  readonly crashes: readonly CrashReport[]
  readonly sounds: readonly SoundPart[]
  readonly survivals: readonly ServerSurvival[]
  readonly trials: readonly PartTrial[]
}

/** How a request may be sent, judged by its parts. */
export const PartStatus = {
  /** No part of it is suspected. */
  Clear: 'clear',
  /** A part of it may have crashed an engine: it goes where little runs. */
  Suspected: 'suspected',
  /** A part of it crashes engines: it is refused, except for a trial. */
  Quarantined: 'quarantined'
} as const
export type PartStatus = typeof PartStatus[keyof typeof PartStatus]

/** Evidence against the part that decides a verdict. */
export interface PartEvidence {
  readonly part: PromptPart
  /** Crashes since the part was last seen sound that no other quarantined part explains. */
  readonly crashes: number
  /** The same, with crashes at almost the same time counted once. */
  readonly moments: number
  readonly lastCrashAge: Millis
  /** Whether the part has ever been seen in a sound answer. */
  readonly wasSound: boolean
}

/** Verdict on the parts of a request. */
export type PartVerdict =
  | { readonly status: typeof PartStatus.Clear }
  | { readonly status: typeof PartStatus.Suspected, readonly evidence: PartEvidence }
  | {
    readonly status: typeof PartStatus.Quarantined
    readonly evidence: PartEvidence
    /** All quarantined parts of the request; a trial is recorded for each. */
    readonly parts: readonly PromptPart[]
    /** Whether one request may be sent now to find out if the parts are sound again; one node of the fleet decides on it. */
    readonly isTrialDue: boolean
  }

/** Counts for metrics. */
export interface QuarantineCounts {
  /** Server starts that are reported as crashed and not refuted. */
  readonly crashesKnown: number
  /** Server starts whose reports a survival refutes. */
  readonly crashesRefuted: number
  readonly partsSuspected: number
  readonly partsQuarantined: number
  /** Facts dropped because of a bound on their number, since the start. */
  readonly factsDropped: number
}
