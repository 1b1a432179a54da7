/** Draws from a seeded generator. */
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

const STEPS = 1_000_000_000

/**
 * Draws a number at least 0 and below 1.
 *
 * @param random - the generator, advanced
 * @returns the number
 */
export const uniformReal = (random: RandomGenerator): number => uniformInt(random, 0, STEPS - 1) / STEPS

/**
 * Draws the time to the next arrival of a Poisson process.
 *
 * @param random - the generator, advanced
 * @param perSecond - mean arrivals a second
 * @returns milliseconds
 */
export const arrivalGapMs = (random: RandomGenerator, perSecond: number): number =>
  -Math.log(1 - uniformReal(random)) * 1_000 / perSecond

/**
 * Draws an index by weights.
 *
 * @param random - the generator, advanced
 * @param weights - one for each index
 * @returns the index
 */
export const weightedIndex = (random: RandomGenerator, weights: readonly number[]): number => {
  let left = uniformReal(random) * weights.reduce((sum, weight) => sum + weight, 0)
  const index = weights.findIndex((weight) => (left -= weight) < 0)
  return index < 0 ? weights.length - 1 : index
}
