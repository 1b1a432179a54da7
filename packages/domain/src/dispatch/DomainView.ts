/** What a dispatcher knows of its whole failure domain, from gossiped summaries alone. */
import { rendezvousOrder } from '../routing/rendezvous.js'
import type { Millis, NodeId, RunnerId } from '../types.js'
import { LONG_CLASS } from './constants.js'
import { DemandMeter } from './DemandMeter.js'
import { spreadOrder } from './spreadOrder.js'
import type { DispatchSummary } from './types.js'

/** Which work a runner takes first. */
export const RunnerZone = {
  /** Long prompts first. */
  Long: 'long',
  /** Short prompts first; lent to long ones when idle. */
  Flexible: 'flexible',
  /** Short prompts only, unless a long one would miss its deadline. */
  Short: 'short'
} as const
export type RunnerZone = typeof RunnerZone[keyof typeof RunnerZone]

/** Zones of this dispatcher's runners of one model; a runner that is not listed takes everything. */
export type ZoneMap = ReadonlyMap<RunnerId, RunnerZone>

/** Facts of this dispatcher's own runners, to be joined with those of its peers. */
export interface OwnModel {
  readonly node: NodeId
  /** Usable runners, in any order. */
  readonly runnerIds: readonly RunnerId[]
  /** Tokens a second of all of them. */
  readonly prefillRate: number
}

/** How a deployment weighs its two measures. */
export interface ZoneWeights {
  /** 0 favours short prompts, 1 the first token of long ones. */
  readonly longWeight: number
}

/** Joins the summaries of all dispatchers of a failure domain with this one's own orders. */
export class DomainView {
  readonly #meters = new Map<string, DemandMeter>()
  #peers: readonly DispatchSummary[] = []

  /** Replaces the peers' summaries. */
  update (peers: readonly DispatchSummary[]): void {
    this.#peers = peers
  }

  /** Counts an order of this dispatcher. */
  count (model: string, promptTokens: number, now: Millis): void {
    this.#meter(model).count(promptTokens, now)
  }

  /** @returns this dispatcher's own demand, in tokens a second by length class */
  ownDemand (model: string, now: Millis): readonly number[] {
    return this.#meter(model).rates(now)
  }

  /**
   * Divides a model's runners.
   *
   * All dispatchers number the runners of the failure domain alike: by the rendezvous order of their nodes, then within
   * each node. The numbers are taken in an order that spreads them evenly, so that every node has its part of each zone
   * and a boundary that moves by one changes one runner.
   *
   * @param model - name of the model
   * @param own - this dispatcher's runners
   * @param weights - how the deployment weighs short and long prompts
   * @param now - time
   */
  zones (model: string, own: OwnModel, weights: ZoneWeights, now: Millis): ZoneMap {
    const peers = this.#peers.filter((peer) => peer.model === model && peer.node !== undefined && peer.node !== own.node)
    const total = own.runnerIds.length + sum(peers.map((peer) => peer.runners))
    const demand = addUp([this.ownDemand(model, now), ...peers.map((peer) => peer.demand ?? [])])
    const capacity = own.prefillRate + sum(peers.map((peer) => peer.prefillRate))
    const bounds = zoneBounds({ total, capacity, short: sum(demand.slice(0, LONG_CLASS)), long: sum(demand.slice(LONG_CLASS)) }, weights)
    if (bounds === null) return new Map()
    const first = this.#firstNumber(model, own.node, peers)
    const places = spreadOrder(total)
    return new Map([...own.runnerIds].sort().map((id, index) => [id, zoneOf(places[first + index] ?? 0, bounds)]))
  }

  /** Number of this dispatcher's first runner in the failure domain. */
  #firstNumber (model: string, own: NodeId, peers: readonly DispatchSummary[]): number {
    const runners = new Map(peers.map((peer) => [peer.node ?? own, peer.runners]))
    let number = 0
    for (const node of rendezvousOrder(`zones/${model}`, [own, ...runners.keys()])) {
      if (node === own) break
      number += runners.get(node) ?? 0
    }
    return number
  }

  #meter (model: string): DemandMeter {
    const known = this.#meters.get(model)
    if (known !== undefined) return known
    const meter = new DemandMeter()
    this.#meters.set(model, meter)
    return meter
  }
}

interface Balance {
  readonly total: number
  readonly capacity: number
  /** Tokens a second. */
  readonly short: number
  readonly long: number
}

/** Places below `long` belong to long prompts, those up to `flexible` are lent to them. */
interface ZoneBounds {
  readonly long: number
  readonly flexible: number
}

/** Utilisation by short prompts that their runners are planned for, by the deployment's weight. */
const SHORT_UTILISATION = { least: 0.3, most: 0.7 }

/** Factor by which the weight may move the odds between long and short work. */
const ODDS_RANGE = 2

/** @returns null where there is no long work or nothing to divide */
const zoneBounds = ({ total, capacity, short, long }: Balance, { longWeight }: ZoneWeights): ZoneBounds | null => {
  if (total < 2 || long <= 0) return null
  const odds = long / Math.max(short, Number.EPSILON) * ODDS_RANGE ** (2 * longWeight - 1)
  const wanted = Math.round(total * odds / (1 + odds))
  const planned = SHORT_UTILISATION.least + longWeight * (SHORT_UTILISATION.most - SHORT_UTILISATION.least)
  const busyWithShort = capacity > 0 ? short * total / capacity : 0
  const kept = Math.min(total - 1, Math.max(1, Math.ceil(busyWithShort / planned)))
  const longCount = Math.max(1, Math.min(total - kept, wanted))
  return { long: longCount, flexible: Math.max(longCount, total - kept) }
}

const zoneOf = (place: number, bounds: ZoneBounds): RunnerZone => {
  if (place < bounds.long) return RunnerZone.Long
  return place < bounds.flexible ? RunnerZone.Flexible : RunnerZone.Short
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const addUp = (rows: readonly (readonly number[])[]): readonly number[] => {
  const width = Math.max(0, ...rows.map((row) => row.length))
  return Array.from({ length: width }, (_, column) => sum(rows.map((row) => row[column] ?? 0)))
}
