/** Length classes of prompts, by which routing and metrics break down their figures. */

/** Upper bounds of the length classes, in tokens and exclusive; the last class also covers longer prompts. */
export const LENGTH_CLASSES = [4_000, 32_000, 100_000, 1_048_576] as const

/** Names of the length classes, in the order of `LENGTH_CLASSES`. */
export const LENGTH_CLASS_NAMES = ['under_4k', '4k_32k', '32k_100k', '100k_1m'] as const
export type LengthClassName = typeof LENGTH_CLASS_NAMES[number]
