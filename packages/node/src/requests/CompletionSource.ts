/** Creates the attempts of completion requests. */
import { SendMode } from '@bluebellhill/domain'
import type { AttemptId, RequestSpec, Tokens } from '@bluebellhill/domain'
import type { ModelEngine } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { AnswerEnd } from './Answer.js'
import { ChunkResult } from './Attempt.js'
import type { Attempt, AttemptListener, AttemptSpec } from './Attempt.js'
import { CompletionAttempt } from './CompletionAttempt.js'
import { GroupAttempt, segmentId, splitPrompt } from './GroupAttempt.js'
import { AttemptSource } from './ports.js'
import type { TokenEstimator } from './TokenEstimator.js'

/** Sampling parameters of an OpenAI request body. */
export type SamplingParameters = Readonly<Record<string, unknown>>

/** Returns the client of the engine at an address. */
export type EngineLookup = (address: string) => ModelEngine

/** Creates an attempt source for each completion request. */
export class CompletionSourceFactory {
  readonly #engines: EngineLookup
  readonly #estimator: TokenEstimator

  constructor (engines: EngineLookup, estimator: TokenEstimator) {
    this.#engines = engines
    this.#estimator = estimator
  }

  /**
   * Creates the attempt source of one request.
   *
   * @param spec - the admitted request
   * @param prompt - the prompt text for the engine
   * @param sampling - sampling parameters that are passed to the engine unchanged
   */
  create (spec: RequestSpec, prompt: string, sampling: SamplingParameters): AttemptSource {
    return new CompletionSource(spec, prompt, sampling, this.#engines, this.#estimator)
  }
}

/** Computes each member's share of the prompt. The last member reserves part of its tokens for the answer. */
const segmentSharesOf = ({ grant, groupAddresses }: AttemptSpec, answerTokens: Tokens): number[] => {
  const tokens = grant.groupTokens ?? []
  const last = groupAddresses.length - 1
  return groupAddresses.map((_, index) => Math.max(1, (tokens[index] ?? 1) - (index === last ? answerTokens : 0)))
}

/** Creates the attempts of one completion request and stores the text that its caller already has. */
class CompletionSource extends AttemptSource {
  readonly #spec: RequestSpec
  readonly #prompt: string
  readonly #sampling: SamplingParameters
  readonly #engines: EngineLookup
  readonly #estimator: TokenEstimator
  readonly #relayedTexts: string[] = []
  /** Number of answer tokens that the caller had when the current attempt was first sent. */
  #baseOffset: Tokens = 0
  /** Text of the first `#baseOffset` tokens of the answer; it is appended to the prompt. */
  #baseText = ''

  constructor (spec: RequestSpec, prompt: string, sampling: SamplingParameters, engines: EngineLookup, estimator: TokenEstimator) {
    super()
    this.#spec = spec
    this.#prompt = prompt
    this.#sampling = sampling
    this.#engines = engines
    this.#estimator = estimator
  }

  create (attemptSpec: AttemptSpec, listener: AttemptListener): Attempt {
    if (attemptSpec.mode !== SendMode.Resume) this.#updateBase(attemptSpec)
    const startOffset = attemptSpec.mode === SendMode.Resume ? attemptSpec.generated - this.#baseOffset : 0
    const timeout = Math.max(1, Math.ceil(this.#spec.deadline - monotonicNow()))
    const recordingListener = this.#recordText(listener)
    if (attemptSpec.groupAddresses.length > 0) return this.#createGroupAttempt(attemptSpec, recordingListener, timeout)
    return new CompletionAttempt(this.#engines(attemptSpec.address), attemptSpec, startOffset, this, recordingListener, timeout)
  }

  #createGroupAttempt (attemptSpec: AttemptSpec, listener: AttemptListener, timeout: number): Attempt {
    const { model, version } = this.#spec
    const engines = attemptSpec.groupAddresses.map((address) => this.#engines(address))
    const segments = splitPrompt(this.#prompt + this.#baseText, segmentSharesOf(attemptSpec, this.#spec.maxTokens - this.#baseOffset))
    const members = engines.map((engine, index) => ({ engine, text: segments[index] ?? '' }))
    const last = engines.at(-1) ?? this.#engines(attemptSpec.address)
    // The segments are released when the attempt ends, so a broken stream of a group cannot be resumed.
    const decodeListener: AttemptListener = { ...listener, sending: () => {}, broken: (attempt, reason) => listener.broken(attempt, { ...reason, resumable: false }) }
    const decode = new CompletionAttempt(last, attemptSpec, 0, this, decodeListener, timeout)
    return new GroupAttempt({ attempt: attemptSpec.attempt, members, model, version, priority: attemptSpec.grant.priority, timeout }, listener, decode)
  }

  async cancel (address: string, attempt: AttemptId): Promise<void> {
    await this.#engines(address).cancel(attempt)
  }

  /** Encodes the JSON body of one attempt. */
  encode (attemptSpec: AttemptSpec): string {
    const { model, version, adapter } = this.#spec
    return JSON.stringify({
      ...this.#sampling,
      model,
      version: version ?? undefined,
      adapter: adapter ?? undefined,
      prompt: this.#prompt + this.#baseText,
      max_tokens: this.#spec.maxTokens - this.#baseOffset,
      stream: true,
      request_id: attemptSpec.attempt,
      priority: attemptSpec.grant.priority,
      group: attemptSpec.groupAddresses.length === 0 ? undefined : { segments: attemptSpec.groupAddresses.map((_, index) => segmentId(attemptSpec.attempt, index)) },
      resume: attemptSpec.mode === SendMode.Resume ? { offset: attemptSpec.generated - this.#baseOffset } : undefined
    })
  }

  #updateBase (attemptSpec: AttemptSpec): void {
    this.#baseOffset = attemptSpec.generated
    this.#baseText = this.#relayedTexts.join('')
  }

  #recordText (listener: AttemptListener): AttemptListener {
    return {
      sending: (attempt) => listener.sending(attempt),
      chunkReceived: (attempt, offset, count, text) => {
        const result = listener.chunkReceived(attempt, offset, count, text)
        if (result !== ChunkResult.Dropped) this.#relayedTexts.push(text)
        return result
      },
      foreignChunkReceived: (attempt) => listener.foreignChunkReceived(attempt),
      completed: (attempt, end) => this.#completed(listener, attempt, end),
      broken: (attempt, reason) => listener.broken(attempt, reason),
      drained: () => listener.drained()
    }
  }

  #completed (listener: AttemptListener, attempt: AttemptId, end: AnswerEnd): void {
    if (this.#baseOffset > 0) return listener.completed(attempt, this.#withRequestPromptTokens(end))
    this.#estimator.recordUsage(this.#spec.model, Buffer.byteLength(this.#prompt), end.usage.promptTokens)
    listener.completed(attempt, end)
  }

  /** Replaces the prompt token count: an engine that continues an answer counts the earlier answer tokens as prompt tokens. */
  #withRequestPromptTokens (end: AnswerEnd): AnswerEnd {
    return { ...end, usage: { ...end.usage, promptTokens: this.#spec.promptTokens } }
  }
}
