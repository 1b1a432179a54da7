/** Runs a completion whose prompt exceeds the KV cache memory of one engine: a sequence group prefills it, its last member decodes. */
import { Ran } from '@bluebellhill/domain'
import type { AttemptId } from '@bluebellhill/domain'
import { describeFailure, deriveRan } from '@bluebellhill/services'
import type { CallFailure, ModelEngine, Result } from '@bluebellhill/services'

import { Attempt } from './Attempt.js'
import type { AttemptListener } from './Attempt.js'

/** One member of the sequence group with its segment of the prompt. */
export interface GroupMember {
  readonly engine: ModelEngine
  readonly text: string
}

/** Members and segments of one group attempt. */
export interface GroupPlan {
  readonly attempt: AttemptId
  readonly members: readonly GroupMember[]
  readonly model: string
  readonly version: string | null
  readonly priority: number
  /** Milliseconds until the deadline of the request. */
  readonly timeout: number
}

/** Thrown to end the prefill when a call to a member fails. */
class SegmentFailure extends Error {
  readonly failure: CallFailure

  constructor (failure: CallFailure) {
    super(describeFailure(failure))
    this.failure = failure
  }
}

/**
 * Builds the id of a member's segment.
 *
 * @param attempt - id of the attempt
 * @param index - index of the member in the group
 */
export const segmentId = (attempt: AttemptId, index: number): string => `${attempt}/${index}`

/**
 * Splits a prompt into segments in proportion to the members' shares.
 *
 * @param prompt - the whole text
 * @param shares - relative size of each segment, above 0
 * @returns the segments in order; joined, they equal the prompt
 */
export const splitPrompt = (prompt: string, shares: readonly number[]): string[] => {
  const total = shares.reduce((sum, share) => sum + share, 0)
  let cumulativeShare = 0
  const ends = shares.map((share) => segmentBoundary(prompt, Math.round(prompt.length * (cumulativeShare += share) / total)))
  return ends.map((end, index) => prompt.slice(ends[index - 1] ?? 0, end))
}

/** Moves a split position to the end of a surrogate pair, so that no character is split. */
const segmentBoundary = (text: string, at: number): number => {
  const code = text.charCodeAt(at)
  return code >= 0xdc00 && code <= 0xdfff ? at + 1 : at
}

/** Prefills the segments one after the other, each with the earlier ones as its context, and then starts decoding on the last member. */
export class GroupAttempt extends Attempt {
  readonly #plan: GroupPlan
  readonly #listener: AttemptListener
  readonly #decodeAttempt: Attempt
  readonly #controller = new AbortController()
  #hasSent = false
  #hasReleased = false

  /**
   * @param plan - the members and their segments of the prompt
   * @param listener - receives the events of the attempt
   * @param decodeAttempt - the completion call to the last member, with the same listener
   */
  constructor (plan: GroupPlan, listener: AttemptListener, decodeAttempt: Attempt) {
    super()
    this.#plan = plan
    this.#listener = listener
    this.#decodeAttempt = decodeAttempt
  }

  async run (): Promise<void> {
    try {
      for (const index of this.#plan.members.keys()) await this.#prefill(index)
    } catch (error) {
      return this.#fail(error)
    }
    if (!this.#controller.signal.aborted) await this.#decodeAttempt.run()
    await this.#release()
  }

  abort (): void {
    this.#controller.abort()
    this.#decodeAttempt.abort()
    void this.#release()
  }

  async #prefill (index: number): Promise<void> {
    const { members, attempt, model, version, priority, timeout } = this.#plan
    const member = members[index]
    if (member === undefined) return
    await Promise.all(members.slice(0, index).map(async (_, former) => await this.#transferSegment(former, member.engine)))
    if (!this.#hasSent) this.#listener.sending(attempt)
    this.#hasSent = true
    this.#controller.signal.throwIfAborted()
    unwrap(await member.engine.prefill({
      requestId: attempt,
      segmentId: segmentId(attempt, index),
      prompt: member.text,
      contextSegments: members.slice(0, index).map((_, former) => segmentId(attempt, former)),
      model,
      version,
      priority,
      signal: this.#controller.signal,
      timeout
    }))
  }

  async #transferSegment (index: number, to: ModelEngine): Promise<void> {
    const { members, attempt } = this.#plan
    const { signal } = this.#controller
    const id = segmentId(attempt, index)
    const from = members[index]?.engine
    if (from === undefined) return
    const segment = unwrap(await from.exportSegment(id, signal))
    unwrap(await to.importSegment(id, attempt, segment.bytes, signal))
  }

  #fail (error: unknown): void {
    const aborted = this.#controller.signal.aborted
    this.abort()
    if (aborted) return
    const started = error instanceof SegmentFailure && !this.#hasSent ? deriveRan(error.failure) : Ran.Yes
    const reason = error instanceof Error ? error.message : String(error)
    this.#listener.broken(this.#plan.attempt, { started, resumable: false, reason: `group: ${reason}`, retryAfter: null })
  }

  async #release (): Promise<void> {
    if (this.#hasReleased) return
    this.#hasReleased = true
    await Promise.all(this.#plan.members.map(async ({ engine }) => await engine.releaseSegments(this.#plan.attempt)))
  }
}

const unwrap = <Value>(result: Result<Value, CallFailure>): Value => {
  if (!result.ok) throw new SegmentFailure(result.failure)
  return result.value
}
