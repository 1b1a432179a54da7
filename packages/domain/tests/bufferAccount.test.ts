/** Which callers are cut off while others read slowly, in virtual time. */
import test from 'ava'

import { BufferAccount, bufferLimit, MAX_HOLD, SLOW_AFTER } from '../src/index.js'

const STEP_MS = 50
const MEMORIES = [250_000_000, 602_000_000]

/** One caller of the load: what its server sends and what it reads, in bytes per millisecond. */
interface Caller {
  readonly sends: number
  readonly reads: number
}

const FAST: Caller = { sends: 30, reads: 300 }
const SLOW: readonly Caller[] = [0, 2, 20].map((reads) => ({ sends: 3_000, reads }))

/** Runs callers against an account with back-pressure; returns the answers that were cut off, in order, and the largest total after each step. */
const run = (account: BufferAccount, callers: readonly Caller[], steps: number): { readonly cut: number[], readonly highest: number, readonly longestHold: number } => {
  const states = callers.map((caller, id) => ({ ...caller, id, written: 0, unread: 0, held: 0 }))
  const cut: number[] = []
  let highest = 0
  let longestHold = 0
  for (let step = 1; step <= steps; step += 1) {
    const now = step * STEP_MS
    for (const state of states.filter(({ id }) => !cut.includes(id))) {
      state.held = account.hold(state.id, now) ? state.held + STEP_MS : 0
      const sent = state.held > 0 ? 0 : state.sends * STEP_MS
      longestHold = Math.max(longestHold, state.held)
      state.written += sent
      state.unread = Math.max(0, state.unread + sent - state.reads * STEP_MS)
      account.observe(state.id, state.written, state.unread, now)
    }
    for (const { id } of account.findSlowest(now)) {
      cut.push(id)
      account.remove(id)
    }
    highest = Math.max(highest, account.total)
  }
  return { cut, highest, longestHold }
}

for (const memory of MEMORIES) {
  // Guards against a node that runs out of memory, or cuts off callers that keep up: 200 that do and 30 that read nothing, 2 or 20 KB/s of 3 MB/s.
  test(`of 230 callers of a node with ${memory / 1_000_000} MB, 30 of them slow, only slow ones are cut off`, (t) => {
    const slow = Array.from({ length: 30 }, (_, index) => SLOW[index % SLOW.length] ?? FAST)
    const account = new BufferAccount(bufferLimit(memory))
    const { cut, highest, longestHold } = run(account, [...slow, ...Array.from({ length: 200 }, () => FAST)], 1_200)
    t.true(cut.length > 0 && cut.every((id) => id < slow.length))
    t.true(highest <= bufferLimit(memory))
    t.true(longestHold > 0 && longestHold <= MAX_HOLD)
  })
}

// Guards against an order by bytes alone, or by time alone.
test('the caller is cut off first whose bytes have taken most memory for longest', (t) => {
  const account = new BufferAccount(1_000)
  account.observe(1, 600, 600, 0)
  account.observe(2, 100, 100, 0)
  account.observe(3, 500, 500, 900)
  t.deepEqual(account.findSlowest(1_000).map(({ id }) => id), [1])
  account.observe(1, 2_000, 600, 1_000)
  t.deepEqual(account.findSlowest(1_000).map(({ id }) => id), [2, 3])
})

// Guards against callers that are cut off for a request although they read in time, or in vain.
test('for a request only callers that have waited long are cut off, and only if that suffices', (t) => {
  const account = new BufferAccount(1_000)
  account.observe(1, 400, 400, 0)
  account.observe(2, 500, 500, 500)
  t.deepEqual(account.findSlowest(SLOW_AFTER - 1, 300), [])
  t.deepEqual(account.findSlowest(SLOW_AFTER, 300).map(({ id }) => id), [1])
  t.deepEqual(account.findSlowest(SLOW_AFTER, 600), [])
})

// Guards against request bodies that leave no room for answers, and against bytes that stay counted.
test('bodies take half of the limit at most, and all bytes come back', (t) => {
  const account = new BufferAccount(1_000)
  t.true(account.reserveBody(500))
  t.false(account.reserveBody(1))
  t.true(account.reserveAnswer(400))
  t.false(account.reserveAnswer(101))
  account.observe(1, 50, 50, 0)
  account.releaseBody(500)
  account.releaseAnswer(400)
  account.remove(1)
  t.is(account.total, 0)
})
