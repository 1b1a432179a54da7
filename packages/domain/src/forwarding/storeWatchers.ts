/** Which nodes follow the platform's store closely, so that a large fleet does not ask it the same thing from every VM. */
import { rendezvousOrder } from '../routing/rendezvous.js'
import type { NodeId } from '../types.js'

/** Nodes that follow closely; one that the store serves is enough for all. */
export const STORE_WATCHERS = 6

const RANKING_KEY = 'store followers'

/**
 * Every node ranks the nodes that it hears alike; a node that hears nobody follows closely itself.
 *
 * @param self - this node
 * @param peers - the other nodes that are heard
 * @returns whether this node learns of changes from the store at once, and tells the others
 */
export const isStoreWatcher = (self: NodeId, peers: readonly NodeId[]): boolean =>
  rendezvousOrder(RANKING_KEY, [self, ...peers]).slice(0, STORE_WATCHERS).includes(self)
