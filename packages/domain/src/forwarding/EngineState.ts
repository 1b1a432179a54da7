/** What one engine is predicted to do next, and whom further work there would harm. */
import type { Millis, Tokens } from '../types.js'
import { FURTHER_LOSS_PER_SECOND, LATE_LOSS_SHARE, USABLE_OBJECTIVE_SHARE, SHARED_MEMORY_SHARE, VALUE_EXPONENT, VALUE_UNIT_TOKENS } from './placementConstants.js'
import type { EngineTimingModel } from './EngineTimingModel.js'
import type { ServerLoad, Assignment } from './FleetAssignments.js'
import type { Candidate } from './PlacementPolicy.js'
import type { PendingPrefill } from './PrefillQueue.js'
import type { BackendServer } from './types.js'

const MS_PER_SECOND = 1_000

/** Losses by request, each the greatest over the engines of one choice. */
export type LossByRequest = Map<string, number>

/**
 * @param prompt - length of a prompt
 * @returns what serving it on time is worth, in units of a short request
 */
export const requestValue = (prompt: Tokens): number => (prompt / VALUE_UNIT_TOKENS) ** VALUE_EXPONENT

/**
 * @param losses - losses by request
 * @returns their sum
 */
export const totalLoss = (losses: LossByRequest): number => [...losses.values()].reduce((sum, loss) => sum + loss, 0)

/** A prediction for one engine at one moment. */
export class EngineState {
  readonly server: BackendServer
  /** Time until everything that is to be read there is read. */
  readonly pendingPrefill: Millis
  /** Length of its passes without reading. */
  readonly passTime: Millis
  /** Requests that it reads for itself or writes for. */
  readonly requestCount: number
  readonly freeMemory: Tokens
  readonly #slowdown: number
  readonly #decoding: readonly Assignment[]
  readonly #pendingPrefills: readonly PendingPrefill[]
  readonly #timing: EngineTimingModel
  readonly #now: Millis
  readonly #contextTokens: Tokens

