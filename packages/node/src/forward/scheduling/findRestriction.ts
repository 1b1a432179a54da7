/** Finds out whether the operator's restrictions leave no backend server to a request. */
import type { Millis, Region } from '@bluebellhill/domain'

import type { FleetState } from '../FleetState.js'
import { spreadReturn } from './spreadReturn.js'
import { PlacementRefusal } from './types.js'
import type { RefusedPlacement } from './types.js'

/** Shortest time after which a caller may return while all failure domains are evacuated. When the operator ends that is not known. */
const EVACUATION_RETRY_AFTER: Millis = 1_000

/**
 * @param fleetState - servers and evacuations
 * @param service - name of the service
 * @param regions - the only regions that the request may reach; absent if it may reach all
 * @returns the refusal of the request; null if there are servers that it may reach, or none of its service in these regions
 */
export const findRestriction = ({ servers, restrictions }: FleetState, service: string, regions?: readonly Region[]): RefusedPlacement | null => {
  if (regions?.length === 0) return { type: 'refused', reason: PlacementRefusal.NoServer, retryAfter: null }
  const isExcluded = restrictions.evacuatesAll(servers.ready(service), regions)
  return isExcluded ? { type: 'refused', reason: PlacementRefusal.DomainsEvacuated, retryAfter: spreadReturn(EVACUATION_RETRY_AFTER) } : null
}
