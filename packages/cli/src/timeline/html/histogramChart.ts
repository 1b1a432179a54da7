/** Draws the merged histograms as SVG bar charts. */
import { HistogramName, HistogramUnit } from '@bluebellhill/protocol'

import { formatCount, formatDuration } from '../../terminal/index.js'
import type { MergedHistogram } from '../histograms.js'
import { element } from './markup.js'
import type { Markup } from './markup.js'

const WIDTH = 280
const HEIGHT = 110
/** Vertical position of the foot of the bars; the axis labels are below it. */
const BASELINE_Y = 92
const BARS = 28
/** Divisor for histograms that are recorded in thousandths. */
const THOUSANDTHS = 1_000

const TITLES: Readonly<Record<HistogramName, string>> = {
  [HistogramName.FirstToken]: 'Time to first token',
  [HistogramName.ShortSlowdown]: 'Slowdown of short requests',
  [HistogramName.QueueDelay]: 'Queue delay'
}

const LENGTHS: Readonly<Record<string, string>> = {
  under_4k: 'under 4 k tokens',
  '4k_32k': '4 k to 32 k tokens',
  '32k_100k': '32 k to 100 k tokens',
  '100k_1m': '100 k to 1 M tokens'
}

/**
 * Writes the title of a histogram.
 *
 * @param histogram - the histogram
 * @returns the measured quantity and the length class of the prompts
 */
export const titleOf = (histogram: MergedHistogram): string =>
  `${TITLES[histogram.name] ?? histogram.name}, ${LENGTHS[histogram.length] ?? histogram.length}`

/**
 * Formats a value of a histogram in its unit.
 *
 * @param histogram - the histogram, which has the unit
 * @param value - the recorded value
 * @returns a duration, or a factor such as `1.50 x`
 */
export const valueText = (histogram: MergedHistogram, value: number): string =>
  histogram.unit === HistogramUnit.Millis ? formatDuration(value) : `${(value / THOUSANDTHS).toFixed(2)} x`

/** A bar of the chart: the number of values in a range. */
interface Bar {
  readonly from: number
  readonly to: number
  readonly count: number
}

/** Counts values in bars of equal width on a logarithmic axis. */
const barsOf = (merged: MergedHistogram): Bar[] => {
  const low = Math.max(1, merged.histogram.minNonZeroValue)
  const high = Math.max(low * 2, merged.max)
  const step = (Math.log(high) - Math.log(low)) / BARS
  const bounds = Array.from({ length: BARS + 1 }, (_, bar) => Math.exp(Math.log(low) + step * bar))
  const cumulativeCounts = bounds.map((bound, index) => index === 0 ? 0 : countUpTo(merged, index === BARS ? merged.max : bound))
  return bounds.slice(1).map((to, bar) => ({ from: bounds[bar]!, to, count: cumulativeCounts[bar + 1]! - cumulativeCounts[bar]! }))
}

/** Counts the values up to a bound, by a binary search over the percentiles. */
const countUpTo = (merged: MergedHistogram, bound: number): number => {
  let low = 0
  let high = merged.count
  while (low < high) {
    const middle = Math.ceil((low + high) / 2)
    if (merged.histogram.getValueAtPercentile(middle / merged.count * 100) <= bound) low = middle
    else high = middle - 1
  }
  return low
}

const drawBars = (merged: MergedHistogram): Markup => {
  const bars = barsOf(merged)
  const highest = Math.max(1, ...bars.map((bar) => bar.count))
  const width = WIDTH / BARS
  const p95Bar = bars.findIndex((bar) => bar.to >= merged.p95)
  return element('svg', { viewBox: `0 0 ${WIDTH} ${HEIGHT}`, role: 'img', 'aria-label': titleOf(merged) }, [
    ...bars.map((bar, index) => {
      const height = bar.count === 0 ? 0 : Math.max(1.5, bar.count / highest * (BASELINE_Y - 8))
      return element('rect', {
        class: index > p95Bar && p95Bar >= 0 ? 'warning' : 'notice',
        x: (index * width).toFixed(1),
        y: (BASELINE_Y - height).toFixed(1),
        width: (width - 1).toFixed(1),
        height: height.toFixed(1)
      }, element('title', {}, `${valueText(merged, bar.from)} to ${valueText(merged, bar.to)}: ${formatCount(bar.count)}`))
    }),
    element('line', { class: 'grid', x1: 0, x2: WIDTH, y1: BASELINE_Y, y2: BASELINE_Y }),
    element('text', { class: 'axis', x: 0, y: HEIGHT - 4 }, valueText(merged, bars[0]!.from)),
    element('text', { class: 'axis', x: WIDTH, y: HEIGHT - 4, 'text-anchor': 'end' }, valueText(merged, merged.max))
  ])
}

/**
 * Draws one histogram with its percentiles.
 *
 * @param merged - the histogram of all nodes, with at least one value
 * @returns the chart
 */
export const drawHistogram = (merged: MergedHistogram): Markup => element('div', { class: 'chart' }, [
  element('h3', {}, titleOf(merged)),
  element('p', { class: 'faint' }, `p50 ${valueText(merged, merged.p50)} · p95 ${valueText(merged, merged.p95)} · p99 ${valueText(merged, merged.p99)} · ${formatCount(merged.count)} values`),
  drawBars(merged)
])
