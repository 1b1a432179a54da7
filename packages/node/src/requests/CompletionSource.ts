/** Starts the tries of one completion. */
import { SendMode } from '@bluebellhill/domain'
import type { AttemptId, RequestSpec, Tokens } from '@bluebellhill/domain'
import type { ModelEngine } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { AnswerEnd } from './Answer.js'
import { ChunkFate } from './Attempt.js'
import type { Attempt, AttemptListener, AttemptOrder } from './Attempt.js'
import { CompletionAttempt } from './CompletionAttempt.js'
import { GroupAttempt, segmentId, splitPrompt } from './GroupAttempt.js'
import { AttemptSource } from './ports.js'
import type { TokenEstimator } from './TokenEstimator.js'

/** Sampling fields of an OpenAI body. */
export type Sampling = Readonly<Record<string, unknown>>

/** Gives the client of an engine by its address. */
export type EngineSource = (address: string) => ModelEngine

/** Makes the sources of all completions. */
export class CompletionSources {
  readonly #engines: EngineSource
  readonly #estimator: TokenEstimator

  constructor (engines: EngineSource, estimator: TokenEstimator) {
    this.#engines = engines
    this.#estimator = estimator
  }

  /**
   * Makes the source of one request.
   *
   * @param spec - the admitted request
   * @param prompt - the text for the engine
   * @param sampling - sampling fields that are handed to the engine as they are
   */
  create (spec: RequestSpec, prompt: string, sampling: Sampling): AttemptSource {
    return new CompletionSource(spec, prompt, sampling, this.#engines, this.#estimator)
  }
}

/** The last member also holds the answer. */
const sharesOf = ({ grant, groupAddresses }: AttemptOrder, answerTokens: Tokens): number[] => {
  const tokens = grant.groupTokens ?? []
  const last = groupAddresses.length - 1
  return groupAddresses.map((_, index) => Math.max(1, (tokens[index] ?? 1) - (index === last ? answerTokens : 0)))
}

/** Knows a completion's prompt, and the text that its caller already has. */
class CompletionSource extends AttemptSource {
  readonly #spec: RequestSpec
  readonly #prompt: string
  readonly #sampling: Sampling
  readonly #engines: EngineSource
  readonly #estimator: TokenEstimator
  readonly #sent: string[] = []
  /** Tokens that the caller had when the current attempt was first sent. */
  #base: Tokens = 0
  /** The text of those tokens. */
  #before = ''

  constructor (spec: RequestSpec, prompt: string, sampling: Sampling, engines: EngineSource, estimator: TokenEstimator) {
    super()
    this.#spec = spec
    this.#prompt = prompt
    this.#sampling = sampling
    this.#engines = engines
    this.#estimator = estimator
  }

  create (order: AttemptOrder, listener: AttemptListener): Attempt {
    if (order.mode !== SendMode.Resume) this.#rebase(order)
    const start = order.mode === SendMode.Resume ? order.generated - this.#base : 0
    const timeout = Math.max(1, Math.ceil(this.#spec.deadline - monotonicNow()))
    const keeping = this.#keepText(listener)
    if (order.groupAddresses.length > 0) return this.#createGroup(order, keeping, timeout)
    return new CompletionAttempt(this.#engines(order.address), order, start, this, keeping, timeout)
  }

  #createGroup (order: AttemptOrder, listener: AttemptListener, timeout: number): Attempt {
    const { model, version } = this.#spec
    const engines = order.groupAddresses.map((address) => this.#engines(address))
    const parts = splitPrompt(this.#prompt + this.#before, sharesOf(order, this.#spec.maxTokens - this.#base))
    const members = engines.map((engine, index) => ({ engine, text: parts[index] ?? '' }))
    const last = engines.at(-1) ?? this.#engines(order.address)
    // Its segments are released with the attempt, so a broken stream of a group starts anew.
    const untilBroken: AttemptListener = { ...listener, sending: () => {}, broken: (attempt, reason) => listener.broken(attempt, { ...reason, resumable: false }) }
    const decode = new CompletionAttempt(last, order, 0, this, untilBroken, timeout)
    return new GroupAttempt({ attempt: order.attempt, members, model, version, priority: order.grant.priority, timeout }, listener, decode)
  }

  async cancel (address: string, attempt: AttemptId): Promise<void> {
    await this.#engines(address).cancel(attempt)
  }

  /** Writes the JSON body of one try. */
  encode (order: AttemptOrder): string {
    const { model, version, adapter } = this.#spec
    return JSON.stringify({
      ...this.#sampling,
      model,
      version: version ?? undefined,
      adapter: adapter ?? undefined,
      prompt: this.#prompt + this.#before,
      max_tokens: this.#spec.maxTokens - this.#base,
      stream: true,
      request_id: order.attempt,
      priority: order.grant.priority,
      group: order.groupAddresses.length === 0 ? undefined : { segments: order.groupAddresses.map((_, index) => segmentId(order.attempt, index)) },
      resume: order.mode === SendMode.Resume ? { offset: order.generated - this.#base } : undefined
    })
  }

  #rebase (order: AttemptOrder): void {
    this.#base = order.generated
    this.#before = this.#sent.join('')
  }

  #keepText (listener: AttemptListener): AttemptListener {
    return {
      sending: (attempt) => listener.sending(attempt),
      chunk: (attempt, offset, count, text) => {
        const fate = listener.chunk(attempt, offset, count, text)
        if (fate !== ChunkFate.Dropped) this.#sent.push(text)
        return fate
      },
      crossed: (attempt) => listener.crossed(attempt),
      completed: (attempt, end) => this.#completed(listener, attempt, end),
      broken: (attempt, reason) => listener.broken(attempt, reason),
      drained: () => listener.drained()
    }
  }

  #completed (listener: AttemptListener, attempt: AttemptId, end: AnswerEnd): void {
    if (this.#base > 0) return listener.completed(attempt, this.#withOwnPrompt(end))
    this.#estimator.learn(this.#spec.model, Buffer.byteLength(this.#prompt), end.usage.promptTokens)
    listener.completed(attempt, end)
  }

  /** An engine that continued an answer counts the earlier tokens to the prompt. */
  #withOwnPrompt (end: AnswerEnd): AnswerEnd {
    return { ...end, usage: { ...end.usage, promptTokens: this.#spec.promptTokens } }
  }
}
