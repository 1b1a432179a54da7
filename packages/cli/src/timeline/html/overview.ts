/** Draws the overview of the time line page: one lane for each node, grouped by failure domain. */
import { wallOf } from '@bluebellhill/protocol'
import type { TimeLineEvent } from '@bluebellhill/protocol'

import { Tone, formatTime } from '../../terminal/index.js'
import type { TimeLineNode } from '../gather.js'
import { toneOf } from '../text.js'
import { element } from './markup.js'
import type { Markup } from './markup.js'

const WIDTH = 1_200
const LABEL_WIDTH = 170
const LANE_HEIGHT = 40
const DOMAIN_HEIGHT = 22
const AXIS_HEIGHT = 24
const RIGHT_MARGIN = 16
const TICKS = 6

/** Grid in pixels to which marks are aligned; events of one style at the same grid position share a mark. */
const MARK_STEP = 4

const CLASS_OF: Readonly<Record<Tone, string>> = {
  [Tone.Good]: 'good',
  [Tone.Warning]: 'warning',
  [Tone.Bad]: 'bad',
  [Tone.Notice]: 'notice',
  [Tone.Faint]: 'ordinary',
  [Tone.Strong]: 'ordinary'
}

/** Vertical position of each style's marks within a lane, in pixels; separate rows keep other marks from covering serious ones. */
const ROW_OF: Readonly<Record<string, number>> = { bad: 7, warning: 14, notice: 20, good: 27, ordinary: 33 }

/**
 * Chooses the style of an event's mark.
 *
 * @param event - the event
 * @returns a CSS class of the page's style sheet
 */
export const markClass = (event: TimeLineEvent): string => CLASS_OF[toneOf(event)]

/** The range of time that the drawing covers, in milliseconds. */
interface Scale {
  readonly start: number
  readonly span: number
}

const scaleOf = (events: readonly TimeLineEvent[]): Scale => {
  const start = wallOf(events[0]!.stamp)
  return { start, span: Math.max(1, wallOf(events[events.length - 1]!.stamp) - start) }
}

const positionOf = (scale: Scale, wall: number): number =>
  LABEL_WIDTH + (wall - scale.start) / scale.span * (WIDTH - LABEL_WIDTH - RIGHT_MARGIN)

/** A circle in a lane that stands for one or several events. */
interface Mark {
  readonly x: number
  readonly style: string
  readonly events: TimeLineEvent[]
}

const groupIntoMarks = (events: readonly TimeLineEvent[], scale: Scale): Mark[] => {
  const marks = new Map<string, Mark>()
  for (const event of events) {
    const x = Math.round(positionOf(scale, wallOf(event.stamp)) / MARK_STEP) * MARK_STEP
    const style = markClass(event)
    const mark = marks.get(`${x} ${style}`)
    if (mark === undefined) marks.set(`${x} ${style}`, { x, style, events: [event] })
    else mark.events.push(event)
  }
  return [...marks.values()]
}

const titleOf = (mark: Mark): string => {
  const kinds = new Map<string, number>()
  for (const event of mark.events) kinds.set(event.kind, (kinds.get(event.kind) ?? 0) + 1)
  const counts = [...kinds].map(([kind, count]) => `${count} x ${kind}`).join(', ')
  const { reason } = mark.events[0]!
  const reasonText = mark.events.length === 1 && reason !== '' ? `: ${reason}` : ''
  return `${formatTime(wallOf(mark.events[0]!.stamp)).slice(11)} ${counts}${reasonText}`
}

const drawMark = (mark: Mark, top: number): Markup => {
  const radius = Math.min(5, 2.8 + Math.log10(mark.events.length))
  return element('circle', { class: mark.style, cx: mark.x, cy: top + ROW_OF[mark.style]!, r: radius.toFixed(1) }, element('title', {}, titleOf(mark)))
}

const drawAxis = (scale: Scale, height: number): Markup[] => Array.from({ length: TICKS + 1 }, (_, tick) => {
  const wall = scale.start + scale.span * tick / TICKS
  const x = positionOf(scale, wall).toFixed(1)
  const anchor = tick === TICKS ? 'end' : 'middle'
  return [
    element('line', { class: 'grid', x1: x, x2: x, y1: 0, y2: height - AXIS_HEIGHT }),
    element('text', { class: 'axis', x, y: height - 8, 'text-anchor': anchor }, formatTime(wall).slice(11, 23))
  ]
}).flat()

const drawLane = (node: TimeLineNode, events: readonly TimeLineEvent[], scale: Scale, top: number): Markup[] => [
  element('rect', { class: 'lane', x: LABEL_WIDTH, y: top + 1, width: WIDTH - LABEL_WIDTH, height: LANE_HEIGHT - 3, rx: 3 }),
  element('text', { x: 12, y: top + LANE_HEIGHT / 2 + 4 }, node.node),
  ...groupIntoMarks(events, scale).map((mark) => drawMark(mark, top))
]

const domainsOf = (nodes: readonly TimeLineNode[]): string[] => [...new Set(nodes.map((node) => node.failureDomain))]

/**
 * Draws the lanes of all nodes.
 *
 * @param nodes - the nodes, ordered by failure domain
 * @param events - at least one event, ordered by time
 * @returns an SVG element
 */
export const drawOverview = (nodes: readonly TimeLineNode[], events: readonly TimeLineEvent[]): Markup => {
  const scale = scaleOf(events)
  const domains = domainsOf(nodes)
  const height = nodes.length * LANE_HEIGHT + domains.length * DOMAIN_HEIGHT + AXIS_HEIGHT
  const elements: Markup[] = drawAxis(scale, height)
  let top = 0
  for (const domain of domains) {
    elements.push(element('text', { class: 'domain', x: 0, y: top + DOMAIN_HEIGHT - 7 }, domain))
    top += DOMAIN_HEIGHT
    for (const node of nodes.filter((lane) => lane.failureDomain === domain)) {
      elements.push(...drawLane(node, events.filter((event) => event.node === node.node), scale, top))
      top += LANE_HEIGHT
    }
  }
  return element('svg', { viewBox: `0 0 ${WIDTH} ${height}`, role: 'img', 'aria-label': 'events by process' }, elements)
}
