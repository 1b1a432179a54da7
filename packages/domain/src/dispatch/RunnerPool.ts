/** The runners of one dispatcher and the attempts granted on them. */
import type { AttemptId, FailureDomain, Millis, RunnerId } from '../types.js'
import type { LiveAttempt } from './LiveAttempt.js'
import { Runner } from './Runner.js'
import type { OrderTarget } from './Runner.js'

/** Finds runners and attempts. */
export class RunnerPool {
  readonly #runners = new Map<RunnerId, Runner>()
  readonly #attempts = new Map<AttemptId, LiveAttempt>()

  get runners (): IterableIterator<Runner> {
    return this.#runners.values()
  }

  get attempts (): IterableIterator<LiveAttempt> {
    return this.#attempts.values()
  }

  /** Takes a runner over; one that is known already is kept as it is. */
  addRunner (id: RunnerId, failureDomain: FailureDomain, now: Millis): void {
    const existing = this.#runners.get(id)
    if (existing === undefined) this.#runners.set(id, new Runner(id, failureDomain, now))
    else existing.isLeaving = false
  }

  /** Gives a runner up, with the account of its attempts. */
  removeRunner (id: RunnerId): void {
    const runner = this.#runners.get(id)
    if (runner === undefined) return
    for (const attempt of runner.attempts.keys()) this.#attempts.delete(attempt)
    this.#runners.delete(id)
  }

  runner (id: RunnerId): Runner | undefined {
    return this.#runners.get(id)
  }

  attempt (id: AttemptId): LiveAttempt | undefined {
    return this.#attempts.get(id)
  }

  /** Runners that have what the order names, whether or not they have room. */
  serving (order: OrderTarget): readonly Runner[] {
    return [...this.#runners.values()].filter((runner) => runner.serves(order))
  }

  /** Runners that keep memory for a group's attempt. */
  reserving (id: AttemptId): readonly Runner[] {
    return [...this.#runners.values()].filter((runner) => runner.reservations.has(id))
  }

  /** Enters a granted attempt into the account of its runner. */
  addAttempt (attempt: LiveAttempt): void {
    const runner = this.#runners.get(attempt.runner)
    if (runner === undefined) return
    runner.unknownAttempts.delete(attempt.id)
    runner.attempts.set(attempt.id, attempt)
    this.#attempts.set(attempt.id, attempt)
  }

  /** Takes an attempt out of the account. */
  removeAttempt (id: AttemptId): LiveAttempt | undefined {
    const attempt = this.#attempts.get(id)
    if (attempt === undefined) return undefined
    this.#attempts.delete(id)
    this.#runners.get(attempt.runner)?.attempts.delete(id)
    return attempt
  }

  /** Models that any runner has. */
  models (): readonly string[] {
    const names = new Set<string>()
    for (const runner of this.#runners.values()) {
      if (runner.report?.model) names.add(runner.report.model)
    }
    return [...names].sort()
  }
}
