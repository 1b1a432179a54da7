/** A node that follows a store which is restored from copies again and again, while servers start, drain and end. */
import test from 'ava'
import * as fc from 'fast-check'

import { BackendServerTable, EXPIRED_ENTRY_GRACE, eraOf, Readiness, revisionInEra, storeRevision } from '../src/index.js'
import type { BackendServer, FailureDomain, RunnerId, ServerEntry } from '../src/index.js'

const SERVICE = 'app'
const IDS = ['a', 'b', 'c', 'd'] as RunnerId[]

type Step =
  | { readonly type: 'start' | 'drain' | 'end', readonly id: RunnerId }
  | { readonly type: 'copy' | 'return' | 'lose' }
  | { readonly type: 'wait', readonly duration: number }

interface StoreState {
  readonly items: Map<RunnerId, { readonly server: BackendServer, readonly revision: number }>
  readonly revision: number
}

/** Store, servers and one node that sees every change at once. */
class World {
  readonly table = new BackendServerTable()
  /** Servers that run, with what they say of themselves. */
  readonly #running = new Map<RunnerId, BackendServer>()
  #items: StoreState['items'] = new Map()
  #revision = 1
  #era = 0
  #copy: StoreState = { items: new Map(), revision: 1 }
  #now = 0
  #starts = 0

  constructor () {
    this.#list()
  }

  apply (step: Step): void {
    this.#now += 1
    this.#perform(step)
    this.table.expire(this.#now)
  }

  #perform (step: Step): void {
    switch (step.type) {
      case 'start': return this.#write({ id: step.id, service: SERVICE, address: '10.0.0.1:80', failureDomain: 'd0' as FailureDomain, slots: 1, readiness: Readiness.Ready, startedAt: ++this.#starts })
      case 'drain': return this.#drain(step.id)
      case 'end': return this.#end(step.id)
      case 'copy':
        this.#copy = { items: new Map(this.#items), revision: this.#revision }
        return
      case 'lose': return this.#restore()
      case 'return':
        this.#restore()
        return this.#writeAgain()
      case 'wait':
        this.#writeAgain()
        this.#now += step.duration
    }
  }

  /** Servers that accept requests, and those that the node uses. */
  get compared (): readonly [string[], string[]] {
    const accepting = [...this.#running.values()].filter(({ readiness }) => readiness === Readiness.Ready)
    return [accepting.map(describe).sort(), this.table.ready(SERVICE).map(describe).sort()]
  }

  #write (server: BackendServer): void {
    this.#running.set(server.id, server)
    this.#revision += 1
    this.#items.set(server.id, { server, revision: this.#revision })
    this.table.put({ server, revision: this.#comparable(this.#revision) })
  }

  #drain (id: RunnerId): void {
    const server = this.#running.get(id)
    if (server !== undefined) this.#write({ ...server, readiness: Readiness.Draining })
  }

  /** A server drains before it ends, so that its entry never disappears without notice. */
  #end (id: RunnerId): void {
    this.#drain(id)
    if (!this.#running.delete(id)) return
    this.#remove(id)
  }

  #remove (id: RunnerId): void {
    this.#items.delete(id)
    this.#revision += 1
    this.table.remove(id, this.#comparable(this.#revision), this.#now)
  }

  #restore (): void {
    this.#items = new Map(this.#copy.items)
    this.#revision = this.#copy.revision
    this.#era += 1
    this.#list()
  }

  /** After a return the servers that run write their entries again, and the entries of the others expire. */
  #writeAgain (): void {
    for (const server of this.#running.values()) this.#write(server)
    for (const id of [...this.#items.keys()]) if (!this.#running.has(id)) this.#remove(id)
  }

  #list (): void {
    const entries = [...this.#items.values()].map(({ server, revision }): ServerEntry => ({ server, revision: this.#comparable(revision) }))
    this.table.replaceAll(entries, this.#comparable(this.#revision), this.#now)
  }

  #comparable (revision: number): number {
    return storeRevision(this.#era, revision)
  }
}

const describe = ({ id, startedAt }: BackendServer): string => `${id}/${startedAt}`

const serverStep = fc.record({ type: fc.constantFrom('start', 'drain', 'end'), id: fc.constantFrom(...IDS) })
const storeStep = fc.record({ type: fc.constantFrom('copy', 'return', 'lose') })
const waitStep = fc.record({ type: fc.constant('wait'), duration: fc.integer({ min: 0, max: 2 * EXPIRED_ENTRY_GRACE }) })
const steps = fc.array(fc.oneof({ weight: 5, arbitrary: serverStep }, { weight: 3, arbitrary: storeStep }, { weight: 1, arbitrary: waitStep }), { maxLength: 40 }) as fc.Arbitrary<Step[]>

test('a node uses exactly the servers that accept requests, however often the store loses its last changes', (t) => {
  t.notThrows(() => fc.assert(fc.property(steps, (history) => {
    const world = new World()
    for (const step of history) {
      world.apply(step)
      const [accepting, used] = world.compared
      if (accepting.join() !== used.join()) throw new Error(`${step.type}: accepting ${accepting.join()}, used ${used.join()}`)
    }
  }), { seed: 23, numRuns: 2_000 }))
})

test('a revision of a later era is greater than any of an earlier one, and both parts can be read back', (t) => {
  const revision = storeRevision(3, 7)
  t.true(revision > storeRevision(2, 2 ** 35))
  t.is(eraOf(revision), 3)
  t.is(revisionInEra(revision), 7)
})
