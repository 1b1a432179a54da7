import test from 'ava'
import fc from 'fast-check'

import { Dispatcher } from '../src/index.js'
import type { AttemptId, DispatchEffect, DispatchEvent, GroupEffect, GroupEvent, Grant, NodeId, RunnerId } from '../src/index.js'
import { VirtualScheduler } from './virtualScheduler.js'
import { DOMAIN, node, order, report, runner } from './fixtures.js'
import { seededRandom } from './random.js'

const SEED = 20_261_203
const MEMORY = 400_000
const RUNNERS_OF_NODE: Readonly<Record<string, readonly string[]>> = { d0: ['a', 'b', 'c'], d1: ['d', 'e', 'f'], d2: ['g', 'h'] }
const RUNNERS = Object.values(RUNNERS_OF_NODE).flat()
const NODES = Object.keys(RUNNERS_OF_NODE)

interface Use { readonly grant: Grant, readonly tokens: number, readonly since: number }

/** Simulates dispatchers that exchange group messages, of which some arrive late or are lost. */
class GroupHistory {
  readonly scheduler = new VirtualScheduler()
  readonly granted = new Map<AttemptId, number>()
  readonly refused = new Map<AttemptId, number>()
  readonly cancelled: string[] = []
  readonly violations: string[] = []
  readonly #dispatchers = new Map<NodeId, Dispatcher>()
  readonly #active = new Map<AttemptId, Use>()
  readonly #random: () => number
  readonly #loss: number
  readonly #durations = new Map<AttemptId, { readonly tokens: number, readonly duration: number }>()

  constructor (random: () => number, loss = 0) {
    this.#random = random
    this.#loss = loss
    for (const name of NODES) this.start(name)
    this.#gossip()
  }

  start (name: string): void {
    this.#dispatchers.set(node(name), new Dispatcher({ node: node(name) }))
    for (const owned of RUNNERS_OF_NODE[name]!) {
      this.deliver(node(name), { type: 'runner_assigned', runner: runner(owned), failureDomain: DOMAIN })
      this.deliver(node(name), { type: 'runner_reported', runner: runner(owned), report: report({ totalTokens: MEMORY }) })
    }
  }

  crash (name: string): void {
    this.#dispatchers.delete(node(name))
  }

  requestGroup (name: string, at: NodeId, tokens: number, duration: number, remaining = 300_000): void {
    const asked = order(name, { promptTokens: tokens, maxTokens: 0, remaining })
    this.#durations.set(asked.attempt, { tokens, duration })
    this.deliver(at, { type: 'ordered', order: asked })
  }

  withdraw (name: string, at: NodeId): void {
    this.deliver(at, { type: 'withdrawn', attempt: name as AttemptId })
  }

