/** Combines the gossiped summaries of a failure domain's dispatchers, and divides its runners into bands by prompt length. */
import { rendezvousOrder } from '../routing/rendezvous.js'
import type { Millis, NodeId, RunnerId } from '../types.js'
import { LONG_CLASS, MIDDLE_CLASS } from './constants.js'
import { DemandMeter } from './DemandMeter.js'
import { vanDerCorputRanks } from './vanDerCorputRanks.js'
import type { DispatchSummary } from './types.js'

/** Prompt lengths that a runner prefers. */
export const RunnerBand = {
  /** Serves long prompts, and middle-length prompts at the same time. */
  Long: 'long',
  /** Prefers middle-length prompts; serves a long prompt if it is idle or its engine ranks by priority. */
  Flexible: 'flexible',
  /** Prefers the shortest prompts; serves a middle-length prompt if that costs least. */
  Short: 'short'
} as const
export type RunnerBand = typeof RunnerBand[keyof typeof RunnerBand]

/** Bands of this dispatcher's runners of one model; a runner without an entry serves prompts of any length. */
export type BandMap = ReadonlyMap<RunnerId, RunnerBand>

/** The runners of this dispatcher that serve one model. */
export interface OwnRunners {
  readonly node: NodeId
  /** Usable runners, unsorted. */
  readonly runnerIds: readonly RunnerId[]
  /** Prefill rate of all these runners together, in tokens per second. */
  readonly prefillRate: number
}

/** How a deployment weighs short prompts against long ones. */
export interface BandWeights {
  /** Between 0, which favours the slowdown of short prompts, and 1, which favours the time to first event of long ones. */
  readonly longWeight: number
}

/** Joins the summaries of the other dispatchers of a failure domain with this dispatcher's own demand. */
export class FailureDomainView {
  readonly #meters = new Map<string, DemandMeter>()
  #peers: readonly DispatchSummary[] = []

  /** Replaces the summaries of the other dispatchers. */
  updatePeers (peers: readonly DispatchSummary[]): void {
    this.#peers = peers
  }

  /** Records an order that this dispatcher received. */
  recordOrder (model: string, promptTokens: number, now: Millis): void {
    this.#meter(model).record(promptTokens, now)
  }

  /** @returns the demand on this dispatcher, in prompt tokens per second by length class */
  ownDemand (model: string, now: Millis): readonly number[] {
    return this.#meter(model).rates(now)
  }

  /** @returns the summaries of the other dispatchers that have runners of the model */
  peersWith (model: string): readonly DispatchSummary[] {
    return this.#peers.filter((peer) => peer.model === model && peer.runners > 0)
  }

  /** @returns the shortest wait that another dispatcher reports for a length class; infinite if none serves the model */
  minQueueDelay (model: string, lengthClass: number): Millis {
    const delays = this.peersWith(model).map((peer) => peer.queueDelay[lengthClass] ?? Infinity)
    return Math.min(Infinity, ...delays)
  }

  /**
   * Assigns a band to each of this dispatcher's runners of a model.
   *
   * All dispatchers number the runners of the failure domain in the same way: by the rendezvous order of their nodes,
   * then by runner id. Van der Corput ranks of these numbers distribute each band evenly over the nodes, and a boundary
   * that moves by one changes the band of one runner.
   *
   * @param model - name of the model
   * @param own - this dispatcher's runners
   * @param weights - how the deployment weighs short and long prompts
   * @param now - current time
   * @returns the bands; empty if there is no demand for long prompts or the failure domain has only one runner
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

  /** @returns the number of this dispatcher's first runner among all runners of the failure domain */
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
  /** Number of runners of the failure domain. */
  readonly total: number
  /** Prefill rate of all runners together, in tokens per second. */
  readonly capacity: number
  /** Prompt tokens per second, by length class. */
  readonly demand: readonly number[]
}

/** Ranks below `long` belong to the long band, ranks from `short` on to the short band, and ranks between to the flexible band. */
interface BandBounds {
  readonly long: number
  readonly short: number
}

/** Planned utilisation of the short band: `least` at a long weight of 0, `most` at 1. */
const SHORT_UTILISATION = { least: 0.2, most: 1.2 }

/** Planned utilisation of the flexible band: `least` at a long weight of 0, `most` at 1. */
const MIDDLE_UTILISATION = { least: 0.8, most: 1.4 }

/** @returns null if there is no demand for long prompts or fewer than two runners */
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
