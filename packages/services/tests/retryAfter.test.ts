import test from 'ava'

import { parseRetryAfter } from '../src/index.js'

const NOW = Date.parse('Fri, 04 Dec 2026 08:00:00 GMT')

const CASES: ReadonlyArray<[string | undefined, number | null]> = [
  ['2', 2_000], ['0.25', 250], ['0', 0], [' 3 ', 3_000], ['1e3', 1_000_000],
  ['Fri, 04 Dec 2026 08:00:05 GMT', 5_000], ['Fri, 04 Dec 2026 07:59:00 GMT', 0],
  [undefined, null], ['', null], ['-1', null], ['soon', null], ['Infinity', null]
]
for (const [header, expected] of CASES) {
  test(`retry-after ${String(header)} is ${String(expected)} ms`, (t) => {
    t.is(parseRetryAfter(header, NOW), expected)
  })
}
