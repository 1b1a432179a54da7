import test from 'ava'

import { ServerBackoffs } from '../src/index.js'
import type { RunnerId } from '../src/index.js'

const SERVER = 'e0' as RunnerId

test('a server gets no requests until its pause is over', (t) => {
  const backoffs = new ServerBackoffs()
  backoffs.record(SERVER, 6_000, 0, 1_000)
  t.is(backoffs.remaining(SERVER, 2_000), 5_000)
  t.deepEqual(backoffs.active(6_999), [SERVER])
  t.is(backoffs.remaining(SERVER, 7_000), 0)
  t.deepEqual(backoffs.active(7_000), [])
})

test('a shorter pause that is asked for later does not end a longer one', (t) => {
  const backoffs = new ServerBackoffs()
  backoffs.record(SERVER, 6_000, 0, 0)
  backoffs.record(SERVER, 500, 0, 100)
  t.is(backoffs.remaining(SERVER, 1_000), 5_000)
})

test('nodes that were asked at the same moment return at different times, none too early', (t) => {
  const returns = [0, 0.25, 0.5, 0.75, 1].map((spread) => {
    const backoffs = new ServerBackoffs()
    backoffs.record(SERVER, 2_000, spread, 0)
    return backoffs.remaining(SERVER, 0)
  })
  t.deepEqual(returns, [2_000, 2_125, 2_250, 2_375, 2_500])
})

test('a pause of no length asks for nothing, and an endless one lasts until the server is removed', (t) => {
  const backoffs = new ServerBackoffs()
  backoffs.record(SERVER, 0, 0.5, 0)
  t.deepEqual(backoffs.active(0), [])
  backoffs.record(SERVER, 1e300, 0.5, 0)
  t.deepEqual(backoffs.active(1e9), [SERVER])
  backoffs.remove(SERVER)
  t.deepEqual(backoffs.active(1e9), [])
})
