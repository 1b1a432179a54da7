/** Prompt lengths: the mix of the users, and the classes that figures are broken down by. */
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

import { uniformReal } from './random.js'

/** Classes by the tokens of the prompt; the bound itself is contained. */
export const LENGTH_CLASSES = [
  { name: 'under_4k', upTo: 4_000 },
  { name: '4k_32k', upTo: 32_000 },
  { name: '32k_100k', upTo: 100_000 },
  { name: '100k_1m', upTo: 1_048_576 }
] as const

export type LengthClass = typeof LENGTH_CLASSES[number]['name']

/** One part of the mix; lengths within it are spread evenly over the logarithm. */
interface MixPart {
  readonly share: number
  readonly from: number
  readonly to: number
}

/** Mostly short; one in fifty above 100,000 tokens, which together are more than half of all prompt tokens. */
const MIX: readonly MixPart[] = [
  { share: 0.80, from: 1_000, to: 4_000 },
  { share: 0.13, from: 4_000, to: 32_000 },
  { share: 0.05, from: 32_000, to: 100_000 },
  { share: 0.02, from: 100_000, to: 1_000_000 }
]

/**
 * Finds the class of a prompt.
 *
 * @param tokens - its length
 * @returns the class's name
 */
export const lengthClassOf = (tokens: number): LengthClass =>
  (LENGTH_CLASSES.find(({ upTo }) => tokens <= upTo) ?? LENGTH_CLASSES[LENGTH_CLASSES.length - 1]!).name

/**
 * Draws a length, evenly over its logarithm.
 *
 * @param random - the generator, advanced
 * @param from - least tokens
 * @param to - most tokens
 * @returns tokens
 */
export const drawBetween = (random: RandomGenerator, from: number, to: number): number =>
  Math.round(from * (to / from) ** uniformReal(random))

/**
 * Draws a length from the mix.
 *
 * @param random - the generator, advanced
 * @returns tokens
 */
export const drawLength = (random: RandomGenerator): number => {
  let left = uniformReal(random)
  const part = MIX.find(({ share }) => (left -= share) < 0) ?? MIX[0]!
  return drawBetween(random, part.from, part.to)
}

/**
 * Mean length of the mix.
 *
 * @param cut - lengths are cut to this
 * @returns tokens
 */
export const meanLength = (cut = Infinity): number =>
  MIX.reduce((sum, { share, from, to }) => sum + share * meanBetween(from, to, cut), 0)

const meanBetween = (from: number, to: number, cut: number): number => {
  if (cut <= from) return cut
  const end = Math.min(cut, to)
  const whole = Math.log(to / from)
  return (end - from) / whole + end * Math.log(to / end) / whole
}
