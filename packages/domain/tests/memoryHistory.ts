/** Simulates entry nodes, dispatchers and the memory of engines, where entry nodes and dispatchers crash. */
import type { AttemptId, DispatchEffect, DispatchEvent, DispatchOrder, Millis, NodeId, RunnerId } from '../src/index.js'
import { Dispatcher } from '../src/index.js'
import { VirtualScheduler } from './virtualScheduler.js'
import { attempt as attemptId, DOMAIN, node, order, report, runner } from './fixtures.js'

interface HeldMemory { readonly startedAt: Millis, endedAt: Millis | null }

/** State of an attempt at its entry node. */
interface EntryAttempt { readonly order: DispatchOrder, readonly runner: RunnerId, live: boolean }

interface Entry { alive: boolean, incarnation: number, readonly attempts: Map<AttemptId, EntryAttempt> }

const REPORT_INTERVAL = 200
const PROGRESS_INTERVAL = 1_000
/** Ranges of the times after which members detect a crash and a restart. */
const DETECTION_DELAY = { least: 1_500, most: 3_000 }
const RETURN_DELAY = { least: 0, most: 500 }
const RESTART_DELAY = { least: 4_000, most: 10_000 }
const RELEASE_TIME_LIMIT = 10_000

export const ENTRIES = ['e0', 'e1']
export const DISPATCHERS = ['d0', 'd1', 'd2']
export const RUNNERS = ['a', 'b', 'c', 'd']

/** Runs a history until all attempts have ended; `violations` lists the broken invariants. */
export class MemoryHistory {
  readonly violations: string[] = []
  cancelled = 0
  readonly #scheduler = new VirtualScheduler()
  readonly #random: () => number
  readonly #end: Millis
  readonly #engines = new Map(RUNNERS.map((name) => [runner(name), new Map<AttemptId, HeldMemory>()]))
  readonly #entries = new Map(ENTRIES.map((name) => [node(name), { alive: true, incarnation: 0, attempts: new Map() } as Entry]))
  readonly #dispatchers = new Map<NodeId, Dispatcher | null>()
  /** For each node, the dispatchers that it considers dead. */
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

  schedule (at: Millis, run: () => void): void {
    this.#scheduler.schedule(at, run)
  }

