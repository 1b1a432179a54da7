/** Seeded random numbers and percentiles for the tests. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** @returns a generator of uniform numbers in [0, 1) */
export const seededRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed)
  return () => (generator.next() >>> 0) / 2 ** 32
}

/** @returns an exponentially distributed gap with the given mean */
export const exponentialGap = (random: () => number, mean: number): number => -Math.log(1 - random()) * mean

/** @returns the value below which the given share of the values lies; NaN if there are no values */
export const percentile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? NaN
}
