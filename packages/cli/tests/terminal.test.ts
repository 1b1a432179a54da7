import test from 'ava'
import fc from 'fast-check'
import { stampOf } from '@bluebellhill/protocol'

import { Tone, formatDuration, painterFor, parseDuration, tableOf } from '../src/terminal/index.js'
import { parseFilter } from '../src/timeline/gather.js'

const NOW = Date.UTC(2026, 11, 3, 20, 0, 0)

test('colours are used on a terminal only, and never with NO_COLOR', (t) => {
  t.not(painterFor(true, {})(Tone.Bad, 'x'), 'x')
  t.is(painterFor(false, {})(Tone.Bad, 'x'), 'x')
  t.is(painterFor(true, { NO_COLOR: '1' })(Tone.Bad, 'x'), 'x')
  t.is(painterFor(true, { TERM: 'dumb' })(Tone.Bad, 'x'), 'x')
})

test('a time is parsed as an age, or as UTC if it names no zone', (t) => {
  t.is(parseFilter({ since: '5m' }, NOW).after, stampOf(NOW - 300_000))
  t.is(parseFilter({ since: '2026-12-03T19:00:00' }, NOW).after, stampOf(NOW - 3_600_000))
  t.is(parseFilter({ until: '2026-12-03 19:00:00' }, NOW).before, stampOf(NOW - 3_600_000))
  t.is(parseFilter({ until: '2026-12-03T23:00:00+04:00' }, NOW).before, stampOf(NOW - 3_600_000))
  t.throws(() => parseFilter({ since: 'soon' }, NOW), { message: /is no time/ })
})

test('durations are parsed and formatted', (t) => {
  t.deepEqual(['500ms', '1.5s', '2m', '1h', '1d', '5', '-1s', 's'].map(parseDuration), [500, 1_500, 120_000, 3_600_000, 86_400_000, undefined, undefined, undefined])
  t.deepEqual([0, 999, 1_500, 30_000, 61_000, 3_720_000, 90_000_000].map(formatDuration), ['0 ms', '999 ms', '1.50 s', '30.0 s', '1 min 1 s', '1 h 2 min', '1 d 1 h'])
})

test('all lines of a table have the same length, for any cells', (t) => {
  fc.assert(fc.property(fc.array(fc.tuple(fc.stringMatching(/^[a-z]{0,12}$/), fc.nat().map(String)), { minLength: 1, maxLength: 10 }), (rows) => {
    const lines = tableOf(['NAME', 'COUNT'], rows, painterFor(false, {})).split('\n')
    return lines.length === rows.length + 1 && new Set(lines.map((line) => line.length)).size === 1
  }), { seed: 691, numRuns: 500 })
  t.pass()
})
