/** Differences between two texts, for operators. */
import { createTwoFilesPatch } from 'diff'

import { Tone } from '../terminal/index.js'
import type { Painter } from '../terminal/index.js'

const CONTEXT_LINES = 2

/**
 * Writes how two texts differ.
 *
 * @param before - one text and what it is
 * @param after - the other text and what it is
 * @param paint - colours the lines
 * @returns a unified diff; empty where the texts are the same
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
