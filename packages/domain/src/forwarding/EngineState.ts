/** Predicts prefill and pass times of one engine, and the loss that another request there would cause to those it has. */
import type { Millis, Tokens } from '../types.js'
import { DISCONNECT_LOSS, FURTHER_LOSS_PER_SECOND, LATE_LOSS_SHARE, USABLE_OBJECTIVE_SHARE, SHARED_MEMORY_SHARE, VALUE_EXPONENT, VALUE_UNIT_TOKENS } from './placementConstants.js'
import type { EngineTimingModel } from './EngineTimingModel.js'
import type { Assignment } from './assignment.js'
import type { ServerLoad } from './FleetAssignments.js'
import type { Candidate, PlacementRequest } from './PlacementPolicy.js'
import type { PendingPrefill } from './PrefillQueue.js'
import { callerPauseTolerance, callerWaitTime } from './streamTimeouts.js'
import type { BackendServer } from './types.js'

const MS_PER_SECOND = 1_000

/** Expected loss of value by request id; for each request the greatest loss over the engines of one placement. */
export type LossByRequest = Map<string, number>

/**
 * @param prompt - length of a prompt
 * @returns the value of serving it on time, where a prompt of `VALUE_UNIT_TOKENS` has the value 1
 */
export const requestValue = (prompt: Tokens): number => (prompt / VALUE_UNIT_TOKENS) ** VALUE_EXPONENT

/**
 * @param losses - losses by request
 * @returns sum of the losses
 */
export const totalLoss = (losses: LossByRequest): number => [...losses.values()].reduce((sum, loss) => sum + loss, 0)

/** Predicted state of one engine at one moment. */
export class EngineState {
  readonly server: BackendServer
  /** Time until all pending prefills of the engine are done. */
  readonly pendingPrefill: Millis
  /** Duration of its passes without prefill. */
  readonly passTime: Millis
  /** Number of its own requests, in prefill or in decode; segments that it prefills for other engines are not counted. */
  readonly requestCount: number
  /** KV cache memory that its requests and reservations use. */
  readonly usedMemory: Tokens
  readonly freeMemory: Tokens
  readonly #slowdown: number
  readonly #requests: readonly Assignment[]
  readonly #decoding: readonly Assignment[]
  readonly #pendingPrefills: readonly PendingPrefill[]
  readonly #timing: EngineTimingModel
  readonly #now: Millis
  readonly #contextTokens: Tokens
  readonly #waitingDeferredCount: number

