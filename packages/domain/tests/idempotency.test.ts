import test from 'ava'
import fc from 'fast-check'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import { BURST_WRITES, IdempotencyRegister, KeyState, MAX_BATCH_KEYS, OutcomeKind, Ran } from '../src/index.js'
import type { ClaimResult, ClaimToken, StoredRecord, KeyDigest, KeyWrite, RegisterEffect, RegisterEvent } from '../src/index.js'

const WALL_TIME_OFFSET = 1_800_000_000_000
const OUTCOME = { kind: OutcomeKind.Answered, ran: Ran.Yes, answer: 'ok' }

/** Key-value store whose writes are atomic. */
class FakeStore {
  readonly records = new Map<KeyDigest, StoredRecord>()
  revision = 0
  writes = 0

  write (writes: readonly KeyWrite[]): { written: boolean, held: Array<StoredRecord | null> } {
    this.writes += 1
    const held = writes.map(({ key }) => this.records.get(key) ?? null)
    const written = writes.every(({ modRevision }, index) => (held[index]?.modRevision ?? 0) === modRevision)
    if (!written) return { written, held }
    this.revision += 1
    for (const { key, record } of writes) {
      if (record === null) this.records.delete(key)
      else this.records.set(key, { modRevision: this.revision, record })
    }
    return { written, held }
  }
}

type Fault = 'none' | 'lost' | 'late' | 'not_written' | 'overloaded'

interface PendingWrite { readonly write: Extract<RegisterEffect, { type: 'write' }>, answer: RegisterEvent | null }

class FakeNode {
  readonly #register: IdempotencyRegister
  readonly pendingWrites: PendingWrite[] = []
  readonly running: Array<{ key: KeyDigest, token: ClaimToken }> = []
  readonly results = new Map<ClaimToken, ClaimResult>()
  readonly claims: Array<{ key: KeyDigest, token: ClaimToken, body: string }> = []

  constructor (name: string, seed: number) {
    this.#register = new IdempotencyRegister(name, xoroshiro128plus(seed))
  }

  handle (event: RegisterEvent, now: number): void {
    for (const effect of this.#register.handle(event, now, WALL_TIME_OFFSET + now)) {
      if (effect.type === 'write') this.pendingWrites.push({ write: effect, answer: null })
      if (effect.type !== 'answer') continue
      if (this.results.has(effect.token)) throw new Error('answered twice')
      this.results.set(effect.token, effect.result)
      const claim = this.claims.find(({ token }) => token === effect.token)!
      if (effect.result.type === 'claimed') this.running.push({ key: claim.key, token: effect.result.claim })
    }
  }
}

const step = fc.record({
  kind: fc.constantFrom('claim', 'claim', 'send', 'send', 'deliver', 'deliver', 'run', 'run', 'late', 'kill', 'tick'),
  node: fc.nat(1),
  key: fc.nat(3),
  pick: fc.nat(30),
  fault: fc.constantFrom<Fault>('none', 'none', 'none', 'lost', 'late', 'not_written', 'overloaded'),
  elapsed: fc.oneof({ weight: 60, arbitrary: fc.constantFrom(1, 5, 20, 40) }, { weight: 1, arbitrary: fc.constantFrom(700, 3_000, 20_000) })
})
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

interface World {
  now: number
  readonly store: FakeStore
  readonly nodes: FakeNode[]
  readonly late: Array<readonly KeyWrite[]>
  readonly executions: Map<KeyDigest, number>
  claims: number
}

const send = (world: World, pending: PendingWrite, fault: Fault): void => {
  const { batch, writes } = pending.write
  if (fault === 'late') world.late.push(writes)
  if (fault === 'late') pending.answer = { type: 'answer_lost', batch }
  else if (fault === 'not_written' || fault === 'overloaded') pending.answer = { type: 'not_written', batch, overloaded: fault === 'overloaded', retryAfter: null }
  else {
    const { written, held } = world.store.write(writes)
    const { revision } = world.store
    pending.answer = fault === 'lost' ? { type: 'answer_lost', batch } : written ? { type: 'written', batch, revision } : { type: 'refused', batch, revision, stored: held }
  }
}

const run = (world: World, node: FakeNode, pick: number): void => {
  const job = node.running.splice(pick % Math.max(1, node.running.length), 1)[0]
  if (job === undefined) return
  const end = pick % 4
  if (end !== 3) world.executions.set(job.key, (world.executions.get(job.key) ?? 0) + 1)
  const conclusion = end === 3 ? { type: 'not_run' as const } : end === 2 ? { type: 'unknown' as const } : { type: 'done' as const, outcome: OUTCOME }
  node.handle({ type: 'conclude', ...job, conclusion }, world.now)
}

