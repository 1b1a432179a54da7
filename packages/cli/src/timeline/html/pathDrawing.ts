/** The path of one request as a sequence drawing: a column for each process and runner, a row for each event. */
import { EventKind, wallOf } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import { formatDuration } from '../../terminal/index.js'
import { payloadText } from '../text.js'
import { element } from './markup.js'
import type { Markup } from './markup.js'
import { markClass } from './overview.js'

const WIDTH = 1_180
const TIME_WIDTH = 80
const TEXT_WIDTH = 620
const ROW_HEIGHT = 24
const HEADER_HEIGHT = 28
const MARK_RADIUS = 4.5

/** Longest description beside a row, in characters. */
const MAX_TEXT_LENGTH = 98

/** Events at which bytes pass between a node and a runner, and in which direction. */
const TO_RUNNER: ReadonlySet<EventKind> = new Set([EventKind.AttemptSent, EventKind.AttemptCancelled, EventKind.OrphanFreed])
const FROM_RUNNER: ReadonlySet<EventKind> = new Set([EventKind.FirstToken, EventKind.AttemptBroken, EventKind.AttemptCompleted, EventKind.AnswerDropped])

/** Events that follow from what another process did. */
const FROM_NODE: ReadonlySet<EventKind> = new Set([EventKind.OrderSought, EventKind.OrderQueued, EventKind.OrderGranted, EventKind.OrderRefused])

const columnsOf = (events: readonly TimeLineEvent[]): string[] => {
  const nodes = new Set(events.map((event) => event.node as string))
  const runners = new Set(events.flatMap((event) => event.runner === undefined ? [] : [event.runner as string]))
  return [...nodes, ...[...runners].filter((runner) => !nodes.has(runner as never))]
}

const shorten = (text: string, length: number): string => text.length <= length ? text : `${text.slice(0, length - 1)}…`

interface Layout {
  readonly columns: readonly string[]
  readonly xOf: (column: string) => number
  readonly gap: number
}

const layoutOf = (events: readonly TimeLineEvent[]): Layout => {
  const columns = columnsOf(events)
  const gap = (WIDTH - TIME_WIDTH - TEXT_WIDTH) / columns.length
  return { columns, gap, xOf: (column) => TIME_WIDTH + gap * (columns.indexOf(column) + 0.5) }
}

const yOf = (row: number): number => HEADER_HEIGHT + ROW_HEIGHT * (row + 0.5)

const arrow = (fromX: number, fromY: number, toX: number, toY: number): Markup => {
  const stop = toX > fromX ? toX - MARK_RADIUS - 2 : toX + MARK_RADIUS + 2
  return element('line', { class: 'arrow', x1: fromX, y1: fromY, x2: stop, y2: toY, 'marker-end': 'url(#head)' })
}

/** Draws what passed between this event's process and a runner. */
const drawRunnerArrow = (layout: Layout, event: TimeLineEvent, y: number): Markup[] => {
  if (event.runner === undefined) return []
  const own = layout.xOf(event.node)
  const runner = layout.xOf(event.runner)
  if (TO_RUNNER.has(event.kind)) return [arrow(own, y, runner, y)]
  return FROM_RUNNER.has(event.kind) ? [arrow(runner, y, own, y)] : []
}

/** Draws what passed between two processes: an order to a dispatcher, or its answer. */
const drawNodeArrow = (layout: Layout, events: readonly TimeLineEvent[], row: number): Markup[] => {
  const event = events[row]!
  const previous = events[row - 1]
  if (previous === undefined || previous.node === event.node) return []
  if (!FROM_NODE.has(event.kind) && !FROM_NODE.has(previous.kind)) return []
  return [arrow(layout.xOf(previous.node), yOf(row - 1), layout.xOf(event.node), yOf(row))]
}

const drawRow = (layout: Layout, events: readonly TimeLineEvent[], row: number): Markup[] => {
  const event = events[row]!
  const y = yOf(row)
  const elapsed = wallOf(event.stamp) - wallOf(events[0]!.stamp)
  const text = [event.kind, event.reason, payloadText(event)].filter((part) => part !== '').join(' · ')
  return [
    element('text', { class: 'axis', x: TIME_WIDTH - 14, y: y + 4, 'text-anchor': 'end' }, `+${formatDuration(elapsed)}`),
    ...drawNodeArrow(layout, events, row),
    ...drawRunnerArrow(layout, event, y),
    element('circle', { class: markClass(event), cx: layout.xOf(event.node), cy: y, r: MARK_RADIUS }),
    element('text', { x: WIDTH - TEXT_WIDTH + 8, y: y + 4 }, [shorten(text, MAX_TEXT_LENGTH), element('title', {}, text)])
  ]
}

const drawColumn = (layout: Layout, column: string, height: number): Markup[] => {
  const x = layout.xOf(column)
  const characters = Math.max(4, Math.floor(layout.gap / 6.6))
  return [
    element('text', { class: 'domain', x, y: 16, 'text-anchor': 'middle' }, [shorten(column, characters), element('title', {}, column)]),
    element('line', { class: 'grid', x1: x, x2: x, y1: HEADER_HEIGHT - 4, y2: height })
  ]
}

/** Definition of the arrow heads; stands once in the page, outside anything that can be closed. */
export const ARROW_HEAD = element('svg', { width: 0, height: 0, style: 'position:absolute' }, element('defs', {}, element('marker', { id: 'head', viewBox: '0 0 8 8', refX: 7, refY: 4, markerWidth: 7, markerHeight: 7, orient: 'auto' },
  element('path', { d: 'M0 0 L8 4 L0 8 z', class: 'ordinary' }))))

/**
 * Draws the path of one request.
 *
 * @param events - its events in order; at least one
 * @returns the drawing
 */
export const drawPath = (events: readonly TimeLineEvent[]): Markup => {
  const layout = layoutOf(events)
  const height = HEADER_HEIGHT + ROW_HEIGHT * events.length
  return element('svg', { viewBox: `0 0 ${WIDTH} ${height}`, role: 'img', 'aria-label': 'path of the request' }, [
    ...layout.columns.flatMap((column) => drawColumn(layout, column, height)),
    ...events.flatMap((_, row) => drawRow(layout, events, row))
  ])
}
