/** Entry nodes, dispatchers and the memory of fake engines, with crashes of all but the engines. */
import type { AttemptId, DispatchEffect, DispatchEvent, DispatchOrder, Millis, NodeId, RunnerId } from '../src/index.js'
import { Dispatcher } from '../src/index.js'
import { Agenda } from './agenda.js'
import { attempt as attemptId, DOMAIN, node, order, report, runner } from './fixtures.js'

interface Held { readonly startedAt: Millis, leftAt: Millis | null }

/** An attempt as its entry node sees it. */
interface EntryAttempt { readonly order: DispatchOrder, readonly runner: RunnerId, live: boolean }

interface Entry { alive: boolean, incarnation: number, readonly attempts: Map<AttemptId, EntryAttempt> }

const REPORT_INTERVAL = 200
const PROGRESS_INTERVAL = 1_000
/** Times in which members notice a death and a return. */
const DETECTION = { least: 1_500, most: 3_000 }
const RETURN = { least: 0, most: 500 }
const RESTART = { least: 4_000, most: 10_000 }
const MEMORY_BOUND = 10_000

export const ENTRIES = ['e0', 'e1']
export const DISPATCHERS = ['d0', 'd1', 'd2']
export const RUNNERS = ['a', 'b', 'c', 'd']

/** Runs until all is quiet; `faults` names what must not happen. */
export class MemoryHistory {
  readonly faults: string[] = []
  cancelled = 0
  readonly #agenda = new Agenda()
  readonly #random: () => number
  readonly #end: Millis
  readonly #engines = new Map(RUNNERS.map((name) => [runner(name), new Map<AttemptId, Held>()]))
  readonly #entries = new Map(ENTRIES.map((name) => [node(name), { alive: true, incarnation: 0, attempts: new Map() } as Entry]))
  readonly #dispatchers = new Map<NodeId, Dispatcher | null>()
  /** For each node, the dispatchers that it takes for dead. */
  readonly #suspects = new Map<NodeId, Set<NodeId>>()
  readonly #owned = new Map<NodeId, Set<RunnerId>>()
  #disturbedAt: Millis = 0
  #attempts = 0

  constructor (random: () => number, end: Millis) {
    this.#random = random
    this.#end = end
    for (const name of [...ENTRIES, ...DISPATCHERS]) this.#suspects.set(node(name), new Set())
    for (const name of DISPATCHERS) this.#start(node(name))
    for (const name of RUNNERS) this.#reportLoop(runner(name))
  }

  at (at: Millis, run: () => void): void {
    this.#agenda.at(at, run)
  }