  freeTokens (): number {
    return [...this.#dispatchers.values()].flatMap((dispatcher) => dispatcher.summaries(this.scheduler.now)).reduce((sum, summary) => sum + summary.freeTokens, 0)
  }

  deliver (to: NodeId, event: DispatchEvent | GroupEvent): void {
    const dispatcher = this.#dispatchers.get(to)
    if (dispatcher === undefined) return
    for (const effect of dispatcher.handle(event, this.scheduler.now)) this.#execute(effect)
    for (const effect of dispatcher.drainGroupEffects()) this.#send(to, effect)
    const timer = dispatcher.nextTimer()
    if (timer === null) return
    this.scheduler.schedule(Math.max(timer, this.scheduler.now + 1), () => {
      const due = dispatcher.nextTimer()
      if (this.#dispatchers.get(to) === dispatcher && due !== null && due <= this.scheduler.now) this.deliver(to, { type: 'ticked' })
    })
  }

  #send (from: NodeId, effect: GroupEffect): void {
    if (this.#random() < this.#loss) return
    const delay = this.#random() < 0.2 ? 400 + 500 * this.#random() : 20 * this.#random()
    this.scheduler.schedule(this.scheduler.now + 1 + delay, () => this.deliver(effect.to, eventOf(from, effect)))
  }

  #execute (effect: DispatchEffect): void {
    if (effect.type === 'refuse') this.refused.set(effect.attempt, this.scheduler.now)
    if (effect.type === 'cancel_on_runner') this.cancelled.push(effect.attempt)
    if (effect.type === 'grant') this.#startUse(effect.grant)
  }

  #startUse (grant: Grant): void {
    const { tokens, duration } = this.#durations.get(grant.attempt)!
    this.granted.set(grant.attempt, this.scheduler.now)
    this.#active.set(grant.attempt, { grant, tokens, since: this.scheduler.now })
    const inUse = [...this.#active.values()].reduce((sum, use) => sum + use.tokens, 0)
    if (inUse > RUNNERS.length * MEMORY) this.violations.push(`${inUse} tokens are granted`)
    if (grant.group.some((member) => !this.#reserves(member, grant.attempt))) this.violations.push(`${grant.attempt} was granted members without a reservation`)
    if (new Set(grant.group).size * MEMORY < tokens) this.violations.push(`${grant.group.join()} cannot hold ${tokens}`)
    this.#report(grant, this.scheduler.now + duration)
  }

  /** Whether the member has memory reserved for the attempt. */
  #reserves (member: RunnerId, attempt: AttemptId): boolean {
    const owner = this.#dispatchers.get(node(NODES.find((name) => RUNNERS_OF_NODE[name]!.includes(member))!))
    return owner === undefined || owner.reservingRunners(attempt).includes(member)
  }

  /** Sends the progress reports of the entry node to the dispatcher of each member. */
  #report (grant: Grant, until: number): void {
    const ended = this.scheduler.now >= until
    if (ended) this.#active.delete(grant.attempt)
    for (const member of grant.group) {
      const owner = NODES.find((name) => RUNNERS_OF_NODE[name]!.includes(member))!
      this.scheduler.schedule(this.scheduler.now + 1 + this.#random() * 10, () => this.deliver(node(owner), { type: 'progressed', attempt: grant.attempt, runner: member as RunnerId, kind: ended ? 'ended' : 'streaming', generated: 0, order: null }))
    }
    if (!ended) this.scheduler.schedule(Math.min(until, this.scheduler.now + 1_000), () => this.#report(grant, until))
  }

  #gossip (): void {
    for (const to of this.#dispatchers.keys()) {
      const summaries = [...this.#dispatchers].filter(([from]) => from !== to).flatMap(([, dispatcher]) => dispatcher.summaries(this.scheduler.now))
      this.deliver(to, { type: 'peers_summarised', summaries })
    }
    this.scheduler.schedule(this.scheduler.now + 500, () => this.#gossip())
  }
}

const eventOf = (from: NodeId, effect: GroupEffect): GroupEvent => {
  switch (effect.type) {
    case 'request_reservation': return { type: 'reservation_requested', from, request: effect.request }
    case 'answer_reservation': return { type: 'reservation_answered', from, attempt: effect.attempt, round: effect.round, members: effect.members }
    case 'release_reservation': return { type: 'reservation_released', attempt: effect.attempt, round: effect.round }
  }
}

const groupRequests = fc.array(fc.record({ at: fc.integer({ min: 10, max: 3_000 }), by: fc.nat(2), tokens: fc.integer({ min: 410_000, max: 2_800_000 }), duration: fc.integer({ min: 100, max: 3_000 }) }), { minLength: 2, maxLength: 20, size: 'max' })

test('many concurrent groups are all granted in the end, and never use more memory than the runners have', (t) => {
  fc.assert(fc.property(fc.integer(), groupRequests, (seed, groups) => {
    const history = new GroupHistory(seededRandom(seed))
    groups.forEach(({ at, by, tokens, duration }, index) => history.scheduler.schedule(at, () => history.requestGroup(`g${index}.1`, node(NODES[by]!), tokens, duration)))
    history.scheduler.run(100_000)
    if (history.violations.length > 0) throw new Error(history.violations[0])
    if (history.granted.size < groups.length) throw new Error(`${history.granted.size} of ${groups.length} were granted`)
    return history.freeTokens() === RUNNERS.length * MEMORY
  }), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.pass()
})

test('a group that needs nearly all memory is not starved by smaller ones', (t) => {
  const history = new GroupHistory(seededRandom(SEED))
  for (let index = 0; index < 400; index++) {
    history.scheduler.schedule(10 + index * 250, () => history.requestGroup(`s${index}.1`, node(NODES[index % 3]!), 500_000, 2_000))
  }
  history.scheduler.schedule(3_000, () => history.requestGroup('big.1', node('d1'), 2_900_000, 1_000))
  history.scheduler.run(60_000)
  t.true(history.granted.has('big.1' as AttemptId))
})

test('lost messages and a crashed coordinator leave no memory reserved', (t) => {
  fc.assert(fc.property(fc.integer(), groupRequests, fc.integer({ min: 100, max: 4_000 }), (seed, groups, crashAt) => {
    const history = new GroupHistory(seededRandom(seed), 0.1)
    groups.forEach(({ at, by, tokens, duration }, index) => history.scheduler.schedule(at, () => history.requestGroup(`g${index}.1`, node(NODES[by]!), tokens, duration, 20_000)))
    history.scheduler.schedule(crashAt, () => history.crash('d0'))
    history.scheduler.schedule(crashAt + 3_000, () => history.start('d0'))
    history.scheduler.run(45_000)
    return history.freeTokens() === RUNNERS.length * MEMORY
  }), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.pass()
})

test('an order whose group cannot be reserved in time is refused before its deadline', (t) => {
  const history = new GroupHistory(seededRandom(SEED))
  history.scheduler.schedule(10, () => history.requestGroup('first.1', node('d0'), 3_000_000, 100_000))
  history.scheduler.schedule(1_000, () => history.requestGroup('late.1', node('d1'), 1_000_000, 1_000, 20_000))
  history.scheduler.run(30_000)
  t.true(history.refused.get('late.1' as AttemptId)! < 21_000)
})

test('a withdrawn group releases all its reservations', (t) => {
  const history = new GroupHistory(seededRandom(SEED))
  history.scheduler.schedule(10, () => history.requestGroup('first.1', node('d0'), 2_000_000, 3_000))
  history.scheduler.schedule(20, () => history.requestGroup('g.1', node('d1'), 2_900_000, 3_000))
  history.scheduler.schedule(1_500, () => history.withdraw('g.1', node('d1')))
  history.scheduler.run(10_000)
  t.false(history.granted.has('g.1' as AttemptId))
  t.is(history.freeTokens(), RUNNERS.length * MEMORY)
})

test('a prompt above the memory of the whole failure domain is refused at once', (t) => {
  const history = new GroupHistory(seededRandom(SEED))
  history.scheduler.schedule(600, () => history.requestGroup('g.1', node('d1'), 3_300_000, 1_000))
  history.scheduler.run(601)
  t.is(history.refused.get('g.1' as AttemptId), 600)
})
