/** Runs requests with an idempotency key: claims the key, runs the request once and records its outcome, or replays a recorded one. */
import { assertNever, OutcomeKind, Ran } from '@bluebellhill/domain'
import type { Outcome, RecordedOutcome, RequestSpec } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'

import { monotonicNow } from '../clock/monotonic.js'
import type { Claim, IdempotencyService, KeyedResult } from '../idempotency/index.js'
import type { TimeLine } from '../timeline/index.js'
import type { Answer, ReplayableAnswer } from './Answer.js'
import { HeldRefusalAnswer } from './HeldRefusalAnswer.js'

const NO_STORE_RETRY_AFTER_MS = 5_000

/** Longest time that a refusal waits until its key is released; a store that answers writes the release well within it. */
const RELEASE_WAIT_MS = 1_000

/** A request with its idempotency key. */
export interface KeyedCall {
  readonly spec: RequestSpec
  /** The caller's `Idempotency-Key`. */
  readonly key: string
  /** Content that must be equal when the key is used again; another content is a conflict. */
  readonly identity: Buffer
  readonly answer: ReplayableAnswer
  /** Runs the request to its final result, which it writes to the given answer; called at most once. */
  readonly run: (answer: Answer) => Promise<Outcome>
}

/** Runs the request of each idempotency key at most once in the fleet. */
export class KeyedRequestRunner {
  readonly #idempotency: IdempotencyService | null
  readonly #timeLine: TimeLine

  /**
   * @param idempotency - claims keys; null if no key-value service is configured, in which case keyed requests are refused
   * @param timeLine - the node's time line
   */
  constructor (idempotency: IdempotencyService | null, timeLine: TimeLine) {
    this.#idempotency = idempotency
    this.#timeLine = timeLine
  }

  /**
   * Runs a request, replays the outcome of an earlier request with the same key, or refuses it.
   *
   * @param call - the request and its key
   */
  async run (call: KeyedCall): Promise<void> {
    if (this.#idempotency === null) return call.answer.fail(refusal(OutcomeKind.StoreUnavailable, 'this fleet has no key-value service', NO_STORE_RETRY_AFTER_MS))
    const startedAt = monotonicNow()
    const { spec, key, identity } = call
    const result = await this.#idempotency.claim({ organisation: spec.organisation, key, body: identity, timeLimit: spec.deadline - startedAt })
    this.#timeLine.record(EventKind.KeyClaimed, { request: spec.id, organisation: spec.organisation }, result.type, { state: result.type, duration: monotonicNow() - startedAt })
    await this.#applyClaimResult(this.#idempotency, call, result)
  }

  async #applyClaimResult (idempotency: IdempotencyService, call: KeyedCall, result: KeyedResult): Promise<void> {
    const { answer } = call
    switch (result.type) {
      case 'claimed': return await this.#runClaimed(idempotency, call, result.claim)
      case 'replay': return replay(answer, result.outcome)
      case 'in_progress': return answer.fail({ kind: OutcomeKind.KeyInProgress, ran: Ran.Unknown, detail: 'a request with this key is in progress', retryAfter: result.retryAfter })
      case 'unknown': return answer.fail({ kind: OutcomeKind.KeyOutcomeUnknown, ran: Ran.Unknown, detail: 'an earlier request with this key was sent and its outcome was lost' })
      case 'conflict': return answer.fail({ kind: OutcomeKind.KeyConflict, ran: Ran.No, detail: 'the key was used for another request' })
      case 'unavailable': return answer.fail(refusal(OutcomeKind.StoreUnavailable, result.reason, result.retryAfter))
      default: return assertNever(result)
    }
  }

  async #runClaimed (idempotency: IdempotencyService, { run, answer }: KeyedCall, claim: Claim): Promise<void> {
    const heldRefusal = new HeldRefusalAnswer(answer)
    const outcome = await run(heldRefusal)
    if (outcome.ran === Ran.No) {
      await idempotency.release(claim, RELEASE_WAIT_MS)
      return heldRefusal.sendRefusal()
    }
    if (outcome.ran === Ran.Unknown) return idempotency.conclude(claim, { type: 'unknown' })
    const text = outcome.kind === OutcomeKind.Answered ? answer.recorded() : null
    idempotency.conclude(claim, { type: 'done', outcome: { kind: outcome.kind, ran: outcome.ran, answer: text } })
  }
}

const refusal = (kind: OutcomeKind, detail: string, retryAfter: number): Outcome => ({ kind, ran: Ran.No, detail, retryAfter })

const replay = (answer: ReplayableAnswer, { kind, ran, answer: recorded }: RecordedOutcome): void => {
  if (kind !== OutcomeKind.Answered) return answer.fail({ kind, ran, detail: 'outcome of an earlier request with this key' })
  if (recorded !== null) return answer.replay(recorded)
  answer.fail({ kind: OutcomeKind.KeyOutcomeUnknown, ran, detail: 'the earlier request with this key was answered; its answer was too large to keep' })
}
