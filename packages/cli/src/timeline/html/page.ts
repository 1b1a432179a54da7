/** Writes the time line as one self-contained HTML page, without scripts or references to other files. */
import { REQUEST_KINDS, wallOf } from '@bluebellhill/protocol'
import type { CounterValue, TimeLineEvent } from '@bluebellhill/protocol'

import { formatCount, formatDuration, formatStamp, formatTime, plural } from '../../terminal/index.js'
import { explain } from '../explain.js'
import type { MergedTimeLine } from '../gather.js'
import type { MergedHistogram } from '../histograms.js'
import { notablePaths, requestPaths, countTroubleEvents } from '../requestPaths.js'
import type { RequestPath } from '../requestPaths.js'
import { payloadText, subjectText } from '../text.js'
import { drawHistogram } from './histogramChart.js'
import { element } from './markup.js'
import type { Markup } from './markup.js'
import { drawOverview, markClass } from './overview.js'
import { ARROW_HEAD, drawPath } from './pathDrawing.js'
import { STYLE } from './style.js'

/** Greatest number of requests with trouble whose paths are drawn. */
const MAX_TROUBLED_PATHS = 25

/** Greatest number of requests without trouble whose paths are drawn; the slowest are chosen. */
const MAX_ORDINARY_PATHS = 5

/** Number of paths that are expanded when the page opens. */
const OPEN_PATHS = 3

/** Greatest number of events in the table of fleet changes. */
const MAX_FLEET_EVENTS = 400

/** Data of the page. */
export interface PageContent {
  readonly timeLine: MergedTimeLine
  readonly histograms: readonly MergedHistogram[]
  readonly counters: readonly CounterValue[]
  /** Time of writing, in wall-clock milliseconds since the epoch. */
  readonly writtenAt: number
}

const fact = (value: string, label: string): Markup => element('div', { class: 'fact' }, [element('b', {}, value), label])

const warningsOf = ({ nodes, silent }: MergedTimeLine): Markup[] => [
  ...silent.map((node) => element('p', { class: 'warn' }, `${node.address} did not answer: ${node.reason}. Its events are missing.`)),
  ...nodes.filter((node) => node.truncated).map((node) => element('p', { class: 'warn' }, `${node.node} held more events than were read.`))
]

const SECTIONS: ReadonlyArray<readonly [string, string]> = [
  ['processes', 'Processes'],
  ['requests', 'Requests'],
  ['fleet', 'Changes of the fleet'],
  ['histograms', 'Histograms'],
  ['counters', 'Counters']
]

const navigation = (sections: readonly Markup[]): Markup => {
  const present = SECTIONS.filter(([id]) => sections.some((section) => section.html.includes(`id="${id}"`)))
  return element('nav', {}, present.flatMap(([id, title]) => [element('a', { href: `#${id}` }, title), ' ']))
}

const header = (content: PageContent, paths: readonly RequestPath[]): Markup[] => {
  const { events, nodes } = content.timeLine
  const first = events[0]
  const last = events[events.length - 1]
  const span = first === undefined || last === undefined
    ? 'no events'
    : `${formatTime(wallOf(first.stamp))} to ${formatTime(wallOf(last.stamp))} UTC (${formatDuration(wallOf(last.stamp) - wallOf(first.stamp))})`
  const answered = paths.filter((path) => path.code?.name === 'answered').length
  const open = paths.filter((path) => path.code === null).length
  return [
    element('h1', {}, 'bluebellhill time line'),
    element('p', { class: 'faint' }, `${span}. Written ${formatTime(content.writtenAt)} UTC.`),
    element('div', { class: 'facts' }, [
      fact(formatCount(nodes.length), 'nodes answered'),
      fact(formatCount(events.length), 'events'),
      fact(formatCount(paths.length), 'requests'),
      fact(formatCount(answered), 'answered'),
      fact(formatCount(paths.length - answered - open), 'refused or failed'),
      fact(formatCount(open), 'without a recorded end'),
      fact(formatCount(paths.filter((path) => path.attempts > 1).length), 'with several attempts')
    ]),
    ...warningsOf(content.timeLine)
  ]
}

const LEGEND: ReadonlyArray<readonly [string, string]> = [
  ['bad', 'broken, lost or failed'],
  ['warning', 'refused, dropped, cancelled'],
  ['notice', 'change of the fleet'],
  ['good', 'answered'],
  ['ordinary', 'normal step of a request']
]

const overview = (timeLine: MergedTimeLine): Markup[] => timeLine.events.length === 0
  ? []
  : [
      element('h2', { id: 'processes' }, 'Processes'),
      element('p', { class: 'legend' }, LEGEND.map(([style, label]) => element('span', { class: style }, [element('i'), element('b', {}, label)]))),
      drawOverview(timeLine.nodes, timeLine.events)
    ]

