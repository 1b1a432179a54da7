/** Nodes that follow the evacuations of a store which is restored from copies, by listings, watches and reports of each other. */
import test from 'ava'
import * as fc from 'fast-check'

import { EXPIRED_ENTRY_GRACE, Evacuations, EvacuationNews, eraOf, storeRevision } from '../src/index.js'
import type { EvacuationWrite, FailureDomain, StoreRevision } from '../src/index.js'

const DOMAINS = ['a', 'b', 'c'] as FailureDomain[]
const [A, B] = DOMAINS as [FailureDomain, FailureDomain]
const NODE_COUNT = 3

/** Rounds of reports in which a node learns of the end of an evacuation that nobody watched: it tells its state, and is told. */
const ROUNDS = 3

type Step =
  | { readonly type: 'write' | 'delete', readonly domain: FailureDomain }
  | { readonly type: 'list' | 'watch' | 'answer', readonly node: number }
  | { readonly type: 'report', readonly node: number, readonly to: number }
  | { readonly type: 'copy' | 'restore' }

/** A store that remembers its set of evacuations at each revision, and nodes of which each may be cut off at any time. */
class World {
  readonly nodes = Array.from({ length: NODE_COUNT }, () => ({ evacuations: new Evacuations(), position: null as StoreRevision | null, answer: null as (() => void) | null }))
  now = 0
  /** Whether each node only went forward, to a set that the store had. */
  isSound = true
  #era = 0
  #revision = 1
  #set: ReadonlySet<FailureDomain> = new Set()
  #writes: EvacuationWrite[] = []
  #copy = { revision: 1, set: this.#set }
  readonly #history: Array<{ readonly revision: StoreRevision, readonly set: ReadonlySet<FailureDomain> }> = [{ revision: this.#at, set: this.#set }]

  apply (step: Step): void {
    this.now += 1
    const before = this.nodes.map(({ evacuations }) => evacuations.state.revision)
    if (step.type === 'write' || step.type === 'delete') this.#write(step.domain, step.type === 'write')
    if (step.type === 'list') this.#list(step.node)
    if (step.type === 'watch') this.#watch(step.node)
    if (step.type === 'answer') this.#answer(step.node)
    if (step.type === 'report') this.#report(step.node, step.to)
    if (step.type === 'copy') this.#copy = { revision: this.#revision, set: this.#set }
    if (step.type === 'restore') this.#restore()
    this.isSound &&= this.nodes.every(({ evacuations: { state } }, node) => state.revision >= before[node]! && state.failureDomains.join() === this.#setAt(state.revision))
  }

  /** Lists the store, after the answer to an earlier call has arrived. */
  listNow (node: number): void {
    this.#answer(node)
    this.#list(node)
    this.#answer(node)
  }

  /** Exchanges what the nodes have to say until nothing new is said. */
  converges (): boolean {
    for (let round = 0; round < ROUNDS; round += 1) for (let node = 0; node < NODE_COUNT; node += 1) for (let to = 0; to < NODE_COUNT; to += 1) this.#report(node, to)
    return this.nodes.every(({ evacuations }) => evacuations.state.failureDomains.join() === [...this.#set].sort().join())
  }

  get #at (): StoreRevision {
    return storeRevision(this.#era, this.#revision)
  }

  #write (failureDomain: FailureDomain, isEvacuated: boolean): void {
    this.#revision += 1
    this.#writes.push({ failureDomain, isEvacuated, revision: this.#at })
    this.#set = new Set([...this.#set].filter((other) => other !== failureDomain).concat(isEvacuated ? [failureDomain] : []))
    this.#history.push({ revision: this.#at, set: this.#set })
  }

  /** The answer arrives at a later step. */
  #list (index: number): void {
    const node = this.nodes[index]!
    const state = { failureDomains: [...this.#set], revision: this.#at }
    node.answer ??= () => {
      node.position = state.revision
      node.evacuations.listed(state, this.now)
    }
  }

  #watch (index: number): void {
    const node = this.nodes[index]!
    const { position } = node
    if (position === null || eraOf(position) !== this.#era) return this.#list(index)
    const at = this.#at
    const writes = this.#writes.filter(({ revision }) => revision > position)
    node.answer ??= () => {
      node.position = at
      node.evacuations.written(writes, at, this.now)
    }
  }

  #answer (index: number): void {
    const node = this.nodes[index]!
    node.answer?.()
    node.answer = null
  }

  #report (node: number, to: number): void {
    const state = this.nodes[node]!.evacuations.shared(this.now)
    if (state !== null) this.nodes[to]!.evacuations.reported(state, this.now)
  }

  #restore (): void {
    this.#era += 1
    this.#revision = this.#copy.revision
    this.#set = this.#copy.set
    this.#writes = []
    this.#history.push({ revision: this.#at, set: this.#set })
  }

