/** Tells from the scheduler directory which part of the requests to cold backend servers this node may place. */
import type { Millis, NodeId, RunnerId } from '../types.js'
import { coldAllowance, SenderRole } from './coldLimits.js'
import type { WarmUpBounds } from './coldLimits.js'
import { tieBreakRank } from './contention.js'
import type { SchedulerDirectory } from './SchedulerDirectory.js'
import { isInGroup } from './schedulerGroups.js'
import type { SchedulerGroup } from './schedulerGroups.js'
import type { WarmUpFigures } from './types.js'

/** Servers for which it is remembered whether this node is one of their lone senders. */
const MAX_REMEMBERED_SERVERS = 10_000

/** Requests to cold servers that this node may place, by its role among the nodes. */
export class ColdSenders {
  readonly #node: NodeId
  readonly #directory: SchedulerDirectory | null
  /** Whether this node is a lone sender, by number of senders and server; valid for one list of nodes. */
  readonly #loneSenders = new Map<string, boolean>()
  #others: readonly NodeId[] = []
  #group: SchedulerGroup | null = null
  #directorySize = 0
  /** Time for which the share of this node as a scheduler is computed. */
  #viewedAt: Millis = -Infinity
  #schedulerShare = 0

  /**
   * @param node - this node
   * @param directory - the nodes that it knows; null if it is the only one
   */
  constructor (node: NodeId, directory: SchedulerDirectory | null) {
    this.#node = node
    this.#directory = directory
  }

  /**
   * @param server - a cold server
   * @param figures - what its service accepts while it is cold
   * @param bounds - by how much a second may exceed that
   * @param groupShare - part of a server's limit that the schedulers of this node's group may use
   * @param isLone - whether this node decides for its own requests only
   * @param now - current time
   * @returns whole number of requests that it may have sent to the server within any second
   */
  allowance (server: RunnerId, figures: WarmUpFigures, bounds: WarmUpBounds, groupShare: number, isLone: boolean, now: Millis): number {
    if (this.#directory === null) return coldAllowance(figures, bounds, SenderRole.Scheduler, groupShare)
    const asScheduler = isLone ? 0 : this.#schedulerAllowance(this.#directory, figures, bounds, groupShare, now)
    return asScheduler > 0 ? asScheduler : this.#loneAllowance(this.#directory, server, coldAllowance(figures, bounds, SenderRole.Lone, groupShare))
  }

  #schedulerAllowance (directory: SchedulerDirectory, figures: WarmUpFigures, bounds: WarmUpBounds, groupShare: number, now: Millis): number {
    if (now !== this.#viewedAt) {
      this.#viewedAt = now
      this.#schedulerShare = directory.hearsHigherRanked(now) ? 0 : directory.heardShare(now)
    }
    return coldAllowance(figures, bounds, SenderRole.Scheduler, groupShare * this.#schedulerShare)
  }

  /** Each node may send one request within a second. If there are more nodes than requests, those that come first by a hash with the server send them. */
  #loneAllowance (directory: SchedulerDirectory, server: RunnerId, total: number): number {
    this.#updateNodes(directory)
    if (this.#others.length < total) return Math.floor(total / (this.#others.length + 1))
    const key = `${total}\u0000${server}`
    const known = this.#loneSenders.get(key)
    if (known !== undefined) return known ? 1 : 0
    if (this.#loneSenders.size >= MAX_REMEMBERED_SERVERS) this.#loneSenders.clear()
    const ownRank = tieBreakRank(this.#node, server)
    const isSender = this.#others.filter((node) => tieBreakRank(node, server) < ownRank).length < total
    this.#loneSenders.set(key, isSender)
    return isSender ? 1 : 0
  }

  #updateNodes (directory: SchedulerDirectory): void {
    const { group, size } = directory
    if (group === this.#group && size === this.#directorySize) return
    this.#group = group
    this.#directorySize = size
    this.#others = directory.others().filter(({ failureDomain }) => isInGroup(group, failureDomain)).map(({ node }) => node)
    this.#loneSenders.clear()
  }
}