  run (): this {
    this.#agenda.run(this.#end + RESTART.most + MEMORY_BOUND)
    for (const [id, held] of this.#engines) {
      for (const attempt of held.keys()) if (!this.#isLive(attempt)) this.faults.push(`${id} still holds ${attempt}`)
    }
    return this
  }

  /** An entry node asks for a runner; the attempt runs for a while. */
  order (entryName: string, runnerName: string, duration: Millis): void {
    const entry = this.#entries.get(node(entryName))!
    if (!entry.alive) return
    const id = attemptId(`${entryName}-${entry.incarnation}-${this.#attempts++}.1`)
    const asked = order(id, { entry: node(entryName), remaining: 60_000, promptTokens: 2_000 })
    const owner = this.#ownerSeenBy(node(entryName), runner(runnerName))
    this.#after(() => this.#give(owner, { type: 'ordered', order: asked }, duration))
  }

  /** The caller goes away: the entry node cancels, and its own message to the engine may be lost. */
  callerGone (pick: number): void {
    const live = [...this.#entries.values()].flatMap((entry) => [...entry.attempts.values()].filter((attempt) => attempt.live))
    const chosen = live[pick % Math.max(1, live.length)]
    if (chosen === undefined) return
    this.#leave(chosen)
    if (this.#random() < 0.5) this.#after(() => this.#engines.get(chosen.runner)?.delete(chosen.order.attempt))
    if (this.#random() < 0.8) this.#progress(chosen, 'failed')
  }

  /** The entry node dies without a word and starts anew. */
  crashEntry (name: string): void {
    const entry = this.#entries.get(node(name))!
    this.#disturbedAt = this.#agenda.now
    for (const attempt of entry.attempts.values()) this.#leave(attempt)
    entry.attempts.clear()
    entry.incarnation += 1
    for (const dispatcher of DISPATCHERS) this.#after(() => this.#give(node(dispatcher), { type: 'entry_lost', entry: node(name) }), this.#between(DETECTION))
  }

  /** The dispatcher dies; the others notice, take its runners over, and give them back when it has started anew. */
  crashDispatcher (name: string): void {
    const id = node(name)
    if ([...this.#dispatchers].filter(([other, each]) => other !== id && each !== null).length === 0 || this.#dispatchers.get(id) === null) return
    this.#disturbedAt = this.#agenda.now
    this.#dispatchers.set(id, null)
    for (const observer of this.#suspects.keys()) {
      this.#after(() => { if (this.#dispatchers.get(id) === null) this.#suspect(observer, id) }, this.#between(DETECTION))
    }
    this.#after(() => this.#start(id), this.#between(RESTART))
  }

  /** One dispatcher takes another for dead for a while, so that both give grants on its runners. */
  disagree (name: string, about: string, duration: Millis): void {
    const [id, other] = [node(name), node(about)]
    if (id === other || !this.#dispatchers.get(id) || !this.#dispatchers.get(other)) return
    this.#disturbedAt = this.#agenda.now + duration
    this.#suspect(id, other)
    this.#after(() => { if (this.#dispatchers.get(other) !== null) this.#trust(id, other) }, duration)
  }

  #start (id: NodeId): void {
    this.#disturbedAt = this.#agenda.now
    this.#dispatchers.set(id, new Dispatcher({ node: id }))
    this.#owned.set(id, new Set())
    this.#suspects.set(id, new Set([...this.#dispatchers].filter(([, each]) => each === null).map(([other]) => other)))
    this.#claim(id)
    for (const observer of this.#suspects.keys()) this.#after(() => { if (this.#dispatchers.get(id) !== null) this.#trust(observer, id) }, this.#between(RETURN))
  }

  #suspect (observer: NodeId, about: NodeId): void {
    this.#suspects.get(observer)!.add(about)
    this.#claim(observer)
  }

  #trust (observer: NodeId, about: NodeId): void {
    this.#suspects.get(observer)!.delete(about)
    this.#claim(observer)
  }

  /** The dispatcher of a runner in one node's view. */
  #ownerSeenBy (observer: NodeId, id: RunnerId): NodeId {
    const first = RUNNERS.indexOf(id)
    const preference = DISPATCHERS.map((_, index) => node(DISPATCHERS[(first + index) % DISPATCHERS.length]!))
    return preference.find((each) => each === observer || !this.#suspects.get(observer)!.has(each))!
  }

  /** Takes over and gives up runners as the dispatcher's view has it. */
  #claim (id: NodeId): void {
    const owned = this.#owned.get(id)
    if (owned === undefined || this.#dispatchers.get(id) === null) return
    for (const name of RUNNERS.map(runner)) {
      const own = this.#ownerSeenBy(id, name) === id
      if (own === owned.has(name)) continue
      if (own) owned.add(name)
      else owned.delete(name)
      this.#give(id, own ? { type: 'runner_assigned', runner: name, failureDomain: DOMAIN } : { type: 'runner_removed', runner: name })
    }
  }

  #between ({ least, most }: { readonly least: Millis, readonly most: Millis }): Millis {
    return least + this.#random() * (most - least)
  }

  #after (run: () => void, delay = 1 + this.#random() * 50): void {
    this.#agenda.at(this.#agenda.now + delay, run)
  }

  #give (id: NodeId, event: DispatchEvent, duration = 0): void {
    const dispatcher = this.#dispatchers.get(id)
    if (!dispatcher) return
    for (const effect of dispatcher.handle(event, this.#agenda.now)) this.#carryOut(effect, duration)
    const timer = dispatcher.nextTimer()
    if (timer === null) return
    this.#agenda.at(Math.max(timer, this.#agenda.now + 1), () => {
      const due = dispatcher.nextTimer()
      if (this.#dispatchers.get(id) === dispatcher && due !== null && due <= this.#agenda.now) this.#give(id, { type: 'ticked' })
    })
  }

  #carryOut (effect: DispatchEffect, duration: Millis): void {
    if (effect.type === 'cancel_on_runner') {
      this.cancelled += 1
      this.#after(() => this.#cancel(effect.runner, effect.attempt, effect.reason))
    } else if (effect.type === 'grant') {
      const { attempt, entry, runner: on } = effect.grant
      this.#after(() => this.#send(entry, attempt, on, duration))
    }
  }

  #cancel (id: RunnerId, attempt: AttemptId, reason: string): void {
    if (this.#isLive(attempt)) this.faults.push(`${attempt} was cancelled while live: ${reason}`)
    this.#engines.get(id)?.delete(attempt)
  }

  #send (entryId: NodeId, id: AttemptId, on: RunnerId, duration: Millis): void {
    const entry = this.#entries.get(entryId)!
    if (!id.startsWith(`${entryId}-${entry.incarnation}-`)) return
    const attempt: EntryAttempt = { order: order(id, { entry: entryId, promptTokens: 2_000 }), runner: on, live: true }
    entry.attempts.set(id, attempt)
    this.#after(() => this.#engines.get(on)!.set(id, { startedAt: this.#agenda.now, leftAt: attempt.live ? null : this.#agenda.now }))
    this.#progress(attempt, 'sent')
    this.#progressLoop(attempt)
    this.#agenda.at(this.#agenda.now + 60 + duration, () => this.#finish(attempt))
  }

  #finish (attempt: EntryAttempt): void {
    if (!attempt.live) return
    this.#leave(attempt)
    this.#engines.get(attempt.runner)?.delete(attempt.order.attempt)
    this.#progress(attempt, 'ended')
  }

