/** When memory that an engine holds for nobody known is freed. */
import type { Millis } from '../types.js'
import type { Runner, UnknownAttempt } from './Runner.js'

/** Times that entry nodes are given to report their attempts. */
export interface OrphanGracePeriods {
  /** For attempts that were under way when the dispatcher took the runner over. */
  readonly inheritedGrace: Millis
  /** For attempts that began later by another dispatcher's grant: it may be alive and only unseen from here. */
  readonly foreignGrace: Millis
}

/**
 * Time at which an attempt counts as left, unless its entry node reports it before.
 *
 * @param runner - the runner that holds it
 * @param unknown - the attempt as first seen
 * @param graces - times to report
 */
export const orphanedAt = (runner: Runner, unknown: UnknownAttempt, graces: OrphanGracePeriods): Millis => {
  const isInherited = unknown.startedAt <= runner.assignedAt
  if (!isInherited) return unknown.seenAt + graces.foreignGrace
  return Math.max(runner.assignedAt, unknown.seenAt) + graces.inheritedGrace
}
