/** A completion whose prompt is above one engine's memory: prefilled in segments over a group, decoded by its last member. */
import { Ran } from '@bluebellhill/domain'
import type { AttemptId } from '@bluebellhill/domain'
import { describeFailure, deriveRan } from '@bluebellhill/services'
import type { CallFailure, ModelEngine, Result } from '@bluebellhill/services'

import { Attempt } from './Attempt.js'
import type { AttemptListener } from './Attempt.js'

/** One member with its part of the prompt. */
export interface GroupMember {
  readonly engine: ModelEngine
  readonly text: string
}

/** What a group has to prefill. */
export interface GroupPlan {
  readonly attempt: AttemptId
  readonly members: readonly GroupMember[]
  readonly model: string
  readonly version: string | null
  readonly priority: number
  /** Milliseconds that are left to the request. */
  readonly timeout: number
}

/** Thrown inside to end the prefill. */
class SegmentFailure extends Error {
  readonly failure: CallFailure

  constructor (failure: CallFailure) {
    super(describeFailure(failure))
    this.failure = failure
  }
}

/**
 * Names a member's segment.
 *
 * @param attempt - the attempt
 * @param index - the member's place
 */
export const segmentId = (attempt: AttemptId, index: number): string => `${attempt}/${index}`

/**
 * Splits a prompt into parts in proportion to the members' shares.
 *
 * @param prompt - the whole text
 * @param shares - one number above 0 for each part
 * @returns the parts in order; joined they are the prompt
 */
export const splitPrompt = (prompt: string, shares: readonly number[]): string[] => {
  const total = shares.reduce((sum, share) => sum + share, 0)
  let upTo = 0
  const ends = shares.map((share) => boundary(prompt, Math.round(prompt.length * (upTo += share) / total)))
  return ends.map((end, index) => prompt.slice(ends[index - 1] ?? 0, end))
}

/** Moves a cut out of a surrogate pair. */
const boundary = (text: string, at: number): number => {
  const code = text.charCodeAt(at)
  return code >= 0xdc00 && code <= 0xdfff ? at + 1 : at
}

/** Prefills the segments one after the other, then lets the last member decode. */
export class GroupAttempt extends Attempt {
  readonly #plan: GroupPlan
  readonly #listener: AttemptListener
  readonly #decode: Attempt
  readonly #controller = new AbortController()
  #sent = false
  #released = false

  /**
   * @param plan - the members and their parts of the prompt
   * @param listener - told of everything
   * @param decode - the completion call to the last member; it tells the same listener
   */
  constructor (plan: GroupPlan, listener: AttemptListener, decode: Attempt) {
    super()
    this.#plan = plan
    this.#listener = listener
    this.#decode = decode
  }

  async run (): Promise<void> {
    try {
      for (const index of this.#plan.members.keys()) await this.#prefill(index)
    } catch (error) {
      return this.#break(error)
    }
    if (!this.#controller.signal.aborted) await this.#decode.run()
    await this.#release()
  }

  abort (): void {
    this.#controller.abort()
    this.#decode.abort()
    void this.#release()
  }

  async #prefill (index: number): Promise<void> {
    const { members, attempt, model, version, priority, timeout } = this.#plan
    const member = members[index]
    if (member === undefined) return
    await Promise.all(members.slice(0, index).map(async (_, former) => await this.#handOn(former, member.engine)))
    if (!this.#sent) this.#listener.sending(attempt)
    this.#sent = true
    this.#controller.signal.throwIfAborted()
    valueOf(await member.engine.prefill({
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

  async #handOn (index: number, to: ModelEngine): Promise<void> {
    const { members, attempt } = this.#plan
    const { signal } = this.#controller
    const id = segmentId(attempt, index)
    const from = members[index]?.engine
    if (from === undefined) return
    const segment = valueOf(await from.exportSegment(id, signal))
    valueOf(await to.importSegment(id, attempt, segment.bytes, signal))
  }

  #break (error: unknown): void {
    const aborted = this.#controller.signal.aborted
    this.abort()
    if (aborted) return
    const started = error instanceof SegmentFailure && !this.#sent ? deriveRan(error.failure) : Ran.Yes
    const reason = error instanceof Error ? error.message : String(error)
    this.#listener.broken(this.#plan.attempt, { started, resumable: false, reason: `group: ${reason}`, retryAfter: null })
  }

  async #release (): Promise<void> {
    if (this.#released) return
    this.#released = true
    await Promise.all(this.#plan.members.map(async ({ engine }) => await engine.releaseSegments(this.#plan.attempt)))
  }
}

const valueOf = <Value>(result: Result<Value, CallFailure>): Value => {
  if (!result.ok) throw new SegmentFailure(result.failure)
  return result.value
}