  run (): this {
    this.#scheduler.run(this.#end + RESTART_DELAY.most + RELEASE_TIME_LIMIT)
    for (const [id, held] of this.#engines) {
      for (const attempt of held.keys()) if (!this.#isLive(attempt)) this.violations.push(`${id} still holds ${attempt}`)
    }
    return this
  }

  /** Sends a dispatch order of an entry node; the attempt runs for the given duration. */
  order (entryName: string, runnerName: string, duration: Millis): void {
    const entry = this.#entries.get(node(entryName))!
    if (!entry.alive) return
    const id = attemptId(`${entryName}-${entry.incarnation}-${this.#attempts++}.1`)
    const asked = order(id, { entry: node(entryName), remaining: 60_000, promptTokens: 2_000 })
    const owner = this.#ownerSeenBy(node(entryName), runner(runnerName))
    this.#after(() => this.#deliver(owner, { type: 'ordered', order: asked }, duration))
  }

  /** Disconnects the caller of a live attempt; the cancellation that the entry node sends to the engine may be lost. */
  disconnectCaller (pick: number): void {
    const live = [...this.#entries.values()].flatMap((entry) => [...entry.attempts.values()].filter((attempt) => attempt.live))
    const chosen = live[pick % Math.max(1, live.length)]
    if (chosen === undefined) return
    this.#endAttempt(chosen)
    if (this.#random() < 0.5) this.#after(() => this.#engines.get(chosen.runner)?.delete(chosen.order.attempt))
    if (this.#random() < 0.8) this.#progress(chosen, 'failed')
  }

  /** Crashes an entry node without a message, and restarts it immediately. */
  crashEntry (name: string): void {
    const entry = this.#entries.get(node(name))!
    this.#disturbedAt = this.#scheduler.now
    for (const attempt of entry.attempts.values()) this.#endAttempt(attempt)
    entry.attempts.clear()
    entry.incarnation += 1
    for (const dispatcher of DISPATCHERS) this.#after(() => this.#deliver(node(dispatcher), { type: 'entry_lost', entry: node(name) }), this.#between(DETECTION_DELAY))
  }

  /** Crashes a dispatcher; the others detect it, take over its runners, and return them after its restart. */
  crashDispatcher (name: string): void {
    const id = node(name)
    if ([...this.#dispatchers].filter(([other, each]) => other !== id && each !== null).length === 0 || this.#dispatchers.get(id) === null) return
    this.#disturbedAt = this.#scheduler.now
    this.#dispatchers.set(id, null)
    for (const observer of this.#suspects.keys()) {
      this.#after(() => { if (this.#dispatchers.get(id) === null) this.#suspect(observer, id) }, this.#between(DETECTION_DELAY))
    }
    this.#after(() => this.#start(id), this.#between(RESTART_DELAY))
  }

  /** One dispatcher considers another dead for the given duration, so that both grant its runners. */
  suspectWrongly (name: string, about: string, duration: Millis): void {
    const [id, other] = [node(name), node(about)]
    if (id === other || !this.#dispatchers.get(id) || !this.#dispatchers.get(other)) return
    this.#disturbedAt = this.#scheduler.now + duration
    this.#suspect(id, other)
    this.#after(() => { if (this.#dispatchers.get(other) !== null) this.#trust(id, other) }, duration)
  }

  #start (id: NodeId): void {
    this.#disturbedAt = this.#scheduler.now
    this.#dispatchers.set(id, new Dispatcher({ node: id }))
    this.#owned.set(id, new Set())
    this.#suspects.set(id, new Set([...this.#dispatchers].filter(([, each]) => each === null).map(([other]) => other)))
    this.#updateOwnership(id)
    for (const observer of this.#suspects.keys()) this.#after(() => { if (this.#dispatchers.get(id) !== null) this.#trust(observer, id) }, this.#between(RETURN_DELAY))
  }

  #suspect (observer: NodeId, about: NodeId): void {
    this.#suspects.get(observer)!.add(about)
    this.#updateOwnership(observer)
  }

  #trust (observer: NodeId, about: NodeId): void {
    this.#suspects.get(observer)!.delete(about)
    this.#updateOwnership(observer)
  }

  /** @returns the dispatcher of a runner in the view of one node */
  #ownerSeenBy (observer: NodeId, id: RunnerId): NodeId {
    const first = RUNNERS.indexOf(id)
    const preference = DISPATCHERS.map((_, index) => node(DISPATCHERS[(first + index) % DISPATCHERS.length]!))
    return preference.find((each) => each === observer || !this.#suspects.get(observer)!.has(each))!
  }

  /** Assigns and removes the dispatcher's runners according to its view. */
  #updateOwnership (id: NodeId): void {
    const owned = this.#owned.get(id)
    if (owned === undefined || this.#dispatchers.get(id) === null) return
    for (const name of RUNNERS.map(runner)) {
      const own = this.#ownerSeenBy(id, name) === id
      if (own === owned.has(name)) continue
      if (own) owned.add(name)
      else owned.delete(name)
      this.#deliver(id, own ? { type: 'runner_assigned', runner: name, failureDomain: DOMAIN } : { type: 'runner_removed', runner: name })
    }
  }

  #between ({ least, most }: { readonly least: Millis, readonly most: Millis }): Millis {
    return least + this.#random() * (most - least)
  }

  #after (run: () => void, delay = 1 + this.#random() * 50): void {
    this.#scheduler.schedule(this.#scheduler.now + delay, run)
  }

  #deliver (id: NodeId, event: DispatchEvent, duration = 0): void {
    const dispatcher = this.#dispatchers.get(id)
    if (!dispatcher) return
    for (const effect of dispatcher.handle(event, this.#scheduler.now)) this.#execute(effect, duration)
    const timer = dispatcher.nextTimer()
    if (timer === null) return
    this.#scheduler.schedule(Math.max(timer, this.#scheduler.now + 1), () => {
      const due = dispatcher.nextTimer()
      if (this.#dispatchers.get(id) === dispatcher && due !== null && due <= this.#scheduler.now) this.#deliver(id, { type: 'ticked' })
    })
  }

  #execute (effect: DispatchEffect, duration: Millis): void {
    if (effect.type === 'cancel_on_runner') {
      this.cancelled += 1
      this.#after(() => this.#cancel(effect.runner, effect.attempt, effect.reason))
    } else if (effect.type === 'grant') {
      const { attempt, entry, runner: on } = effect.grant
      this.#after(() => this.#send(entry, attempt, on, duration))
    }
  }

  #cancel (id: RunnerId, attempt: AttemptId, reason: string): void {
    if (this.#isLive(attempt)) this.violations.push(`${attempt} was cancelled while live: ${reason}`)
    this.#engines.get(id)?.delete(attempt)
  }

  #send (entryId: NodeId, id: AttemptId, on: RunnerId, duration: Millis): void {
    const entry = this.#entries.get(entryId)!
    if (!id.startsWith(`${entryId}-${entry.incarnation}-`)) return
    const attempt: EntryAttempt = { order: order(id, { entry: entryId, promptTokens: 2_000 }), runner: on, live: true }
    entry.attempts.set(id, attempt)
    this.#after(() => this.#engines.get(on)!.set(id, { startedAt: this.#scheduler.now, endedAt: attempt.live ? null : this.#scheduler.now }))
    this.#progress(attempt, 'sent')
    this.#progressLoop(attempt)
    this.#scheduler.schedule(this.#scheduler.now + 60 + duration, () => this.#finish(attempt))
  }

  #finish (attempt: EntryAttempt): void {
    if (!attempt.live) return
    this.#endAttempt(attempt)
    this.#engines.get(attempt.runner)?.delete(attempt.order.attempt)
    this.#progress(attempt, 'ended')
  }

