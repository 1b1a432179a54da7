import test from 'ava'
import fc from 'fast-check'

import { Dispatcher, LengthAware, RetryBudget } from '../src/index.js'
import type { DispatchEffect, DispatchOrder, OrganisationId } from '../src/index.js'
import { DispatchSimulation, ENGINE } from './dispatchSimulation.js'
import type { Trace } from './dispatchSimulation.js'
import { DOMAIN, node, order, report, runner } from './fixtures.js'
import { exponentialGap, seededRandom } from './random.js'

const SEED = 20_261_203

/** Dispatcher with one runner and one slot, so that orders are served one after another. */
class SingleSlotDispatcher {
  readonly dispatcher = new Dispatcher({ node: node('d') })
  readonly served: DispatchOrder[] = []
  readonly #orders = new Map<string, DispatchOrder>()
  now = 0
  #running: DispatchOrder | null = null

  constructor () {
    this.dispatcher.handle({ type: 'runner_assigned', runner: runner('a'), failureDomain: DOMAIN }, 0)
    this.dispatcher.handle({ type: 'runner_reported', runner: runner('a'), report: report({ slots: 1, prefillRate: 0, decodeRate: 0 }) }, 0)
  }

  submit (asked: DispatchOrder): void {
    this.#orders.set(asked.attempt, asked)
    this.#recordGrants(this.dispatcher.handle({ type: 'ordered', order: asked }, this.now))
  }

  /** Advances the time and ends the running attempt. */
  finishCurrent (after: number): void {
    this.now += after
    const running = this.#running
    if (running === null) return
    this.#running = null
    this.#recordGrants(this.dispatcher.handle({ type: 'progressed', attempt: running.attempt, runner: runner('a'), kind: 'ended', generated: running.maxTokens, order: null }, this.now))
  }

  #recordGrants (effects: readonly DispatchEffect[]): void {
    for (const effect of effects) {
      if (effect.type !== 'grant') continue
      this.#running = this.#orders.get(effect.grant.attempt)!
      this.served.push(this.#running)
    }
  }
}

const org = (name: string): OrganisationId => name as OrganisationId

test('organisations with waiting orders are served the same number of tokens, however many one of them asks for', (t) => {
  fc.assert(fc.property(fc.array(fc.record({ big: fc.boolean(), tokens: fc.integer({ min: 100, max: 20_000 }) }), { minLength: 60, maxLength: 120 }), (asked) => {
    const dispatcher = new SingleSlotDispatcher()
    asked.forEach(({ tokens }, index) => dispatcher.submit(order(`b${index}.1`, { organisation: org('big'), promptTokens: tokens, remaining: 600_000 })))
    asked.slice(0, 30).forEach(({ tokens }, index) => dispatcher.submit(order(`s${index}.1`, { organisation: org('small'), promptTokens: tokens, remaining: 600_000 })))
    const served = { big: 0, small: 0 }
    for (let remainingSmall = 30; remainingSmall > 0; dispatcher.finishCurrent(10)) {
      const last = dispatcher.served.at(-1)!
      served[last.organisation as unknown as 'big' | 'small'] += last.promptTokens + 2 * last.maxTokens
      if (last.organisation === org('small')) remainingSmall -= 1
      if (remainingSmall > 0 && remainingSmall < 30 && Math.abs(served.big - served.small) > 60_000) return false
    }
    return true
  }), { seed: SEED, numRuns: 100 })
  t.pass()
})

test('an organisation gains no credit while it is idle', (t) => {
  const dispatcher = new SingleSlotDispatcher()
  for (let index = 0; index < 40; index++) dispatcher.submit(order(`b${index}.1`, { organisation: org('big'), remaining: 600_000 }))
  for (let index = 0; index < 20; index++) dispatcher.finishCurrent(10)
  for (let index = 0; index < 20; index++) dispatcher.submit(order(`s${index}.1`, { organisation: org('small'), remaining: 600_000 }))
  const from = dispatcher.served.length
  for (let index = 0; index < 20; index++) dispatcher.finishCurrent(10)
  const small = dispatcher.served.slice(from).filter((each) => each.organisation === org('small')).length
  t.true(small >= 8 && small <= 12, `${small} of 20`)
})

test('urgent orders go first, and a less urgent one is still served before its deadline', (t) => {
  const dispatcher = new SingleSlotDispatcher()
  dispatcher.submit(order('first.1'))
  dispatcher.submit(order('calm.1', { urgency: 3, remaining: 20_000 }))
  for (let index = 0; index < 400; index++) {
    dispatcher.submit(order(`u${index}.1`, { urgency: 0, remaining: 20_000 }))
    dispatcher.finishCurrent(100)
  }
  const place = dispatcher.served.findIndex((each) => each.attempt.startsWith('calm'))
  t.true(place > 3, 'urgent orders went first')
  t.true(place > 0 && place * 100 < 20_000, `the less urgent order was granted at position ${place}`)
})

/** Submits short prompts with a deadline of two seconds, at a multiple of the capacity of two engines. */
const tracesAtLoad = (load: number): readonly Trace[] => {
  const random = seededRandom(SEED)
  const drive = new DispatchSimulation()
  drive.addDispatcher(new Dispatcher({ node: node('d'), policy: new LengthAware() }), ['a', 'b'], { ...ENGINE, slots: 16 })
  for (let at = 0, index = 0; at < 15_000; at += exponentialGap(random, 6_000 / (2 * 80.4 * load)), index++) {
    drive.submit(order(`q${index}`, { promptTokens: 2_000 + Math.floor(random() * 8_000), remaining: 2_000 }), at)
  }
  return [...drive.run().traces.values()]
}

const isInTime = (trace: Trace): boolean => trace.endedAt !== undefined && trace.endedAt <= trace.submittedAt + trace.order.remaining

const goodput = (traces: readonly Trace[]): number =>
  traces.filter(isInTime).reduce((sum, trace) => sum + trace.order.promptTokens, 0)

test('at twice the capacity the goodput stays above 90 % of its peak', (t) => {
  const peak = Math.max(...[0.7, 0.85, 1, 1.2].map((load) => goodput(tracesAtLoad(load))))
  const overloaded = goodput(tracesAtLoad(2))
  t.true(overloaded >= 0.9 * peak, `${overloaded} of ${peak}`)
})

test('at twice the capacity few granted orders miss their deadline, and refusals are immediate', (t) => {
  const traces = tracesAtLoad(2)
  const granted = traces.filter((trace) => trace.grantedAt !== undefined)
  const late = granted.filter((trace) => !isInTime(trace))
  const refused = traces.filter((trace) => trace.refusedAt !== undefined && trace.grantedAt === undefined)
  const atOnce = refused.filter((trace) => trace.refusedAt! - trace.submittedAt < 50)
  t.true(late.length <= granted.length * 0.05, `${late.length} of ${granted.length} were late`)
  t.true(atOnce.length >= refused.length * 0.9, `${atOnce.length} of ${refused.length} refusals at once`)
  t.true(refused.every((trace) => trace.retryAfter! >= 250 && trace.retryAfter! <= 60_000))
})

test('retries stay within the retry budget', (t) => {
  fc.assert(fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (steps) => {
    const budget = new RetryBudget({ ratio: 0.1, capacity: 5, perSecond: 0 })
    let [admitted, retries] = [0, 0]
    for (const admits of steps) {
      if (admits) {
        budget.deposit(0)
        admitted += 1
      } else if (budget.withdraw(0)) retries += 1
    }
    return retries <= 5 + admitted * 0.1 + 1e-9
  }), { seed: SEED, numRuns: 300 })
  t.pass()
})
