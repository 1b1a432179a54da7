/** Colours and tables, for people at a terminal. */
import { stripVTControlCharacters, styleText } from 'node:util'

/** Meanings that have a colour. */
export const Tone = {
  Good: 'green',
  Warning: 'yellow',
  Bad: 'red',
  Faint: 'gray',
  Strong: 'bold',
  Notice: 'cyan'
} as const
export type Tone = typeof Tone[keyof typeof Tone]

/** Writes a text in a tone, or plainly where colours are off. */
export type Painter = (tone: Tone, text: string) => string

/**
 * Chooses whether to use colours: only on a terminal, and never where NO_COLOR is set.
 *
 * @param isTerminal - whether the output is a terminal
 * @param environment - the environment's variables
 * @returns the painter
 */
export const painterFor = (isTerminal: boolean, environment: Readonly<Record<string, string | undefined>>): Painter => {
  const colours = isTerminal && !environment.NO_COLOR && environment.TERM !== 'dumb'
  return colours ? (tone, text) => styleText(tone, text, { validateStream: false }) : (_tone, text) => text
}

/**
 * @returns the painter for standard output
 */
export const outputPainter = (): Painter => painterFor(process.stdout.isTTY === true, process.env)

const COLUMN_GAP = '  '

const widthOf = (text: string): number => stripVTControlCharacters(text).length

/**
 * Lays rows out in columns. Columns whose cells are all numbers are aligned to the right.
 *
 * @param header - the column names
 * @param rows - the cells
 * @param paint - for the header
 * @returns the lines
 */
export const tableOf = (header: readonly string[], rows: ReadonlyArray<readonly string[]>, paint: Painter): string => {
  const widths = header.map((name, column) => Math.max(widthOf(name), ...rows.map((row) => widthOf(row[column] ?? ''))))
  const numeric = header.map((_, column) => rows.length > 0 && rows.every((row) => /^[\d.,%-]+( ?(ms|s|MB|k))?$/.test(stripVTControlCharacters(row[column] ?? ''))))
  const alignCells = (cells: readonly string[]): string => cells.map((cell, column) => {
    const space = ' '.repeat(Math.max(0, (widths[column] ?? 0) - widthOf(cell)))
    return numeric[column] ? space + cell : cell + space
  }).join(COLUMN_GAP).trimEnd()
  return [paint(Tone.Strong, alignCells(header)), ...rows.map(alignCells)].join('\n')
}
