/** Draws the path of one request as a sequence diagram: a column for each node and runner, a row for each event. */
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

/** Greatest length of the text beside a row, in characters; the full text is in a tooltip. */
const MAX_TEXT_LENGTH = 98

/** Kinds of events that are drawn with an arrow from the node to the runner. */
const TO_RUNNER: ReadonlySet<EventKind> = new Set([EventKind.AttemptSent, EventKind.AttemptCancelled, EventKind.OrphanFreed])
/** Kinds of events that are drawn with an arrow from the runner to the node. */
const FROM_RUNNER: ReadonlySet<EventKind> = new Set([EventKind.FirstToken, EventKind.AttemptBroken, EventKind.AttemptCompleted, EventKind.AnswerDropped])

/** Kinds of events about dispatch orders, which pass between an entry node and a dispatcher. */
const FROM_NODE: ReadonlySet<EventKind> = new Set([EventKind.OrderSought, EventKind.OrderQueued, EventKind.OrderGranted, EventKind.OrderRefused])

const columnsOf = (events: readonly TimeLineEvent[]): string[] => {
  const nodes = new Set(events.map((event) => event.node as string))
  const runners = new Set(events.flatMap((event) => event.runner === undefined ? [] : [event.runner as string]))
  return [...nodes, ...[...runners].filter((runner) => !nodes.has(runner as never))]
}

const shorten = (text: string, length: number): string => text.length <= length ? text : `${text.slice(0, length - 1)}…`

/** Columns of the diagram and their horizontal positions, in pixels. */
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

/** Draws an arrow between the event's node and its runner, if the kind of event implies a message between them. */
const drawRunnerArrow = (layout: Layout, event: TimeLineEvent, y: number): Markup[] => {
  if (event.runner === undefined) return []
  const own = layout.xOf(event.node)
  const runner = layout.xOf(event.runner)
  if (TO_RUNNER.has(event.kind)) return [arrow(own, y, runner, y)]
  return FROM_RUNNER.has(event.kind) ? [arrow(runner, y, own, y)] : []
}

/** Draws an arrow between two nodes for a dispatch order or its answer. */
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

/** SVG definition of the arrow heads; included once in the page, outside the collapsible sections. */
export const ARROW_HEAD = element('svg', { width: 0, height: 0, style: 'position:absolute' }, element('defs', {}, element('marker', { id: 'head', viewBox: '0 0 8 8', refX: 7, refY: 4, markerWidth: 7, markerHeight: 7, orient: 'auto' },
  element('path', { d: 'M0 0 L8 4 L0 8 z', class: 'ordinary' }))))

/**
 * Draws the path of one request.
 *
 * @param events - the events of the request, ordered by time; at least one
 * @returns an SVG element
 */
export const drawPath = (events: readonly TimeLineEvent[]): Markup => {
  const layout = layoutOf(events)
  const height = HEADER_HEIGHT + ROW_HEIGHT * events.length
  return element('svg', { viewBox: `0 0 ${WIDTH} ${height}`, role: 'img', 'aria-label': 'path of the request' }, [
    ...layout.columns.flatMap((column) => drawColumn(layout, column, height)),
    ...events.flatMap((_, row) => drawRow(layout, events, row))
  ])
}
