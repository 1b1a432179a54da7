/** Histograms by length class. */
import { LENGTH_CLASSES, LENGTH_CLASS_NAMES } from '@bluebellhill/domain'
import type { LengthClassName, Tokens } from '@bluebellhill/domain'
import type { EncodedHistogram, HistogramName, HistogramUnit } from '@bluebellhill/protocol'
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Greatest value kept: an hour in milliseconds. Greater ones count as this. */
export const HIGHEST_VALUE = 3_600_000

/** Significant decimal digits of a value. */
const SIGNIFICANT_DIGITS = 2

const buildHistogram = (): Histogram => build({
  lowestDiscernibleValue: 1,
  highestTrackableValue: HIGHEST_VALUE,
  numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  autoResize: false
})

/**
 * Finds the length class of a prompt.
 *
 * @param promptTokens - its length
 * @returns the name of its class; the last one for anything longer
 */
export const lengthClassOf = (promptTokens: Tokens): LengthClassName => {
  const index = LENGTH_CLASSES.findIndex((bound) => promptTokens <= bound)
  return LENGTH_CLASS_NAMES[index] ?? LENGTH_CLASS_NAMES[LENGTH_CLASS_NAMES.length - 1]!
}

const recordClamped = (histogram: Histogram, value: number): void => {
  if (!Number.isFinite(value)) return
  histogram.recordValue(Math.min(HIGHEST_VALUE, Math.max(0, Math.round(value))))
}

/** One histogram for each length class. */
export class LengthClassHistograms {
  private readonly histograms: ReadonlyMap<LengthClassName, Histogram>

  /**
   * @param name - what is measured
   * @param unit - the unit of the values
   */
  constructor (readonly name: HistogramName, readonly unit: HistogramUnit) {
    this.histograms = new Map(LENGTH_CLASS_NAMES.map((length) => [length, buildHistogram()]))
  }

  /**
   * Records a value.
   *
   * @param promptTokens - the prompt's length
   * @param value - in the histogram's unit
   */
  record (promptTokens: Tokens, value: number): void {
    const histogram = this.histograms.get(lengthClassOf(promptTokens))
    if (histogram !== undefined) recordClamped(histogram, value)
  }

  /**
   * @returns each class with its histogram
   */
  entries (): ReadonlyArray<readonly [LengthClassName, Histogram]> {
    return [...this.histograms]
  }

  /**
   * @returns the histograms that hold values, encoded for the command line
   */
  encode (): EncodedHistogram[] {
    return this.entries()
      .filter(([, histogram]) => histogram.totalCount > 0)
      .map(([length, histogram]) => ({
        name: this.name,
        length,
        unit: this.unit,
        count: histogram.totalCount,
        encoded: encodeIntoCompressedBase64(histogram)
      }))
  }
}
