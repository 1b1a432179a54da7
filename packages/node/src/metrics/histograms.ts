/** Histograms that are kept apart by the length class of the prompt. */
import { LENGTH_CLASSES, LENGTH_CLASS_NAMES } from '@bluebellhill/domain'
import type { LengthClassName, Tokens } from '@bluebellhill/domain'
import type { EncodedHistogram, HistogramName, HistogramUnit } from '@bluebellhill/protocol'
import { build, encodeIntoCompressedBase64 } from 'hdr-histogram-js'
import type { Histogram } from 'hdr-histogram-js'

/** Greatest value of a histogram: an hour in milliseconds. Greater values are recorded as this one. */
export const HIGHEST_VALUE = 3_600_000

/** Number of significant decimal digits of a recorded value. */
const SIGNIFICANT_DIGITS = 2

const buildHistogram = (): Histogram => build({
  lowestDiscernibleValue: 1,
  highestTrackableValue: HIGHEST_VALUE,
  numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
  autoResize: false
})

/**
 * Returns the length class of a prompt.
 *
 * @param promptTokens - the length of the prompt
 * @returns the name of the class; prompts above all bounds belong to the last class
 */
export const lengthClassOf = (promptTokens: Tokens): LengthClassName => {
  const index = LENGTH_CLASSES.findIndex((bound) => promptTokens <= bound)
  return LENGTH_CLASS_NAMES[index] ?? LENGTH_CLASS_NAMES[LENGTH_CLASS_NAMES.length - 1]!
}

const recordClamped = (histogram: Histogram, value: number): void => {
  if (!Number.isFinite(value)) return
  histogram.recordValue(Math.min(HIGHEST_VALUE, Math.max(0, Math.round(value))))
}

/** Histograms of one measured quantity, one for each length class. */
export class LengthClassHistograms {
  private readonly histograms: ReadonlyMap<LengthClassName, Histogram>

  /**
   * @param name - the measured quantity
   * @param unit - the unit of the values
   */
  constructor (readonly name: HistogramName, readonly unit: HistogramUnit) {
    this.histograms = new Map(LENGTH_CLASS_NAMES.map((length) => [length, buildHistogram()]))
  }

  /**
   * Records a value.
   *
   * @param promptTokens - the prompt's length
   * @param value - the value in the unit of the histogram
   */
  record (promptTokens: Tokens, value: number): void {
    const histogram = this.histograms.get(lengthClassOf(promptTokens))
    if (histogram !== undefined) recordClamped(histogram, value)
  }

  /**
   * @returns each length class with its histogram
   */
  entries (): ReadonlyArray<readonly [LengthClassName, Histogram]> {
    return [...this.histograms]
  }

  /**
   * @returns the histograms that contain values, encoded for the command line
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
