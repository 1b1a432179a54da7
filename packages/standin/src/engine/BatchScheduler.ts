/** Continuous batching: which sequences share a step, how long it takes and what it yields. No clock and no sockets. */
import type { BlockMemory } from './BlockMemory.js'
import { Sequence } from './Sequence.js'
import { SequenceState, Submission } from './types.js'
import type { EngineOptions, SequenceSpec } from './types.js'

/** Share of the chunk that is left to prefill when decoding fills the batch. */
const LEAST_PREFILL_SHARE = 0.125

/** Weight of the newest step in the reported rates. */
const RATE_WEIGHT = 0.1

interface PrefillPart {
  readonly sequence: Sequence
  readonly tokens: number
}

/** One planned step of the batch. */
export interface Step {
  readonly decodes: readonly Sequence[]
  readonly prefills: readonly PrefillPart[]
  /** Length in milliseconds. */
  readonly durationMs: number
}

/** Load as an engine reports it. */
export interface Load {
  readonly running: number
  readonly waiting: number
  readonly freeTokens: number
  readonly pendingPrefillTokens: number
  readonly prefillTokensPerSecond: number
  readonly decodeTokensPerSecond: number
}

type BatchOptions = Pick<EngineOptions, 'slots' | 'chunkTokens' | 'maxWaiting' | 'stepMs' | 'newTokenMs' | 'contextTokenMs'>

/** The batch of one engine and the queue before it. */
export class BatchScheduler {
  /** Arrival order replaces the priorities. */
  ignorePriorities = false
  private readonly waiting: Sequence[] = []
  private readonly running = new Set<Sequence>()
  private arrivals = 0
  private prefillRate: number
  private decodeRate: number

  /**
   * @param options - sizes and step times
   * @param memory - the engine's blocks
   */
  constructor (private readonly options: BatchOptions, private readonly memory: BlockMemory) {
    this.prefillRate = options.chunkTokens * 1_000 / (options.stepMs + options.newTokenMs * options.chunkTokens)
    this.decodeRate = 1_000 / (options.stepMs + options.newTokenMs)
  }

  /**
   * Queues a sequence.
   *
   * @param spec - its sizes and priority
   * @returns the sequence, or why it was refused
   */
  submit (spec: SequenceSpec): Sequence | Exclude<Submission, 'accepted'> {
    const blocks = Math.ceil((spec.promptTokens + spec.maxTokens) / this.memory.blockTokens)
    if (blocks > this.memory.totalBlocks) return Submission.TooLong
    if (this.waiting.length >= this.options.maxWaiting) return Submission.NoCapacity
    const sequence = new Sequence(spec, this.arrivals++)
    this.enqueue(sequence)
    return sequence
  }

  /**
   * Takes a sequence out and frees its memory.
   *
   * @param sequence - waiting, running or done
   */
  remove (sequence: Sequence): void {
    if (sequence.state === SequenceState.Gone) return
    const index = this.waiting.indexOf(sequence)
    if (index >= 0) this.waiting.splice(index, 1)
    this.running.delete(sequence)
    sequence.state = SequenceState.Gone
    if (sequence.allocation) this.memory.free(sequence.allocation)
    sequence.allocation = null
  }

  /**
   * Plans the next step and starts waiting sequences that fit.
   *
   * @returns the step; null when there is nothing to do
   */
  plan (): Step | null {
    this.admit()
    if (this.running.size === 0) return null
    const decodes: Sequence[] = []
    const prefilling: Sequence[] = []
    for (const sequence of this.running) (sequence.state === SequenceState.Decode ? decodes : prefilling).push(sequence)
    const prefills = this.sharePrefill(prefilling, decodes.length)
    return { decodes, prefills, durationMs: this.duration(decodes, prefills) }
  }

  /**
   * Applies a step that has run.
   *
   * @param step - as planned; sequences removed meanwhile are skipped
   * @returns sequences with a new token or finished prefill
   */
  commit (step: Step): Sequence[] {
    const advanced: Sequence[] = []
    for (const { sequence, tokens } of step.prefills) {
      if (sequence.state === SequenceState.Prefill && this.advancePrefill(sequence, tokens)) advanced.push(sequence)
    }
    for (const sequence of step.decodes) {
      if (sequence.state !== SequenceState.Decode) continue
      this.generate(sequence)
      advanced.push(sequence)
    }
    this.learnRates(step)
    return advanced
  }

