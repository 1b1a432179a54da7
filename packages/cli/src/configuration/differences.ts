/** Compares two texts and formats their differences as a unified diff. */
import { createTwoFilesPatch } from 'diff'

import { Tone } from '../terminal/index.js'
import type { Painter } from '../terminal/index.js'

/** Number of unchanged lines shown before and after each change. */
const CONTEXT_LINES = 2

/**
 * Compares two texts.
 *
 * @param before - the old text, and its name in the head of the diff
 * @param after - the new text, and its name in the head of the diff
 * @param paint - applies colours to the lines
 * @returns a unified diff; empty if the texts are equal
 */
export const differencesOf = (before: { name: string, text: string }, after: { name: string, text: string }, paint: Painter): string => {
  if (before.text === after.text) return ''
  const patch = createTwoFilesPatch(before.name, after.name, before.text, after.text, undefined, undefined, { context: CONTEXT_LINES })
  return patch.split('\n').filter((line) => !line.startsWith('====')).map((line) => paintLine(line, paint)).join('\n').trimEnd()
}

const paintLine = (line: string, paint: Painter): string => {
  if (line.startsWith('+')) return paint(Tone.Good, line)
  if (line.startsWith('-')) return paint(Tone.Bad, line)
  return line.startsWith('@@') ? paint(Tone.Notice, line) : line
}
