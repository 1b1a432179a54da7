/** What a dispatcher knows of its whole failure domain, from gossiped summaries alone. */
import { rendezvousOrder } from '../routing/rendezvous.js'
import type { Millis, NodeId, RunnerId } from '../types.js'
import { LONG_CLASS, MIDDLE_CLASS } from './constants.js'
import { DemandMeter } from './DemandMeter.js'
import { vanDerCorputRanks } from './vanDerCorputRanks.js'
import type { DispatchSummary } from './types.js'

/** Which work a runner takes first. */
export const RunnerBand = {
  /** Long prompts, and middle ones beside them. */
  Long: 'long',
  /** Middle prompts first; lent to a long one when idle. */
  Flexible: 'flexible',
  /** The shortest prompts first; lent to a middle one when that costs least. */
  Short: 'short'
} as const
export type RunnerBand = typeof RunnerBand[keyof typeof RunnerBand]

/** Bands of this dispatcher's runners of one model; a runner that is not listed takes everything. */
export type BandMap = ReadonlyMap<RunnerId, RunnerBand>

/** Facts of this dispatcher's own runners, to be joined with those of its peers. */
export interface OwnRunners {
  readonly node: NodeId
  /** Usable runners, in any order. */
  readonly runnerIds: readonly RunnerId[]
  /** Tokens a second of all of them. */
  readonly prefillRate: number
}

/** How a deployment weighs its two measures. */
export interface BandWeights {
  /** 0 favours short prompts, 1 the first token of long ones. */
  readonly longWeight: number
}

/** Joins the summaries of all dispatchers of a failure domain with this one's own orders. */
export class FailureDomainView {
  readonly #meters = new Map<string, DemandMeter>()
  #peers: readonly DispatchSummary[] = []

  /** Replaces the peers' summaries. */
  updatePeers (peers: readonly DispatchSummary[]): void {
    this.#peers = peers
  }

  /** Counts an order of this dispatcher. */
  recordOrder (model: string, promptTokens: number, now: Millis): void {
    this.#meter(model).record(promptTokens, now)
  }

  /** @returns this dispatcher's own demand, in tokens a second by length class */
  ownDemand (model: string, now: Millis): readonly number[] {
    return this.#meter(model).rates(now)
  }

  /** @returns the peers that have a model */
  peersWith (model: string): readonly DispatchSummary[] {
    return this.#peers.filter((peer) => peer.model === model && peer.runners > 0)
  }

  /** @returns the least wait that a peer states for a length class; infinite where there is none */
  minQueueDelay (model: string, lengthClass: number): Millis {
    const delays = this.peersWith(model).map((peer) => peer.queueDelay[lengthClass] ?? Infinity)
    return Math.min(Infinity, ...delays)
  }

  /**
   * Divides a model's runners.
   *
   * All dispatchers number the runners of the failure domain alike: by the rendezvous order of their nodes, then within
   * each node. The numbers are taken in an order that spreads them evenly, so that every node has its part of each band
   * and a boundary that moves by one changes one runner.
   *
   * @param model - name of the model
   * @param own - this dispatcher's runners
   * @param weights - how the deployment weighs short and long prompts
   * @param now - time
   */
  bands (model: string, own: OwnRunners, weights: BandWeights, now: Millis): BandMap {
    const peers = this.#peers.filter((peer) => peer.model === model && peer.node !== undefined && peer.node !== own.node)
    const total = own.runnerIds.length + sum(peers.map((peer) => peer.runners))
    const demand = sumColumns([this.ownDemand(model, now), ...peers.map((peer) => peer.demand ?? [])])
    const capacity = own.prefillRate + sum(peers.map((peer) => peer.prefillRate))
    const bounds = bandBounds({ total, capacity, demand }, weights)
    if (bounds === null) return new Map()
    const first = this.#firstRunnerNumber(model, own.node, peers)
    const ranks = vanDerCorputRanks(total)
    return new Map([...own.runnerIds].sort().map((id, index) => [id, bandOf(ranks[first + index] ?? 0, bounds)]))
  }

  /** Number of this dispatcher's first runner in the failure domain. */
  #firstRunnerNumber (model: string, own: NodeId, peers: readonly DispatchSummary[]): number {
    const runners = new Map(peers.map((peer) => [peer.node ?? own, peer.runners]))
    let number = 0
    for (const node of rendezvousOrder(`bands/${model}`, [own, ...runners.keys()])) {
      if (node === own) break
      number += runners.get(node) ?? 0
    }
    return number
  }

  #meter (model: string): DemandMeter {
    const existing = this.#meters.get(model)
    if (existing !== undefined) return existing
    const meter = new DemandMeter()
    this.#meters.set(model, meter)
    return meter
  }
}

interface BandDemand {
  readonly total: number
  /** Tokens a second of all runners. */
  readonly capacity: number
  /** Tokens a second by length class. */
  readonly demand: readonly number[]
}

/** Places below `long` are of the long band, those from `short` on of the short band. */
interface BandBounds {
  readonly long: number
  readonly short: number
}

/** Utilisation that a band is planned for, at the weights 0 and 1 of long prompts. */
const SHORT_UTILISATION = { least: 0.2, most: 1.2 }
const MIDDLE_UTILISATION = { least: 0.8, most: 1.4 }

/** @returns null where there is no long work or nothing to divide */
const bandBounds = ({ total, capacity, demand }: BandDemand, { longWeight }: BandWeights): BandBounds | null => {
  const long = sum(demand.slice(LONG_CLASS))
  if (total < 2 || long <= 0) return null
  const busyRunners = (tokens: number): number => capacity > 0 ? tokens * total / capacity : 0
  const planned = ({ least, most }: { readonly least: number, readonly most: number }): number => least + longWeight * (most - least)
  const short = Math.ceil(busyRunners(sum(demand.slice(0, MIDDLE_CLASS))) / planned(SHORT_UTILISATION))
  const middleCount = Math.round(busyRunners(sum(demand.slice(MIDDLE_CLASS, LONG_CLASS))) / planned(MIDDLE_UTILISATION))
  const shortCount = Math.max(1, Math.min(total - 1, short))
  return { long: Math.max(1, total - shortCount - middleCount), short: total - shortCount }
}

const bandOf = (rank: number, bounds: BandBounds): RunnerBand => {
  if (rank < bounds.long) return RunnerBand.Long
  return rank < bounds.short ? RunnerBand.Flexible : RunnerBand.Short
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const sumColumns = (rows: readonly (readonly number[])[]): readonly number[] => {
  const width = Math.max(0, ...rows.map((row) => row.length))
  return Array.from({ length: width }, (_, column) => sum(rows.map((row) => row[column] ?? 0)))
}
