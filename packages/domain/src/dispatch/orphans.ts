/** Computes when an attempt on an engine counts as an orphan, so that its KV cache memory is released. */
import type { Millis } from '../types.js'
import type { Runner, UnknownAttempt } from './Runner.js'

/** Times within which entry nodes must report attempts that the dispatcher did not grant. */
export interface OrphanGracePeriods {
  /** For attempts that were running when the dispatcher took the runner over. */
  readonly inheritedGrace: Millis
  /** For attempts that started later by the grant of another dispatcher, which may be alive but unreachable from this node. */
  readonly foreignGrace: Millis
}

/**
 * Computes when an unknown attempt becomes an orphan unless its entry node reports it.
 *
 * @param runner - runner whose engine runs the attempt
 * @param unknown - the attempt, with the time at which it was first reported
 * @param graces - times within which entry nodes must report
 */
export const orphanedAt = (runner: Runner, unknown: UnknownAttempt, graces: OrphanGracePeriods): Millis => {
  const isInherited = unknown.startedAt <= runner.assignedAt
  if (!isInherited) return unknown.seenAt + graces.foreignGrace
  return Math.max(runner.assignedAt, unknown.seenAt) + graces.inheritedGrace
}
