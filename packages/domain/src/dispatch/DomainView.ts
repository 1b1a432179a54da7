/** What a dispatcher knows of its whole failure domain: which runners take long work, from gossiped summaries alone. */
import type { Millis, RunnerId } from '../types.js'
import { rendezvousOrder } from '../routing/rendezvous.js'
import { LONG_CLASS } from './constants.js'
import { DemandMeter } from './DemandMeter.js'
import type { DispatchSummary } from './types.js'

/** One model's runners and demand in the failure domain. */
export interface DomainModel {
  readonly longRunners: ReadonlySet<RunnerId>
  readonly shortUtilisation: number
}

/** Facts of this dispatcher's own runners, to be joined with those of its peers. */
export interface OwnModel {
  readonly runnerIds: readonly RunnerId[]
  readonly prefillRate: number
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
   * Splits a model's runners.
   *
   * @param model - name of the model
   * @param own - this dispatcher's runners
   * @param longBias - added to the share of long work; negative keeps more runners for short prompts
   * @param now - time
   */
  split (model: string, own: OwnModel, longBias: number, now: Millis): DomainModel {
    const peers = this.#peers.filter((peer) => peer.model === model)
    const ids = rendezvousOrder(`long/${model}`, [...own.runnerIds, ...peers.flatMap((peer) => peer.runnerIds ?? [])])
    const demand = addUp([this.ownDemand(model, now), ...peers.map((peer) => peer.demand ?? [])])
    const short = sum(demand.slice(0, LONG_CLASS))
    const long = sum(demand.slice(LONG_CLASS))
    const count = longRunnerCount(ids.length, short, long, longBias)
    const capacity = own.prefillRate + sum(peers.map((peer) => peer.prefillRate))
    const shortCapacity = ids.length === 0 ? 0 : capacity * (ids.length - count) / ids.length
    return {
      longRunners: new Set(ids.slice(0, count)),
      shortUtilisation: shortCapacity > 0 ? short / shortCapacity : 0
    }
  }

  #meter (model: string): DemandMeter {
    const known = this.#meters.get(model)
    if (known !== undefined) return known
    const meter = new DemandMeter()
    this.#meters.set(model, meter)
    return meter
  }
}

/** Runners in proportion to the work, at least one for each kind that there is. */
const longRunnerCount = (runners: number, short: number, long: number, longBias: number): number => {
  if (runners < 2 || long <= 0) return 0
  const share = long / (short + long) + longBias
  return Math.max(1, Math.min(runners - 1, Math.round(runners * share)))
}

const sum = (values: readonly number[]): number => values.reduce((total, value) => total + value, 0)

const addUp = (rows: readonly (readonly number[])[]): readonly number[] => {
  const width = Math.max(0, ...rows.map((row) => row.length))
  return Array.from({ length: width }, (_, column) => sum(rows.map((row) => row[column] ?? 0)))
}
