/** Tells callers why no backend server was chosen for their request. */
import { isRequest } from '@bluebellhill/domain'

import { RefusalCause } from './entry/refusals.js'
import type { QuarantineVerdict } from './quarantine/NodeQuarantine.js'
import { PlacementRefusal } from './scheduling/types.js'
import type { RefusedPlacement } from './scheduling/types.js'

/**
 * Servers that have stated when they accept requests again are told apart from those of which that is only predicted.
 *
 * @param refusal - why the next attempt was not placed; null if none was allowed
 * @returns the cause in the answer to the caller
 */
export const refusalCauseOf = (refusal: RefusedPlacement | null): RefusalCause => {
  if (refusal?.reason === PlacementRefusal.DomainsEvacuated) return RefusalCause.DomainsEvacuated
  if (refusal?.reason === PlacementRefusal.NodeStopping) return RefusalCause.Stopping
  return refusal !== null && isWaitStated(refusal) ? RefusalCause.ServersLimited : RefusalCause.NoServer
}

/** @returns whether backend servers have stated when they accept requests again */
export const isWaitStated = ({ reason }: RefusedPlacement): boolean =>
  reason === PlacementRefusal.RequestLimit || reason === PlacementRefusal.ServersCold || reason === PlacementRefusal.ServersPaused

/**
 * @param verdict - verdict on a request that must not be sent
 * @param mayHaveRun - whether a backend server may have run it
 * @returns the cause in the answer to the caller
 */
export const quarantineCauseOf = ({ evidence: { part } }: QuarantineVerdict, mayHaveRun: boolean): RefusalCause => {
  if (isRequest(part)) return mayHaveRun ? RefusalCause.RequestQuarantined : RefusalCause.RequestQuarantinedUnsent
  return mayHaveRun ? RefusalCause.Quarantined : RefusalCause.QuarantinedUnsent
}

/** @returns what the log says of a request that is refused because of the verdict */
export const quarantineProblem = ({ evidence: { part } }: QuarantineVerdict): string =>
  isRequest(part) ? `the request is quarantined as ${part}` : `part ${part} of the prompt is quarantined`
