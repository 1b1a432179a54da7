/** Selects the nodes that watch the platform's store, so that a large fleet does not request the same changes from every VM. */
import { rendezvousOrder } from '../routing/rendezvous.js'
import type { NodeId } from '../types.js'

/** Number of store watchers. One that the store answers is enough, since it announces changes to all other nodes. */
export const STORE_WATCHERS = 6

const RANKING_KEY = 'store followers'

/**
 * Every node ranks the same nodes in the same order, so all agree on the watchers; a node without peers is a watcher itself.
 *
 * @param self - this node
 * @param peers - the other nodes from which this node receives messages
 * @returns whether this node watches the store and announces changes to the others
 */
export const isStoreWatcher = (self: NodeId, peers: readonly NodeId[]): boolean =>
  rendezvousOrder(RANKING_KEY, [self, ...peers]).slice(0, STORE_WATCHERS).includes(self)
