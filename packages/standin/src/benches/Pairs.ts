/** Pairs of a call through a node and one straight to an engine. */
import { ValueHistogram } from '../load/index.js'
import type { CallOutcome, Summary } from '../load/index.js'

/** Figures of one level of concurrency. */
export interface LevelFigures {
  readonly streams: number
  readonly pairs: number
  readonly directMs: Summary
  readonly throughNodeMs: Summary
  /** Difference of the medians and of the 99th percentiles, in milliseconds. */
  readonly addedP50Ms: number
  readonly addedP99Ms: number
  /** Differences within pairs, by percentile, in milliseconds. */
  readonly pairedP50Ms: number
  readonly pairedP99Ms: number
  readonly unanswered: number
}

const round = (value: number): number => Math.round(value * 1_000) / 1_000

const percentile = (values: readonly number[], share: number): number =>
  values.length === 0 ? 0 : round(values[Math.min(values.length - 1, Math.floor(values.length * share))]!)

/** Counts pairs of one level. */
export class Pairs {
  readonly direct = new ValueHistogram()
  readonly throughNode = new ValueHistogram()
  readonly differences: number[] = []
  unanswered = 0

  /**
   * Adds a pair; it counts only where both were answered.
   *
   * @param direct - the call to the engine
   * @param throughNode - the call to the node
   */
  add (direct: CallOutcome, throughNode: CallOutcome): void {
    if (direct.type !== 'answered' || throughNode.type !== 'answered') {
      this.unanswered++
      return
    }
    this.direct.record(direct.firstTokenMs)
    this.throughNode.record(throughNode.firstTokenMs)
    this.differences.push(throughNode.firstTokenMs - direct.firstTokenMs)
  }

  /**
   * Sums up.
   *
   * @param streams - level of concurrency
   * @returns the figures
   */
  figures (streams: number): LevelFigures {
    const directMs = this.direct.summary()
    const throughNodeMs = this.throughNode.summary()
    const sorted = [...this.differences].sort((one, other) => one - other)
    return {
      streams,
      pairs: sorted.length,
      directMs,
      throughNodeMs,
      addedP50Ms: round(throughNodeMs.p50 - directMs.p50),
      addedP99Ms: round(throughNodeMs.p99 - directMs.p99),
      pairedP50Ms: percentile(sorted, 0.5),
      pairedP99Ms: percentile(sorted, 0.99),
      unanswered: this.unanswered
    }
  }
}
