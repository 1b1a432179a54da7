/** The runners of one dispatcher and the attempts granted on them. */
import type { AttemptId, FailureDomain, Millis, RunnerId } from '../types.js'
import type { LiveAttempt } from './LiveAttempt.js'
import { Runner } from './Runner.js'
import type { OrderTarget } from './Runner.js'

/** Looks up runners and granted attempts, and keeps the attempts of each runner consistent. */
export class RunnerPool {
  readonly #runners = new Map<RunnerId, Runner>()
  readonly #attempts = new Map<AttemptId, LiveAttempt>()

  get runners (): IterableIterator<Runner> {
    return this.#runners.values()
  }

  get attempts (): IterableIterator<LiveAttempt> {
    return this.#attempts.values()
  }

  /** Adds a runner; one that is already in the pool keeps its state and may get new work again. */
  addRunner (id: RunnerId, failureDomain: FailureDomain, now: Millis): void {
    const existing = this.#runners.get(id)
    if (existing === undefined) this.#runners.set(id, new Runner(id, failureDomain, now))
    else existing.isLeaving = false
  }

  /** Removes a runner and its attempts. */
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

  /** @returns the usable runners that have the order's model, version and adapter, whether or not they have room */
  serving (order: OrderTarget): readonly Runner[] {
    return [...this.#runners.values()].filter((runner) => runner.serves(order))
  }

  /** @returns the runners that have memory reserved for the attempt of a sequence group */
  reserving (id: AttemptId): readonly Runner[] {
    return [...this.#runners.values()].filter((runner) => runner.reservations.has(id))
  }

  /** Adds a granted attempt to its runner; ignored if the runner is not in the pool. */
  addAttempt (attempt: LiveAttempt): void {
    const runner = this.#runners.get(attempt.runner)
    if (runner === undefined) return
    runner.unknownAttempts.delete(attempt.id)
    runner.attempts.set(attempt.id, attempt)
    this.#attempts.set(attempt.id, attempt)
  }

  /** @returns the removed attempt, or undefined if it was not in the pool */
  removeAttempt (id: AttemptId): LiveAttempt | undefined {
    const attempt = this.#attempts.get(id)
    if (attempt === undefined) return undefined
    this.#attempts.delete(id)
    this.#runners.get(attempt.runner)?.attempts.delete(id)
    return attempt
  }

  /** @returns the sorted names of the models that the runners report */
  models (): readonly string[] {
    const names = new Set<string>()
    for (const runner of this.#runners.values()) {
      if (runner.report?.model) names.add(runner.report.model)
    }
    return [...names].sort()
  }
}