const claim = (world: World, node: FakeNode, keyIndex: number, pick: number): void => {
  const key = `key-${keyIndex}` as KeyDigest
  world.claims += 1
  const token = `token-${world.claims}` as ClaimToken
  const body = pick % 10 === 0 ? 'other' : 'body'
  node.claims.push({ key, token, body })
  node.handle({ type: 'claim', request: { key, token, body, timeLimit: 30_000 } }, world.now)
}

const playStep = (world: World, { kind, node: index, key, pick, fault, elapsed }: Step): void => {
  world.now += elapsed
  const node = world.nodes[index]!
  const unsent = node.pendingWrites.filter(({ answer }) => answer === null)
  const sent = node.pendingWrites.filter(({ answer }) => answer !== null)
  if (kind === 'claim') claim(world, node, key, pick)
  else if (kind === 'send' && unsent.length > 0) send(world, unsent[pick % unsent.length]!, fault)
  else if (kind === 'deliver' && sent.length > 0) {
    const pending = sent[pick % sent.length]!
    node.pendingWrites.splice(node.pendingWrites.indexOf(pending), 1)
    node.handle(pending.answer!, world.now)
  } else if (kind === 'run') run(world, node, pick)
  else if (kind === 'late') world.late.splice(pick % (world.late.length + 1), 1).forEach((writes) => world.store.write(writes))
  else if (kind === 'kill' && pick % 5 === 0) world.nodes[index] = new FakeNode(`node-${world.now}`, world.now)
  else node.handle({ type: 'ticked' }, world.now)
}

const newWorld = (): World => ({
  now: 0,
  store: new FakeStore(),
  nodes: [new FakeNode('a', 1), new FakeNode('b', 2)],
  late: [],
  executions: new Map(),
  claims: 0
})

test('no key runs twice when responses are lost, writes are late, nodes restart or processes pause', (t) => {
  let executions = 0
  let replays = 0
  fc.assert(fc.property(fc.array(step, { minLength: 100, maxLength: 250, size: 'max' }), (steps) => {
    const world = newWorld()
    for (const each of steps) playStep(world, each)
    for (const count of world.executions.values()) executions += count
    for (const node of world.nodes) replays += [...node.results.values()].filter(({ type }) => type === 'replay').length
    const replayed = world.nodes.every((node) => node.claims.every(({ key, token }) =>
      node.results.get(token)?.type !== 'replay' || world.executions.has(key)))
    return replayed && [...world.executions.values()].every((count) => count <= 1)
  }), { seed: 43, numRuns: 2_000 })
  t.log(`executions=${executions} replays=${replays}`)
  t.true(executions > 2_000 && replays > 100)
})

test('every claim is answered once the store is available again', (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 120 }), (steps) => {
    const world = newWorld()
    for (const each of steps) playStep(world, each)
    for (let round = 0; round < 400; round += 1) {
      world.now += 40
      for (const node of world.nodes) {
        node.handle({ type: 'ticked' }, world.now)
        for (const pending of node.pendingWrites.splice(0)) {
          if (pending.answer === null) send(world, pending, 'none')
          node.handle(pending.answer!, world.now)
        }
        while (node.running.length > 0) run(world, node, 0)
      }
    }
    return world.nodes.every((node) => node.claims.every(({ token }) => node.results.has(token)))
  }), { seed: 44, numRuns: 500 })
  t.pass()
})

class SingleNode extends FakeNode {
  readonly store = new FakeStore()
  now = 0

  submitClaim (key: string, token: string, body = 'body', timeLimit = 30_000): void {
    const claim = { key: key as KeyDigest, token: token as ClaimToken, body, timeLimit }
    this.claims.push(claim)
    this.handle({ type: 'claim', request: claim }, this.now)
  }

  /** Answers all writes, including those that follow from earlier answers. */
  settle (): void {
    for (let round = 0; round < 20; round += 1) this.answerWrites()
  }

  /** Advances the clock by 40 ms and answers all writes that are pending then. */
  answerWrites (): void {
    this.now += 40
    this.handle({ type: 'ticked' }, this.now)
    for (const { write: { batch, writes } } of this.pendingWrites.splice(0)) {
      const { written, held } = this.store.write(writes)
      this.handle(written ? { type: 'written', batch, revision: this.store.revision } : { type: 'refused', batch, revision: this.store.revision, stored: held }, this.now)
    }
  }

  failWrites (): void {
    for (const { write: { batch } } of this.pendingWrites.splice(0)) this.handle({ type: 'not_written', batch, overloaded: false, retryAfter: null }, this.now)
  }

