/** Derives health signals of backend servers from failed attempts. */
import { AttemptEnd, HealthSignal } from '@bluebellhill/domain'

import type { OpenAttempt } from './types.js'

/**
 * A refusal because of a helper, or because the server has no capacity, does not indicate a fault of the server.
 *
 * @param attempt - an attempt without a complete answer
 * @param end - how it ended
 * @returns what it shows of the health of its server; null if nothing
 */
export const healthSignalOf = ({ serverCall }: OpenAttempt, end: AttemptEnd): HealthSignal | null => {
  if (end === AttemptEnd.NotRun || end === AttemptEnd.HelperFailed || serverCall === null) return null
  if (end === AttemptEnd.Oversized) return HealthSignal.Faulty
  return end === AttemptEnd.Unsent ? HealthSignal.Unreachable : HealthSignal.Bad
}