  #leave (attempt: EntryAttempt): void {
    attempt.live = false
    const held = this.#engines.get(attempt.runner)?.get(attempt.order.attempt)
    if (held !== undefined) held.leftAt = this.#agenda.now
  }

  #progressLoop (attempt: EntryAttempt): void {
    this.#agenda.at(this.#agenda.now + PROGRESS_INTERVAL, () => {
      if (!attempt.live) return
      this.#progress(attempt, 'streaming')
      this.#progressLoop(attempt)
    })
  }

  #progress (attempt: EntryAttempt, kind: 'sent' | 'streaming' | 'ended' | 'failed'): void {
    const owner = this.#ownerSeenBy(attempt.order.entry, attempt.runner)
    this.#after(() => this.#give(owner, { type: 'progressed', attempt: attempt.order.attempt, runner: attempt.runner, kind, generated: 1, order: attempt.order }))
  }

  #isLive (attempt: AttemptId): boolean {
    return [...this.#entries.values()].some((entry) => entry.attempts.get(attempt)?.live === true)
  }

  #reportLoop (id: RunnerId): void {
    const now = this.#agenda.now
    const held = [...this.#engines.get(id)!].map(([attempt, { startedAt, leftAt }]) => {
      if (leftAt !== null && now - Math.max(leftAt, this.#disturbedAt) > MEMORY_BOUND) this.faults.push(`${id} held ${attempt} for more than the bound after its end`)
      return { attempt, heldTokens: 2_016, age: now - startedAt }
    })
    for (const name of DISPATCHERS) {
      this.#after(() => this.#give(node(name), { type: 'runner_reported', runner: id, report: report({ held, slots: 32 }) }))
    }
    this.#agenda.at(now + REPORT_INTERVAL, () => this.#reportLoop(id))
  }
}