  /**
   * @param candidate - the engine
   * @param load - its current load
   * @param timing - timing model of its service
   * @param now - current time
   * @param tieBreakRank - from 0 to 1; of otherwise equal engines the one with the lowest rank is chosen
   */
  constructor (candidate: Candidate, load: ServerLoad, timing: EngineTimingModel, now: Millis, readonly tieBreakRank: number) {
    const { server, slowdown } = candidate
    this.server = server
    this.#slowdown = slowdown
    // Deferred requests are prefilled when nothing else waits for a slot.
    this.#pendingPrefills = load.pending.filter(({ assignment }) => !assignment.isDeferred || assignment.server !== server.id)
    this.#requests = load.requests
    this.#decoding = load.requests.filter(({ isPrefilled }) => isPrefilled)
    this.#timing = timing
    this.#now = now
    this.#contextTokens = this.#decoding.reduce((sum, { prompt, answer }) => sum + prompt + answer / 2, 0)
    this.passTime = slowdown * timing.passTime(this.#decoding.length, this.#contextTokens)
    this.requestCount = load.requests.length
    this.#waitingDeferredCount = load.requests.filter(({ isDeferred, isPrefilled }) => isDeferred && !isPrefilled).length
    this.usedMemory = load.requests.reduce((sum, assignment) => sum + memoryUse(assignment), load.reservedTokens)
    this.freeMemory = sharedFreeMemory(this.usedMemory, timing.figures.memory)
    this.pendingPrefill = slowdown * this.#pendingPrefills.reduce((sum, { remaining }) => sum + remaining, 0)
  }

  /** Whether another request can start there without waiting for a slot. */
  get hasFreeSlot (): boolean {
    return this.requestCount < this.server.slots
  }

  /** Time until another request would get a slot that is admitted before all deferred ones. */
  get slotWait (): Millis {
    return this.#waitBehind(this.requestCount - this.#waitingDeferredCount)
  }

  /** Time until another deferred request would get a slot. */
  get deferredSlotWait (): Millis {
    return this.#waitBehind(this.requestCount)
  }

  /** Whether it can prefill another segment for another engine. */
  get canHelp (): boolean {
    return this.#pendingPrefills.filter(({ assignment }) => assignment.server !== this.server.id).length < this.server.slots
  }

  /**
   * @param maxPause - a pause objective
   * @returns number of its requests whose pause objective is at most that long
   */
  tightPauseCount (maxPause: Millis): number {
    const own = this.#pendingPrefills.filter(({ assignment }) => assignment.server === this.server.id).map(({ assignment }) => assignment)
    return [...this.#decoding, ...own].filter(({ pauseObjective }) => pauseObjective !== null && pauseObjective <= maxPause).length
  }

  /**
   * Engines prefill segments of divided prompts before whole prompts, the newest segment first. If the engine has requests of
   * its own, its current pass, with all prefills in it, finishes first.
   *
   * @param segmentTime - prefill time of the segment on an engine at its published speed
   * @returns time until the segment would be prefilled
   */
  timeUntilSegmentDone (segmentTime: Millis): Millis {
    const currentPassPrefill = this.requestCount > 0 ? this.pendingPrefill : 0
    return currentPassPrefill + this.passTime + segmentTime * this.#slowdown
  }

  /**
   * @param prefillTime - prefill time of a whole prompt on an engine at its published speed
   * @returns time until the prompt would be prefilled, after all pending prefills
   */
  timeUntilPromptDone (prefillTime: Millis): Millis {
    return this.pendingPrefill + this.passTime + prefillTime * this.#slowdown
  }

  /**
   * @param prompt - prompt length of an additional request
   * @returns duration of a pass in which that request is decoded too
   */
  passTimeWith (prompt: Tokens): Millis {
    return this.#slowdown * this.#timing.passTime(this.#decoding.length + 1, this.#contextTokens + prompt)
  }

  /**
   * Adds the losses that prefilling a segment here would cause to the requests of this engine.
   *
   * @param losses - greatest loss of each request over all engines of the placement; updated
   * @param segmentTime - prefill time of the segment on an engine at its published speed
   * @param passTime - duration of later passes
   */
  addSegmentLoss (losses: LossByRequest, segmentTime: Millis, passTime: Millis = this.passTime): void {
    const delay = segmentTime * this.#slowdown
    this.#addPauseLoss(losses, delay + passTime - this.passTime)
    let prefilledIn = this.passTime
    for (const { assignment, remaining } of this.#pendingPrefills) {
      prefilledIn += remaining * this.#slowdown
      addLoss(losses, assignment, safeDueTime(assignment) - this.#now - prefilledIn, delay)
      addDisconnectLoss(losses, assignment, leavingTime(assignment) - this.#now - prefilledIn, delay)
    }
  }

  /**
   * Adds the losses that prefilling a whole prompt here, after all pending prefills, would cause to the requests of this engine.
   *
   * @param losses - greatest loss of each request over all engines of the placement; updated
   * @param prefillTime - prefill time of the prompt on an engine at its published speed
   * @param passTime - duration of later passes
   */
  addPromptLoss (losses: LossByRequest, prefillTime: Millis, passTime: Millis): void {
    this.#addPauseLoss(losses, prefillTime * this.#slowdown + passTime - this.passTime)
  }

  /** @returns time until each of its pending prefills is done, by request */
  prefillEnds (): Map<string, Millis> {
    let end = this.passTime
    return new Map(this.#pendingPrefills.map(({ assignment, remaining }) => {
      end += remaining * this.#slowdown
      return [assignment.id, end]
    }))
  }

  /**
   * Predicts when its requests end if it gets no others. Those beyond its slots start when earlier ones end, the deferred ones
   * last.
   *
   * @param prefilledIn - time until the prompts that are not prefilled are, on all engines that prefill segments of them
   * @returns time until each of its requests ends, by request
   */
  expectedEnds (prefilledIn: ReadonlyMap<string, Millis>): Map<string, Millis> {
    const ends = new Map(this.#decoding.map((assignment) => [assignment.id, this.#decodingEnd(assignment)]))
    const waiting = this.#requests.filter(({ isPrefilled }) => !isPrefilled)
    for (const assignment of waiting.sort((a, b) => Number(a.isDeferred) - Number(b.isDeferred) || a.sentAt - b.sentAt)) {
      const slotFreeIn = [...ends.values()].sort((a, b) => a - b)[ends.size - this.server.slots] ?? 0
      const prefillTime = assignment.prefillTime * this.#slowdown
      const prefilled = Math.max(prefilledIn.get(assignment.id) ?? this.pendingPrefill + prefillTime, slotFreeIn > 0 ? slotFreeIn + prefillTime : 0)
      ends.set(assignment.id, prefilled + this.#answerTime(assignment.answer))
    }
    return this.#withShorterPasses(ends)
  }

  /** Passes become shorter as requests end; the given times assume that all requests stay until the last one ends. */
  #withShorterPasses (ends: ReadonlyMap<string, Millis>): Map<string, Millis> {
    const remaining = [...this.#requests].sort((a, b) => (ends.get(a.id) ?? 0) - (ends.get(b.id) ?? 0))
    const fullPass = this.#sharedPassTime(remaining)
    const corrected = new Map<string, Millis>()
    let [previous, time] = [this.pendingPrefill, this.pendingPrefill]
    for (let next = remaining[0]; next !== undefined; next = remaining[0]) {
      const end = ends.get(next.id) ?? previous
      time += (end - previous) * this.#sharedPassTime(remaining) / fullPass
      previous = end
      corrected.set(next.id, time)
      remaining.shift()
    }
    return corrected
  }

  /** Decoding stands still during prefills: time that they have taken since its first event does not count as progress. */
  #decodingEnd (assignment: Assignment): Millis {
    const prefilledAt = prefilledTime(assignment, this.#slowdown)
    const laterPrefills = this.#decoding.filter((other) => prefilledTime(other, this.#slowdown) > prefilledAt)
    const inProgress = this.#pendingPrefills.reduce((sum, { assignment: { prefillTime }, remaining }) => sum + Math.max(0, prefillTime - remaining), 0)
    const interrupted = this.#slowdown * laterPrefills.reduce((sum, { prefillTime }) => sum + prefillTime, inProgress)
    // The first event contains the tokens of one pass.
    const remaining = this.#answerTime(assignment.answer - this.#timing.figures.stepsPerPass) + interrupted - (this.#now - prefilledAt)
    return Math.max(this.passTime, remaining) + this.pendingPrefill
  }

  /** Time to decode tokens of an answer beside all requests that the engine has. */
  #answerTime (tokens: Tokens): Millis {
    return Math.ceil(tokens / this.#timing.figures.stepsPerPass) * this.#sharedPassTime(this.#requests)
  }

  /** Duration of a pass that decodes these requests, as many of them as there are slots. */
  #sharedPassTime (requests: readonly Assignment[]): Millis {
    const context = requests.reduce((sum, { prompt, answer }) => sum + prompt + answer / 2, 0)
    return this.#slowdown * this.#timing.passTime(Math.min(requests.length, this.server.slots), context)
  }

  /** Requests beyond the slots wait until others end; ends are assumed to be evenly spread over the time that an answer takes. */
  #waitBehind (requests: number): Millis {
    const { slots } = this.server
    const ahead = requests - slots + 1
    if (ahead <= 0) return 0
    const answerTime = this.#slowdown * this.#timing.decodeTime(this.#timing.figures.usualAnswer, slots, this.#contextTokens)
    return ahead * answerTime / Math.max(1, slots)
  }

  #addPauseLoss (losses: LossByRequest, delay: Millis): void {
    const expectedPause = this.passTime + this.pendingPrefill
    for (const assignment of this.#decoding) {
      if (assignment.pauseObjective !== null) addLoss(losses, assignment, assignment.pauseObjective * USABLE_OBJECTIVE_SHARE - expectedPause, delay)
      addDisconnectLoss(losses, assignment, callerPauseTolerance(assignment.pauseObjective) * USABLE_OBJECTIVE_SHARE - expectedPause, delay)
    }
  }
}

/** Due time with a safety margin, so that a prediction error does not make the first event late. */
const safeDueTime = ({ sentAt, dueAt }: Assignment): Millis => sentAt + USABLE_OBJECTIVE_SHARE * (dueAt - sentAt)

/** Time at which the caller disconnects unless the first event has arrived, with the same margin as the due time. */
const leavingTime = ({ sentAt, dueAt }: Assignment): Millis => sentAt + USABLE_OBJECTIVE_SHARE * callerWaitTime(dueAt - sentAt)

/** Adds the loss of a request whose caller would wait without the delay and disconnects because of it. */
const addDisconnectLoss = (losses: LossByRequest, { id, prompt }: Assignment, slack: Millis, delay: Millis): void => {
  if (slack > 0 && delay > slack) losses.set(id, Math.max(losses.get(id) ?? 0, requestValue(prompt) + DISCONNECT_LOSS))
}

/** Adds the loss of a request if `delay` exceeds its slack; the loss of a request that is late already grows with the delay. */
const addLoss = (losses: LossByRequest, { id, prompt }: Assignment, slack: Millis, delay: Millis): void => {
  if (delay <= slack) return
  const lossShare = slack > 0 ? LATE_LOSS_SHARE : Math.min(LATE_LOSS_SHARE, FURTHER_LOSS_PER_SECOND * delay / MS_PER_SECOND)
  losses.set(id, Math.max(losses.get(id) ?? 0, lossShare * requestValue(prompt)))
}

/** Time of the first event; if it was reported without one, the earliest time possible. */
const prefilledTime = ({ prefilledAt, sentAt, prefillTime }: Assignment, slowdown: number): Millis => prefilledAt ?? sentAt + slowdown * prefillTime

/**
 * @param used - KV cache memory in use on an engine
 * @param memory - its total KV cache memory
 * @returns memory available to another request; only a request that is alone on an engine may use all of it
 */
export const sharedFreeMemory = (used: Tokens, memory: Tokens): Tokens => used === 0 ? memory : memory * SHARED_MEMORY_SHARE - used

/**
 * @param assignment - a request
 * @returns KV cache memory that it uses on the engine that decodes it, without what its holders keep
 */
export const memoryUse = ({ prompt, answer, reservations }: Assignment): Tokens =>
  prompt + answer - reservations.reduce((sum, { tokens }) => sum + tokens, 0)

/**
 * @param request - a request to be placed
 * @returns KV cache memory that its prompt and its expected answer need
 */
export const memoryDemand = ({ size, timing }: PlacementRequest): Tokens =>
  size.prompt + Math.min(size.mostAnswer, timing.figures.usualAnswer)