  #setAt (revision: StoreRevision): string {
    const known = this.#history.findLast((state) => state.revision <= revision)
    return [...known?.set ?? []].sort().join()
  }
}

const nodeIndex = fc.nat(NODE_COUNT - 1)
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 6, arbitrary: fc.record({ type: fc.constantFrom('write' as const, 'delete' as const), domain: fc.constantFrom(...DOMAINS) }) },
  { weight: 12, arbitrary: fc.record({ type: fc.constantFrom('list' as const, 'watch' as const, 'answer' as const), node: nodeIndex }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('report' as const), node: nodeIndex, to: nodeIndex }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constantFrom('copy' as const, 'restore' as const) }) }
)

// Guards against a node that takes back an evacuation because of an older report, listing or watch, and against nodes that never agree.
test('no node goes back to an older set, and all come to the set of the store once one of them lists it', (t) => {
  fc.assert(fc.property(fc.array(step, { minLength: 20, maxLength: 100 }), (steps) => {
    const world = new World()
    for (const next of steps) world.apply(next)
    world.listNow(0)
    return world.isSound && world.converges()
  }), { seed: 11, numRuns: 3_000 })
  t.pass()
})

// Guards against an evacuation that never ends at a node which learnt of it from others, if the operator ended it while nobody watched.
test('a node that has listed the store without evacuations tells a node that still has one, and is silent if there never was one', (t) => {
  const lister = new Evacuations()
  const behind = new Evacuations()
  lister.listed({ failureDomains: [], revision: 9 }, 0)
  t.is(lister.shared(0), null)
  behind.reported({ failureDomains: [A], revision: 5 }, 0)
  t.is(lister.reported(behind.shared(0)!, 0), EvacuationNews.Outdated)
  t.is(behind.reported(lister.shared(0)!, 0), EvacuationNews.Changed)
  t.deepEqual([behind.inForce(0), lister.shared(60_000), behind.shared(60_000)], [[], null, null])
})

// Guards against a transaction that evacuates one failure domain and takes another back, of which a node would see only the first half.
test('writes of one revision are all applied', (t) => {
  const evacuations = new Evacuations()
  evacuations.listed({ failureDomains: [A], revision: 3 }, 0)
  t.true(evacuations.written([{ failureDomain: A, isEvacuated: false, revision: 4 }, { failureDomain: B, isEvacuated: true, revision: 4 }], 4, 0))
  t.deepEqual(evacuations.inForce(0), [B])
})

// Guards against a store that is restored from a copy made before the evacuation: the operator needs time to write it again.
test('an evacuation that a restored store lacks is kept for the grace period, unless the operator deletes it', (t) => {
  const restored = (): Evacuations => {
    const evacuations = new Evacuations()
    evacuations.listed({ failureDomains: [A], revision: storeRevision(0, 7) }, 0)
    evacuations.listed({ failureDomains: [], revision: storeRevision(1, 2) }, 100)
    return evacuations
  }
  const kept = restored()
  t.deepEqual([100 + EXPIRED_ENTRY_GRACE - 1, 100 + EXPIRED_ENTRY_GRACE].map((now) => kept.isEvacuated(A, now)), [true, false])
  const rewritten = restored()
  rewritten.written([{ failureDomain: A, isEvacuated: true, revision: storeRevision(1, 3) }], storeRevision(1, 3), 200)
  t.true(rewritten.isEvacuated(A, 60_000))
  const ended = restored()
  ended.written([{ failureDomain: A, isEvacuated: false, revision: storeRevision(1, 3) }], storeRevision(1, 3), 200)
  t.false(ended.isEvacuated(A, 200))
})
