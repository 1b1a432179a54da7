import test from 'ava'

import { Quarantine, sharedParts } from '@bluebellhill/domain'
import { decodeCallerHeaders, HeaderName } from '@bluebellhill/platform'

import { heapInUse } from './heapInUse.js'

const REQUESTS = 2_000

/** V8 keeps the text that a string of 13 characters or more was taken from. */
const ID_LENGTH = 24

/** Far less than the headers take: 14 KB each. */
const MAX_HEAP_GROWTH = 4_000_000

const idOf = (number: number): string => number.toString(16).padStart(ID_LENGTH, 'a')
const SHARED_BY_ALL = Array.from({ length: 500 }, (_, index) => `${idOf(index)}:20`).join(',')

// Guards against nodes that run out of memory because each remembered prompt part keeps the header in which it came.
test('a part of a prompt that is remembered keeps none of the header in which it came', (t) => {
  const quarantine = new Quarantine()
  const before = heapInUse()
  for (let request = 0; request < REQUESTS; request += 1) {
    // As read from a socket: a text of its own.
    const header = Buffer.from(`${SHARED_BY_ALL},${idOf(1_000_000 + request)}:20,${idOf(2_000_000 + request)}:20`).toString('latin1')
    const parts = sharedParts(decodeCallerHeaders({ [HeaderName.PromptParts]: header }).promptParts)
    quarantine.recordSound({ part: parts.at(-1)!, at: request, service: 's' })
  }
  const growth = heapInUse() - before
  t.is(quarantine.counts(REQUESTS).partsSuspected, 0)
  t.true(growth < MAX_HEAP_GROWTH, `${Math.round(growth / 1_000)} KB for ${REQUESTS} parts`)
})