  conclude (index: number): void {
    this.handle({ type: 'conclude', ...this.running[index]!, conclusion: { type: 'done', outcome: OUTCOME } }, this.now)
  }

  typeOf (token: string): string | undefined {
    return this.results.get(token as ClaimToken)?.type
  }
}

test('many claims are batched into few writes', (t) => {
  const node = new SingleNode('a', 1)
  node.now = 10_000
  for (let index = 0; index < 1_000; index += 1) node.submitClaim(`key-${index}`, `token-${index}`)
  node.settle()
  t.is(node.running.length, 1_000)
  t.true(node.store.writes <= 1 + BURST_WRITES + Math.ceil(1_000 / MAX_BATCH_KEYS))
})

test('a node uses its share of the writes and no more', (t) => {
  const node = new SingleNode('a', 1)
  node.handle({ type: 'share_changed', writesPerSecond: 2 }, 0)
  node.now = 10_000
  const end = node.now + 20_000
  for (let index = 0; node.now < end; index += 1) {
    node.submitClaim(`key-${index}`, `token-${index}`)
    node.answerWrites()
  }
  t.true(node.store.writes <= 2 * 20 + 1 + BURST_WRITES)
  t.true(node.store.writes >= 2 * 20 - 2)
})

test('keys claimed by other nodes do not delay new keys', (t) => {
  const node = new SingleNode('a', 1)
  const other = new SingleNode('b', 2)
  Object.assign(other, { store: node.store })
  for (let index = 0; index < 50; index += 1) other.submitClaim(`old-${index}`, `other-${index}`)
  other.settle()
  for (let index = 0; index < 100; index += 1) node.submitClaim(index % 2 === 0 ? `old-${index / 2}` : `new-${index}`, `token-${index}`)
  node.settle()
  t.is(node.running.length, 50)
  t.is(node.typeOf('token-0'), 'in_progress')
})

test('a second caller at the same node receives the outcome', (t) => {
  const node = new SingleNode('a', 1)
  node.submitClaim('k', 't1')
  node.settle()
  node.submitClaim('k', 't2')
  node.submitClaim('k', 't3', 'other body')
  node.conclude(0)
  t.is(node.typeOf('t2'), 'replay')
  t.is(node.typeOf('t3'), 'conflict')
})

test('the outcome of a claim whose owner stopped is unknown after its time limit', (t) => {
  const node = new SingleNode('a', 1)
  const other = new SingleNode('b', 2)
  Object.assign(other, { store: node.store })
  node.submitClaim('k', 't1')
  node.settle()
  other.submitClaim('k', 't2')
  other.settle()
  other.now += 60_000
  other.submitClaim('k', 't3')
  other.settle()
  t.deepEqual([other.typeOf('t2'), other.typeOf('t3')], ['in_progress', 'unknown'])
})

test('a claim that its own node never concludes becomes unknown', (t) => {
  const node = new SingleNode('a', 1)
  node.submitClaim('k', 't1')
  node.settle()
  node.now += 60_000
  node.settle()
  node.submitClaim('k', 't2')
  t.is(node.typeOf('t2'), 'unknown')
  t.is(node.store.records.get('k' as KeyDigest)?.record.state, KeyState.Unknown)
})

test('claims are refused immediately while the store is unavailable', (t) => {
  const node = new SingleNode('a', 1)
  node.submitClaim('k1', 't1')
  node.failWrites()
  node.submitClaim('k2', 't2')
  t.deepEqual([node.typeOf('t1'), node.typeOf('t2')], ['unavailable', 'unavailable'])
  node.now += 10_000
  node.submitClaim('k3', 't3')
  node.settle()
  t.is(node.typeOf('t3'), 'claimed')
})

test('a claim whose caller timed out after a lost response is deleted', (t) => {
  const node = new SingleNode('a', 1)
  node.submitClaim('k', 't1')
  const [{ write: { batch, writes } }] = node.pendingWrites.splice(0) as [PendingWrite]
  node.store.write(writes)
  node.handle({ type: 'answer_lost', batch }, node.now)
  node.now += 3_000
  node.handle({ type: 'ticked' }, node.now)
  t.is(node.typeOf('t1'), 'unavailable')
  node.settle()
  t.is(node.store.records.size, 0)
  node.submitClaim('k', 't2')
  node.settle()
  t.is(node.typeOf('t2'), 'claimed')
})

test('the outcome of a claim that a restored store lost is written again', (t) => {
  const node = new SingleNode('a', 1)
  node.submitClaim('k', 't1')
  node.settle()
  node.store.records.clear()
  node.conclude(0)
  node.settle()
  t.is(node.store.records.get('k' as KeyDigest)?.record.state, KeyState.Done)
})