const fleetRow = (event: TimeLineEvent): Markup => element('tr', {}, [
  element('td', { class: 'time' }, formatStamp(event.stamp)),
  element('td', {}, event.node),
  element('td', { class: markClass(event) }, event.kind),
  element('td', {}, subjectText(event)),
  element('td', {}, event.reason),
  element('td', { class: 'faint' }, payloadText(event))
])

const headRow = (names: readonly string[]): Markup => element('tr', {}, names.map((name) => element('th', {}, name)))

const fleetEvents = (events: readonly TimeLineEvent[]): Markup[] => {
  const fleet = events.filter((event) => !REQUEST_KINDS.has(event.kind))
  if (fleet.length === 0) return []
  const shown = fleet.slice(-MAX_FLEET_EVENTS)
  const countText = shown.length < fleet.length ? `, the newest ${formatCount(shown.length)} of ${formatCount(fleet.length)}` : ''
  return [
    element('h2', { id: 'fleet' }, `Changes of the fleet${countText}`),
    element('table', {}, [headRow(['time (UTC)', 'node', 'event', 'about', 'reason', 'figures']), ...shown.map(fleetRow)])
  ]
}

const outcomeOf = (path: RequestPath): Markup => {
  const name = path.code === null ? 'no recorded end' : `${path.code.name} (${path.code.number})`
  const answeredStyle = countTroubleEvents(path) === 0 ? 'good' : 'warning'
  const style = path.code?.name === 'answered' ? answeredStyle : 'bad'
  return element('span', { class: `outcome ${style}` }, `${name} · ${formatDuration(path.duration)} · ${plural(path.attempts, 'attempt')}`)
}

const pathSection = (path: RequestPath, index: number): Markup => {
  const { sentences, advice, gaps } = explain(path.events, [])
  const advices = advice === null ? [] : [`What to do: ${advice}`]
  return element('details', index < OPEN_PATHS ? { open: '' } : {}, [
    element('summary', {}, [element('b', {}, path.request), ` of ${path.organisation ?? 'no organisation'} `, outcomeOf(path)]),
    element('ul', { class: 'sentences' }, [...sentences, ...advices, ...gaps].map((sentence) => element('li', {}, sentence))),
    drawPath(path.events)
  ])
}

const requests = (paths: readonly RequestPath[]): Markup[] => {
  if (paths.length === 0) return []
  const troubled = notablePaths(paths.filter((path) => countTroubleEvents(path) > 0), MAX_TROUBLED_PATHS)
  const ordinary = notablePaths(paths.filter((path) => countTroubleEvents(path) === 0), MAX_ORDINARY_PATHS)
  const shown = [...troubled, ...ordinary]
  const countText = shown.length < paths.length ? `${plural(troubled.length, 'request')} with trouble, then the slowest ${formatCount(ordinary.length)} without, of ${formatCount(paths.length)}.` : ''
  return [element('h2', { id: 'requests' }, 'Requests'), element('p', { class: 'faint' }, countText), ...shown.map(pathSection)]
}

const counterRow = (counter: CounterValue): Markup => element('tr', {}, [
  element('td', {}, counter.name),
  element('td', {}, Object.entries(counter.labels).map(([label, value]) => `${label}=${value}`).join(' ')),
  element('td', { class: 'num' }, formatCount(counter.value))
])

const metrics = (content: PageContent): Markup[] => [
  ...(content.histograms.length === 0 ? [] : [element('h2', { id: 'histograms' }, 'Histograms over all nodes, since each started'), element('div', { class: 'charts' }, content.histograms.map(drawHistogram))]),
  ...(content.counters.length === 0 ? [] : [element('h2', { id: 'counters' }, 'Counters over all nodes, since each started'), element('table', {}, [headRow(['counter', 'labels', 'sum']), ...content.counters.filter((counter) => counter.value > 0).map(counterRow)])])
]

/**
 * Writes the time line page.
 *
 * @param content - data of the page
 * @returns a complete HTML document
 */
export const timeLinePage = (content: PageContent): string => {
  const paths = requestPaths(content.timeLine.events)
  const sections = [
    ...overview(content.timeLine),
    ...requests(paths),
    ...fleetEvents(content.timeLine.events),
    ...metrics(content)
  ]
  const body = [ARROW_HEAD, ...header(content, paths), navigation(sections), ...sections]
  const head = element('head', {}, [
    element('meta', { charset: 'utf-8' }),
    element('meta', { name: 'viewport', content: 'width=device-width' }),
    element('title', {}, 'bluebellhill time line'),
    element('style', {}, { html: STYLE })
  ])
  return `<!doctype html>\n${element('html', { lang: 'en' }, [head, element('body', {}, body)]).html}\n`
}
