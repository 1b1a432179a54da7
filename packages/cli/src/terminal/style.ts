/** Formats text for a terminal: colours and tables. */
import { stripVTControlCharacters, styleText } from 'node:util'

/** Meanings that are shown in a colour or style; the values are style names of `styleText`. */
export const Tone = {
  Good: 'green',
  Warning: 'yellow',
  Bad: 'red',
  Faint: 'gray',
  Strong: 'bold',
  Notice: 'cyan'
} as const
export type Tone = typeof Tone[keyof typeof Tone]

/** Returns a text in the style of a tone, or unchanged if colours are off. */
export type Painter = (tone: Tone, text: string) => string

/**
 * Returns a painter that uses colours only on a terminal, and not if NO_COLOR is set or TERM is `dumb`.
 *
 * @param isTerminal - whether the output is a terminal
 * @param environment - environment variables
 * @returns the painter
 */
export const painterFor = (isTerminal: boolean, environment: Readonly<Record<string, string | undefined>>): Painter => {
  const colours = isTerminal && !environment.NO_COLOR && environment.TERM !== 'dumb'
  return colours ? (tone, text) => styleText(tone, text, { validateStream: false }) : (_tone, text) => text
}

/** Returns the painter for standard output. */
export const outputPainter = (): Painter => painterFor(process.stdout.isTTY === true, process.env)

const COLUMN_GAP = '  '

const widthOf = (text: string): number => stripVTControlCharacters(text).length

/**
 * Formats a table. Columns whose cells are all numbers are aligned to the right.
 *
 * @param header - the column names
 * @param rows - the cells of each row
 * @param paint - applies the style of the header
 * @returns the lines of the table, joined
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
