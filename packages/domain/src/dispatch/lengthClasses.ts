/** Length classes of prompts. */
import { LENGTH_CLASSES } from '../constants.js'
import type { Tokens } from '../types.js'
import { LONG_CLASS } from './constants.js'

/** @returns the index in `LENGTH_CLASSES` of a prompt's length */
export const lengthClassOf = (promptTokens: Tokens): number => {
  const index = LENGTH_CLASSES.findIndex((bound) => promptTokens < bound)
  return index < 0 ? LENGTH_CLASSES.length - 1 : index
}

/** @returns whether a prompt is kept apart from short ones */
export const isLongPrompt = (promptTokens: Tokens): boolean => lengthClassOf(promptTokens) >= LONG_CLASS
