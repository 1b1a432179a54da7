/** Adds up the histograms and counters of several nodes. */
import type { CounterValue, EncodedHistogram, HistogramName, HistogramUnit, HistogramsReply } from '@bluebellhill/protocol'
import { build, decodeFromCompressedBase64 } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Initial range of a merged histogram; it grows if a node reports higher values. */
const HIGHEST_VALUE = 3_600_000
const SIGNIFICANT_DIGITS = 2

/** Length classes of prompts, in the order in which they are shown. */
const LENGTH_ORDER = ['under_4k', '4k_32k', '32k_100k', '100k_1m']

/** The sum of one histogram over all nodes. */
export interface MergedHistogram {
  readonly name: HistogramName
  /** Length class of the prompts. */
  readonly length: string
  readonly unit: HistogramUnit
  readonly count: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
  /** The recorded values, for the charts; not part of JSON output. */
  readonly histogram: Histogram
}

const emptyHistogram = (): Histogram => build({
  highestTrackableValue: HIGHEST_VALUE,
  numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  autoResize: true
})

const groupOf = (encoded: EncodedHistogram): string => `${encoded.name} ${LENGTH_ORDER.indexOf(encoded.length)} ${encoded.length}`

const mergeGroup = (group: readonly EncodedHistogram[]): MergedHistogram => {
  const histogram = emptyHistogram()
  for (const encoded of group) histogram.add(decodeFromCompressedBase64(encoded.encoded))
  const { name, length, unit } = group[0]!
  return {
    name,
    length,
    unit,
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50),
    p95: histogram.getValueAtPercentile(95),
    p99: histogram.getValueAtPercentile(99),
    max: histogram.maxValue,
    histogram
  }
}

/**
 * Adds up histograms of the same name and length class.
 *
 * @param replies - one for each node
 * @returns the sums, ordered by name and length class
 */
export const mergeHistograms = (replies: readonly HistogramsReply[]): MergedHistogram[] => {
  const groups = new Map<string, EncodedHistogram[]>()
  for (const encoded of replies.flatMap((reply) => reply.histograms)) {
    const key = groupOf(encoded)
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [encoded])
    else group.push(encoded)
  }
  return [...groups].sort(([left], [right]) => left < right ? -1 : 1).map(([, group]) => mergeGroup(group))
}

/**
 * Adds up counters of the same name and labels.
 *
 * @param replies - one for each node
 * @returns the sums, ordered by name and labels
 */
export const mergeCounters = (replies: readonly HistogramsReply[]): CounterValue[] => {
  const sums = new Map<string, CounterValue>()
  for (const counter of replies.flatMap((reply) => reply.counters)) {
    const key = `${counter.name} ${JSON.stringify(Object.entries(counter.labels).sort())}`
    const sum = sums.get(key)
    sums.set(key, { ...counter, value: counter.value + (sum?.value ?? 0) })
  }
  return [...sums].sort(([left], [right]) => left < right ? -1 : 1).map(([, counter]) => counter)
}