  /** Load at this moment. */
  load (): Load {
    let pendingPrefillTokens = 0
    for (const sequence of this.waiting) pendingPrefillTokens += sequence.pendingPrefill
    for (const sequence of this.running) pendingPrefillTokens += sequence.pendingPrefill
    return {
      running: this.running.size,
      waiting: this.waiting.length,
      freeTokens: this.memory.freeTokens,
      pendingPrefillTokens,
      prefillTokensPerSecond: Math.round(this.prefillRate),
      decodeTokensPerSecond: Math.round(this.decodeRate * 10) / 10
    }
  }

  /** Whether no sequence waits or runs. */
  get isIdle (): boolean {
    return this.running.size === 0 && this.waiting.length === 0
  }

  private goesBefore (one: Sequence, other: Sequence): boolean {
    if (one.spec.isResident !== other.spec.isResident) return one.spec.isResident
    if (this.ignorePriorities || one.spec.priority === other.spec.priority) return one.order < other.order
    return one.spec.priority < other.spec.priority
  }

  private enqueue (sequence: Sequence): void {
    let index = this.waiting.length
    while (index > 0 && this.goesBefore(sequence, this.waiting[index - 1]!)) index--
    this.waiting.splice(index, 0, sequence)
  }

  private admit (): void {
    while (this.waiting.length > 0 && this.running.size < this.options.slots) {
      const sequence = this.waiting[0]!
      const { promptTokens, maxTokens, hashes } = sequence.spec
      const allocation = this.memory.allocate(promptTokens + maxTokens, hashes, promptTokens)
      if (!allocation) return
      this.waiting.shift()
      sequence.start(allocation)
      this.running.add(sequence)
    }
  }

  private sharePrefill (prefilling: Sequence[], decoding: number): PrefillPart[] {
    prefilling.sort((one, other) => this.goesBefore(one, other) ? -1 : 1)
    let budget = Math.max(this.options.chunkTokens - decoding, Math.ceil(this.options.chunkTokens * LEAST_PREFILL_SHARE))
    const parts: PrefillPart[] = []
    for (const sequence of prefilling) {
      if (budget === 0) break
      const tokens = Math.min(budget, sequence.pendingPrefill)
      parts.push({ sequence, tokens })
      budget -= tokens
    }
    return parts
  }

  private duration (decodes: readonly Sequence[], prefills: readonly PrefillPart[]): number {
    let newTokens = decodes.length
    let context = 0
    for (const sequence of decodes) context += sequence.contextTokens
    for (const { sequence, tokens } of prefills) {
      newTokens += tokens
      context += sequence.contextTokens
    }
    return this.options.stepMs + this.options.newTokenMs * newTokens + this.options.contextTokenMs * context
  }

  private advancePrefill (sequence: Sequence, tokens: number): boolean {
    sequence.prefilled += tokens
    this.memory.share(sequence.allocation!, sequence.takeComputedBlocks(this.memory.blockTokens))
    if (sequence.pendingPrefill > 0) return false
    sequence.state = SequenceState.Decode
    this.generate(sequence)
    return true
  }

  private generate (sequence: Sequence): void {
    if (sequence.spec.maxTokens > 0) sequence.generated++
    if (sequence.generated < sequence.spec.maxTokens) return
    sequence.state = SequenceState.Done
    this.running.delete(sequence)
  }

  private learnRates (step: Step): void {
    const prefilled = step.prefills.reduce((sum, part) => sum + part.tokens, 0)
    if (prefilled >= this.options.chunkTokens / 2) {
      this.prefillRate += RATE_WEIGHT * (prefilled * 1_000 / step.durationMs - this.prefillRate)
    }
    if (step.decodes.length > 0) this.decodeRate += RATE_WEIGHT * (1_000 / step.durationMs - this.decodeRate)
  }
}
