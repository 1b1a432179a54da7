import test from 'ava'

import { AnswerTimes } from '../src/index.js'

const observe = (times: AnswerTimes, ...values: number[]): void => { for (const value of values) times.observe('r', value) }

test('nothing is known of a route with few answers', (t) => {
  const times = new AnswerTimes()
  t.is(times.longest('r'), null)
  observe(times, 1, 2, 3, 4, 5, 6, 7, 8, NaN, -1)
  t.is(times.longest('r'), null)
  observe(times, 1)
  t.is(times.longest('r'), 8)
  t.is(times.longest('other'), null)
})

test('the longest recent answer counts, and is forgotten after many shorter ones', (t) => {
  const times = new AnswerTimes()
  observe(times, 900, ...Array.from({ length: 64 }, () => 10))
  t.is(times.longest('r'), 900)
  observe(times, ...Array.from({ length: 64 }, () => 10))
  t.is(times.longest('r'), 10)
})

test('the route that was answered least lately is forgotten first', (t) => {
  const times = new AnswerTimes()
  observe(times, ...Array.from({ length: 9 }, () => 10))
  for (let index = 0; index < 1_000; index += 1) times.observe(`r${index}`, 1)
  t.is(times.longest('r'), null)
})
