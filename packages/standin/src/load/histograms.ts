/** Histograms of a run, by length class. */
import { build } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

const DIGITS = 3
const HIGHEST = 3_600_000_000

/** Figures of one histogram, in the unit of its values. */
export interface Summary {
  readonly count: number
  readonly mean: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
}

/** Values with a resolution of a thousandth. */
export class ValueHistogram {
  private readonly histogram: Histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: HIGHEST, numberOfSignificantValueDigits: DIGITS })
  private static readonly SCALE = 1_000

  /**
   * Adds a value.
   *
   * @param value - at least 0
   */
  record (value: number): void {
    this.histogram.recordValue(Math.min(HIGHEST, Math.max(1, Math.round(value * ValueHistogram.SCALE))))
  }

  /** The figures. */
  summary (): Summary {
    const at = (percentile: number): number => this.histogram.getValueAtPercentile(percentile) / ValueHistogram.SCALE
    const empty = this.histogram.totalCount === 0
    return {
      count: this.histogram.totalCount,
      mean: empty ? 0 : Math.round(this.histogram.mean) / ValueHistogram.SCALE,
      p50: empty ? 0 : at(50),
      p95: empty ? 0 : at(95),
      p99: empty ? 0 : at(99),
      max: empty ? 0 : this.histogram.maxValue / ValueHistogram.SCALE
    }
  }
}

/**
 * Puts values into one histogram a group.
 *
 * @param values - each with its group
 * @returns the figures by group
 */
export const summarise = <Group extends string>(values: Iterable<readonly [Group, number]>): Partial<Record<Group, Summary>> => {
  const groups = new Map<Group, ValueHistogram>()
  for (const [group, value] of values) {
    const histogram = groups.get(group) ?? new ValueHistogram()
    groups.set(group, histogram)
    histogram.record(value)
  }
  return Object.fromEntries([...groups].map(([group, histogram]) => [group, histogram.summary()])) as Partial<Record<Group, Summary>>
}
