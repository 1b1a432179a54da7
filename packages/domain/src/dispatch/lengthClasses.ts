/** Assigns prompts to length classes. */
import { LENGTH_CLASSES } from '../constants.js'
import type { Tokens } from '../types.js'
import { LONG_CLASS } from './constants.js'

/** @returns the index of the prompt's length class in `LENGTH_CLASSES` */
export const lengthClassOf = (promptTokens: Tokens): number => {
  const index = LENGTH_CLASSES.findIndex((bound) => promptTokens < bound)
  return index < 0 ? LENGTH_CLASSES.length - 1 : index
}

/** @returns whether a prompt is long enough to be routed separately from shorter ones */
export const isLongPrompt = (promptTokens: Tokens): boolean => lengthClassOf(promptTokens) >= LONG_CLASS