  /**
   * @param candidate - the engine
   * @param load - its work
   * @param timing - its timings
   * @param now - time
   * @param tieBreakRank - from 0 to 1; of engines that are alike, the one with the lowest is chosen
   */
  constructor ({ server, slowdown }: Candidate, load: ServerLoad, timing: EngineTimingModel, now: Millis, readonly tieBreakRank: number) {
    this.server = server
    this.#slowdown = slowdown
    this.#pendingPrefills = load.pending
    this.#decoding = load.requests.filter(({ isPrefilled }) => isPrefilled)
    this.#timing = timing
    this.#now = now
    this.#contextTokens = this.#decoding.reduce((sum, { prompt, answer }) => sum + prompt + answer / 2, 0)
    this.passTime = slowdown * timing.passTime(this.#decoding.length, this.#contextTokens)
    this.requestCount = load.requests.length
    this.freeMemory = freeMemory(load, timing.figures.memory)
    this.pendingPrefill = slowdown * load.pending.reduce((sum, { remaining }) => sum + remaining, 0)
  }

  /** Whether another request can begin there at once. */
  get hasFreeSlot (): boolean {
    return this.requestCount < this.server.slots
  }

  /** Whether it can read a part of another prompt. */
  get canHelp (): boolean {
    return this.#pendingPrefills.filter(({ assignment }) => assignment.server !== this.server.id).length < this.server.slots
  }

  /**
   * @param maxPause - longest pause between events
   * @returns how many requests there allow no longer pauses
   */
  tightPauseCount (maxPause: Millis): number {
    const own = this.#pendingPrefills.filter(({ assignment: work }) => work.server === this.server.id).map(({ assignment: work }) => work)
    return [...this.#decoding, ...own].filter(({ pauseObjective }) => pauseObjective !== null && pauseObjective <= maxPause).length
  }

  /**
   * Engines read parts of divided prompts before everything else, the newest first. Where answers are written, the
   * pass that is under way comes before that, with all that it reads.
   *
   * @param segmentTime - time that a part of a divided prompt takes to read on a sound engine
   * @returns time until it would be read
   */
  timeUntilSegmentDone (segmentTime: Millis): Millis {
    const currentPassPrefill = this.#decoding.length > 0 ? this.pendingPrefill : 0
    return currentPassPrefill + this.passTime + segmentTime * this.#slowdown
  }

  /**
   * @param prefillTime - time that a whole prompt takes to read on a sound engine
   * @returns time until it would be read, behind all that waits there
   */
  timeUntilPromptDone (prefillTime: Millis): Millis {
    return this.pendingPrefill + this.passTime + prefillTime * this.#slowdown
  }

  /**
   * @param prompt - length of the prompt that would be written for
   * @returns length of a pass with one more answer
   */
  passTimeWith (prompt: Tokens): Millis {
    return this.#slowdown * this.#timing.passTime(this.#decoding.length + 1, this.#contextTokens + prompt)
  }

  /**
   * Enters what a part of a divided prompt would cost the requests here.
   *
   * @param losses - the greatest loss of each request, over all engines of a choice
   * @param segmentTime - time that the part takes to read on a sound engine
   * @param passTime - length of the passes from then on
   */
  addSegmentLoss (losses: LossByRequest, segmentTime: Millis, passTime: Millis = this.passTime): void {
    const delay = segmentTime * this.#slowdown
    this.#addPauseLoss(losses, delay + passTime - this.passTime)
    let prefilledIn = this.passTime
    for (const { assignment, remaining } of this.#pendingPrefills) {
      prefilledIn += remaining * this.#slowdown
      addLoss(losses, assignment, safeDueTime(assignment) - this.#now - prefilledIn, delay)
    }
  }

  /**
   * Enters what a whole prompt, behind all others, would cost the requests here.
   *
   * @param losses - the greatest loss of each request, over all engines of a choice
   * @param prefillTime - time that the prompt takes to read on a sound engine
   * @param passTime - length of the passes from then on
   */
  addPromptLoss (losses: LossByRequest, prefillTime: Millis, passTime: Millis): void {
    this.#addPauseLoss(losses, prefillTime * this.#slowdown + passTime - this.passTime)
  }

  #addPauseLoss (losses: LossByRequest, delay: Millis): void {
    const expectedPause = this.passTime + this.pendingPrefill
    for (const assignment of this.#decoding) {
      if (assignment.pauseObjective !== null) addLoss(losses, assignment, assignment.pauseObjective * USABLE_OBJECTIVE_SHARE - expectedPause, delay)
    }
  }
}

/** A little before its objective, so that the error of a prediction does not make it late. */
const safeDueTime = ({ sentAt, dueAt }: Assignment): Millis => sentAt + USABLE_OBJECTIVE_SHARE * (dueAt - sentAt)

/** What a request loses where `added` exceeds the time that it has to spare; one that is late already loses by the delay. */
const addLoss = (losses: LossByRequest, { id, prompt }: Assignment, slack: Millis, delay: Millis): void => {
  if (delay <= slack) return
  const lossShare = slack > 0 ? LATE_LOSS_SHARE : Math.min(LATE_LOSS_SHARE, FURTHER_LOSS_PER_SECOND * delay / MS_PER_SECOND)
  losses.set(id, Math.max(losses.get(id) ?? 0, lossShare * requestValue(prompt)))
}

/** Only a prompt alone may use the whole memory of an engine. */
const freeMemory = ({ requests, reservedTokens: held }: ServerLoad, memory: Tokens): Tokens => {
  const used = requests.reduce((sum, work) => sum + memoryUse(work), held)
  return used === 0 ? memory : memory * SHARED_MEMORY_SHARE - used
}

/** Memory that a request takes on the engine that writes for it. */
const memoryUse = ({ prompt, answer, reservations }: Assignment): Tokens =>
  prompt + answer - reservations.reduce((sum, { tokens }) => sum + tokens, 0)
