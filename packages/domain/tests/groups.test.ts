import test from 'ava'
import fc from 'fast-check'

import { Dispatcher } from '../src/index.js'
import type { AttemptId, DispatchEffect, DispatchEvent, GroupEffect, GroupEvent, Grant, NodeId, RunnerId } from '../src/index.js'
import { Agenda } from './agenda.js'
import { DOMAIN, node, order, report, runner } from './fixtures.js'
import { seeded } from './random.js'

const SEED = 20_261_203
const MEMORY = 400_000
const OWNED: Readonly<Record<string, readonly string[]>> = { d0: ['a', 'b', 'c'], d1: ['d', 'e', 'f'], d2: ['g', 'h'] }
const RUNNERS = Object.values(OWNED).flat()
const NODES = Object.keys(OWNED)

interface Use { readonly grant: Grant, readonly tokens: number, readonly since: number }

/** Dispatchers that pass group messages to each other, some of them too late, and with losses. */
class GroupHistory {
  readonly agenda = new Agenda()
  readonly granted = new Map<AttemptId, number>()
  readonly refused = new Map<AttemptId, number>()
  readonly cancelled: string[] = []
  readonly faults: string[] = []
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
    for (const owned of OWNED[name]!) {
      this.give(node(name), { type: 'runner_assigned', runner: runner(owned), failureDomain: DOMAIN })
      this.give(node(name), { type: 'runner_reported', runner: runner(owned), report: report({ totalTokens: MEMORY }) })
    }
  }

  crash (name: string): void {
    this.#dispatchers.delete(node(name))
  }

  want (name: string, at: NodeId, tokens: number, duration: number, remaining = 300_000): void {
    const asked = order(name, { promptTokens: tokens, maxTokens: 0, remaining })
    this.#durations.set(asked.attempt, { tokens, duration })
    this.give(at, { type: 'ordered', order: asked })
  }

  withdraw (name: string, at: NodeId): void {
    this.give(at, { type: 'withdrawn', attempt: name as AttemptId })
  }

  free (): number {
    return [...this.#dispatchers.values()].flatMap((dispatcher) => dispatcher.summaries(this.agenda.now)).reduce((sum, summary) => sum + summary.freeTokens, 0)
  }

  give (to: NodeId, event: DispatchEvent | GroupEvent): void {
    const dispatcher = this.#dispatchers.get(to)
    if (dispatcher === undefined) return
    for (const effect of dispatcher.handle(event, this.agenda.now)) this.#carryOut(effect)
    for (const effect of dispatcher.drainGroupEffects()) this.#send(to, effect)
    const timer = dispatcher.nextTimer()
    if (timer === null) return
    this.agenda.at(Math.max(timer, this.agenda.now + 1), () => {
      const due = dispatcher.nextTimer()
      if (this.#dispatchers.get(to) === dispatcher && due !== null && due <= this.agenda.now) this.give(to, { type: 'ticked' })
    })
  }

  #send (from: NodeId, effect: GroupEffect): void {
    if (this.#random() < this.#loss) return
    const delay = this.#random() < 0.2 ? 400 + 500 * this.#random() : 20 * this.#random()
    this.agenda.at(this.agenda.now + 1 + delay, () => this.give(effect.to, eventOf(from, effect)))
  }

  #carryOut (effect: DispatchEffect): void {
    if (effect.type === 'refuse') this.refused.set(effect.attempt, this.agenda.now)
    if (effect.type === 'cancel_on_runner') this.cancelled.push(effect.attempt)
    if (effect.type === 'grant') this.#use(effect.grant)
  }

  #use (grant: Grant): void {
    const { tokens, duration } = this.#durations.get(grant.attempt)!
    this.granted.set(grant.attempt, this.agenda.now)
    this.#active.set(grant.attempt, { grant, tokens, since: this.agenda.now })
    const inUse = [...this.#active.values()].reduce((sum, use) => sum + use.tokens, 0)
    if (inUse > RUNNERS.length * MEMORY) this.faults.push(`${inUse} tokens are granted`)
    if (grant.group.some((member) => !this.#reserves(member, grant.attempt))) this.faults.push(`${grant.attempt} was granted what is not reserved`)
    if (new Set(grant.group).size * MEMORY < tokens) this.faults.push(`${grant.group.join()} cannot hold ${tokens}`)
    this.#report(grant, this.agenda.now + duration)
  }

  /** Whether the member keeps memory for the attempt. */
  #reserves (member: RunnerId, attempt: AttemptId): boolean {
    const owner = this.#dispatchers.get(node(NODES.find((name) => OWNED[name]!.includes(member))!))
    return owner === undefined || owner.reserved(attempt).includes(member)
  }

  /** The entry node reports to the dispatcher of each member. */
  #report (grant: Grant, until: number): void {
    const ended = this.agenda.now >= until
    if (ended) this.#active.delete(grant.attempt)
    for (const member of grant.group) {
      const owner = NODES.find((name) => OWNED[name]!.includes(member))!
      this.agenda.at(this.agenda.now + 1 + this.#random() * 10, () => this.give(node(owner), { type: 'progressed', attempt: grant.attempt, runner: member as RunnerId, kind: ended ? 'ended' : 'streaming', generated: 0, order: null }))
    }
    if (!ended) this.agenda.at(Math.min(until, this.agenda.now + 1_000), () => this.#report(grant, until))
  }

  #gossip (): void {
    for (const to of this.#dispatchers.keys()) {
      const summaries = [...this.#dispatchers].filter(([from]) => from !== to).flatMap(([, dispatcher]) => dispatcher.summaries(this.agenda.now))
      this.give(to, { type: 'peers_summarised', summaries })
    }
    this.agenda.at(this.agenda.now + 500, () => this.#gossip())
  }
}

const eventOf = (from: NodeId, effect: GroupEffect): GroupEvent => {
  switch (effect.type) {
    case 'request_reservation': return { type: 'reservation_requested', from, request: effect.request }
    case 'answer_reservation': return { type: 'reservation_answered', from, attempt: effect.attempt, round: effect.round, members: effect.members }
    case 'release_reservation': return { type: 'reservation_released', attempt: effect.attempt, round: effect.round }
  }
}

const wanted = fc.array(fc.record({ at: fc.integer({ min: 10, max: 3_000 }), by: fc.nat(2), tokens: fc.integer({ min: 410_000, max: 2_800_000 }), duration: fc.integer({ min: 100, max: 3_000 }) }), { minLength: 2, maxLength: 20, size: 'max' })

test('many groups wanted at once: each is had in the end, and never more memory than there is', (t) => {
  fc.assert(fc.property(fc.integer(), wanted, (seed, groups) => {
    const history = new GroupHistory(seeded(seed))
    groups.forEach(({ at, by, tokens, duration }, index) => history.agenda.at(at, () => history.want(`g${index}.1`, node(NODES[by]!), tokens, duration)))
    history.agenda.run(100_000)
    if (history.faults.length > 0) throw new Error(history.faults[0])
    if (history.granted.size < groups.length) throw new Error(`${history.granted.size} of ${groups.length} were granted`)
    return history.free() === RUNNERS.length * MEMORY
  }), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.pass()
})

test('a group that needs nearly all memory is not passed over for ever by smaller ones', (t) => {
  const history = new GroupHistory(seeded(SEED))
  for (let index = 0; index < 400; index++) {
    history.agenda.at(10 + index * 250, () => history.want(`s${index}.1`, node(NODES[index % 3]!), 500_000, 2_000))
  }
  history.agenda.at(3_000, () => history.want('big.1', node('d1'), 2_900_000, 1_000))
  history.agenda.run(60_000)
  t.true(history.granted.has('big.1' as AttemptId))
})

test('lost messages and a coordinator that dies leave no memory reserved', (t) => {
  fc.assert(fc.property(fc.integer(), wanted, fc.integer({ min: 100, max: 4_000 }), (seed, groups, crashAt) => {
    const history = new GroupHistory(seeded(seed), 0.1)
    groups.forEach(({ at, by, tokens, duration }, index) => history.agenda.at(at, () => history.want(`g${index}.1`, node(NODES[by]!), tokens, duration, 20_000)))
    history.agenda.at(crashAt, () => history.crash('d0'))
    history.agenda.at(crashAt + 3_000, () => history.start('d0'))
    history.agenda.run(45_000)
    return history.free() === RUNNERS.length * MEMORY
  }), { seed: SEED, numRuns: 60, endOnFailure: true })
  t.pass()
})

test('where no group can be had in time the refusal comes before the deadline, with a retry time', (t) => {
  const history = new GroupHistory(seeded(SEED))
  history.agenda.at(10, () => history.want('first.1', node('d0'), 3_000_000, 100_000))
  history.agenda.at(1_000, () => history.want('late.1', node('d1'), 1_000_000, 1_000, 20_000))
  history.agenda.run(30_000)
  t.true(history.refused.get('late.1' as AttemptId)! < 21_000)
})

test('a withdrawn group gives everything back', (t) => {
  const history = new GroupHistory(seeded(SEED))
  history.agenda.at(10, () => history.want('first.1', node('d0'), 2_000_000, 3_000))
  history.agenda.at(20, () => history.want('g.1', node('d1'), 2_900_000, 3_000))
  history.agenda.at(1_500, () => history.withdraw('g.1', node('d1')))
  history.agenda.run(10_000)
  t.false(history.granted.has('g.1' as AttemptId))
  t.is(history.free(), RUNNERS.length * MEMORY)
})

test('a prompt above the memory of the whole failure domain is refused at once', (t) => {
  const history = new GroupHistory(seeded(SEED))
  history.agenda.at(600, () => history.want('g.1', node('d1'), 3_300_000, 1_000))
  history.agenda.run(601)
  t.is(history.refused.get('g.1' as AttemptId), 600)
})
