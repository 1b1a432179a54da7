import test from 'ava'
import fc from 'fast-check'

import { timeLinePage } from '../src/timeline/html/page.js'
import { escapeText } from '../src/timeline/html/markup.js'
import { eventsOf } from './arbitraryEvents.js'
import { BROKEN_REQUEST, sampleRun } from './sampleFleet.js'
import type { TimeLineEvent } from '@bluebellhill/protocol'

const pageOf = (events: readonly TimeLineEvent[]): string => timeLinePage({
  timeLine: {
    nodes: ['n1', 'n2', 'n3', 'sohar-1'].map((node) => ({ node, failureDomain: node.slice(0, 5), address: '127.0.0.1:1', overwritten: 0, truncated: false })),
    silent: [{ address: '127.0.0.1:9', reason: 'no answer in time' }],
    events
  },
  histograms: [],
  counters: [],
  writtenAt: 1_800_000_000_000
})

const TAG = /<\/?([a-z0-9]+)(?: [a-zA-Z0-9-]+(?:="[^"<>]*"))*>|<![a-z ]+>/gi
const ALLOWED = new Set(['html', 'head', 'meta', 'title', 'style', 'body', 'h1', 'h2', 'h3', 'p', 'div', 'span', 'b', 'i', 'a', 'nav', 'svg', 'g', 'text', 'line', 'rect', 'circle', 'defs', 'marker', 'path', 'table', 'tr', 'th', 'td', 'ul', 'li', 'details', 'summary'])

test('texts in events are escaped, so that the page has only its own elements', (t) => {
  fc.assert(fc.property(eventsOf(['r1', '<b>'], 25), (events) => {
    const page = pageOf(events)
    const names = [...page.matchAll(TAG)].map((match) => match[1]).filter((name) => name !== undefined)
    const rest = page.replace(/<style>[\s\S]*?<\/style>/, '').replace(TAG, '')
    return !/[<>]/.test(rest) && names.every((name) => ALLOWED.has(name.toLowerCase()))
  }), { seed: 681, numRuns: 500 })
  t.pass()
})

test('the page needs no script and no other file', (t) => {
  const page = pageOf(sampleRun().events)
  t.deepEqual(page.match(/<script|<link|<img|url\((?!#head\))|@import|https?:/g), null)
  t.true(page.includes(BROKEN_REQUEST))
  t.true(page.includes('127.0.0.1:9 did not answer'))
  t.true(page.includes('aria-label="path of the request"'))
})

test('escaped text has no special characters of HTML', (t) => {
  fc.assert(fc.property(fc.string({ unit: 'binary' }), (text) => !/[<>"']/.test(escapeText(text)) && !/&(?!amp;|lt;|gt;|quot;|#39;)/.test(escapeText(text))), { seed: 682, numRuns: 1_000 })
  t.pass()
})
