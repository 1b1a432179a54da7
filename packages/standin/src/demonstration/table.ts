/** The closing table of the demonstration. */
import { LENGTH_CLASSES } from '../load/index.js'
import type { LoadReport, Summary } from '../load/index.js'

const milliseconds = (value: number): string => value < 1_000 ? `${Math.round(value)} ms` : `${(value / 1_000).toFixed(1)} s`

const row = (cells: readonly string[]): string => cells.map((cell, index) => index === 0 ? cell.padEnd(12) : cell.padStart(12)).join('')

const classRow = (name: string, first: Summary | undefined, slowdown: Summary | undefined): string => {
  if (!first || !slowdown) return row([name, '0', '-', '-', '-'])
  return row([name, String(first.count), milliseconds(first.p50), milliseconds(first.p95), slowdown.p95.toFixed(2)])
}

const codes = (title: string, counts: Readonly<Record<string, number>>): string[] =>
  Object.entries(counts).map(([code, count]) => `${title} ${code}: ${count}`)

/**
 * Writes the figures for a reader.
 *
 * @param report - the figures
 * @returns lines
 */
export const reportTable = (report: LoadReport): string[] => [
  row(['prompt', 'answered', 'first token', 'p95', 'slowdown p95']),
  ...LENGTH_CLASSES.map(({ name }) => classRow(name, report.firstTokenMs[name], report.slowdown[name])),
  row(['orders', String(report.orderMs.order?.count ?? 0), milliseconds(report.orderMs.order?.p50 ?? 0), milliseconds(report.orderMs.order?.p95 ?? 0), '-']),
  ...codes('refused', report.refusedByCode),
  ...codes('failed', report.failedByCode),
  ...codes('not right', report.reasons),
  `sent again by callers: ${report.sentAgain}`,
  `by the ledgers: ${report.ledgers!.untruthful} refused as not run but run, ${report.ledgers!.phantom} answered but never run, ${report.ledgers!.heldTokens} tokens still held`
]

/**
 * Writes the last line.
 *
 * @param report - the figures
 * @returns the line that checks read
 */
export const closingLine = ({ admitted, answered, refused, failed, lost, doubled }: LoadReport): string =>
  `demo: admitted=${admitted} answered=${answered} refused=${refused} failed=${failed} lost=${lost} doubled=${doubled}`