  #endAttempt (attempt: EntryAttempt): void {
    attempt.live = false
    const held = this.#engines.get(attempt.runner)?.get(attempt.order.attempt)
    if (held !== undefined) held.endedAt = this.#scheduler.now
  }

  #progressLoop (attempt: EntryAttempt): void {
    this.#scheduler.schedule(this.#scheduler.now + PROGRESS_INTERVAL, () => {
      if (!attempt.live) return
      this.#progress(attempt, 'streaming')
      this.#progressLoop(attempt)
    })
  }

  #progress (attempt: EntryAttempt, kind: 'sent' | 'streaming' | 'ended' | 'failed'): void {
    const owner = this.#ownerSeenBy(attempt.order.entry, attempt.runner)
    this.#after(() => this.#deliver(owner, { type: 'progressed', attempt: attempt.order.attempt, runner: attempt.runner, kind, generated: 1, order: attempt.order }))
  }

  #isLive (attempt: AttemptId): boolean {
    return [...this.#entries.values()].some((entry) => entry.attempts.get(attempt)?.live === true)
  }

  #reportLoop (id: RunnerId): void {
    const now = this.#scheduler.now
    const held = [...this.#engines.get(id)!].map(([attempt, { startedAt, endedAt: leftAt }]) => {
      if (leftAt !== null && now - Math.max(leftAt, this.#disturbedAt) > RELEASE_TIME_LIMIT) this.violations.push(`${id} held ${attempt} for longer than the limit after its end`)
      return { attempt, heldTokens: 2_016, age: now - startedAt }
    })
    for (const name of DISPATCHERS) {
      this.#after(() => this.#deliver(node(name), { type: 'runner_reported', runner: id, report: report({ held, slots: 32 }) }))
    }
    this.#scheduler.schedule(now + REPORT_INTERVAL, () => this.#reportLoop(id))
  }
}
