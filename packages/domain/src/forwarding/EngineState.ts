/** What one engine is predicted to do next, and whom further work there would harm. */
import type { Millis, Tokens } from '../types.js'
import { FURTHER_HARM_PER_SECOND, LATE_LOSS, OBJECTIVE_SHARE, SHARED_MEMORY_SHARE, VALUE_EXPONENT, VALUE_UNIT_TOKENS } from './constants.js'
import type { EngineModel } from './EngineModel.js'
import type { RunnerWork, Work } from './FleetWork.js'
import type { Candidate } from './PlacementPolicy.js'
import type { PendingReading } from './ReadingQueue.js'
import type { BackendServer } from './types.js'

const MS_PER_SECOND = 1_000

/** Losses by request, each the greatest over the engines of one choice. */
export type Harm = Map<string, number>

/**
 * @param prompt - length of a prompt
 * @returns what serving it on time is worth, in units of a short request
 */
export const valueOf = (prompt: Tokens): number => (prompt / VALUE_UNIT_TOKENS) ** VALUE_EXPONENT

/**
 * @param harm - losses by request
 * @returns their sum
 */
export const totalOf = (harm: Harm): number => [...harm.values()].reduce((sum, loss) => sum + loss, 0)

/** A prediction for one engine at one moment. */
export class EngineState {
  readonly server: BackendServer
  /** Time until everything that is to be read there is read. */
  readonly pendingReading: Millis
  /** Length of its passes without reading. */
  readonly pass: Millis
  /** Requests that it reads for itself or writes for. */
  readonly requests: number
  readonly freeMemory: Tokens
  readonly #slowdown: number
  readonly #writing: readonly Work[]
  readonly #pending: readonly PendingReading[]
  readonly #model: EngineModel
  readonly #now: Millis
  readonly #context: Tokens

  /**
   * @param candidate - the engine
   * @param work - its work
   * @param model - its timings
   * @param now - time
   * @param preference - from 0 to 1; of engines that are alike, the one with the lowest is chosen
   */
  constructor ({ server, slowdown }: Candidate, work: RunnerWork, model: EngineModel, now: Millis, readonly preference: number) {
    this.server = server
    this.#slowdown = slowdown
    this.#pending = work.pending
    this.#writing = work.requests.filter(({ isRead }) => isRead)
    this.#model = model
    this.#now = now
    this.#context = this.#writing.reduce((sum, { prompt, answer }) => sum + prompt + answer / 2, 0)
    this.pass = slowdown * model.pass(this.#writing.length, this.#context)
    this.requests = work.requests.length
    this.freeMemory = freeMemory(work, model.figures.memory)
    this.pendingReading = slowdown * work.pending.reduce((sum, { left }) => sum + left, 0)
  }

  /** Whether another request can begin there at once. */
  get hasSlot (): boolean {
    return this.requests < this.server.slots
  }

  /** Whether it can read a part of another prompt. */
  get canHelp (): boolean {
    return this.#pending.filter(({ work }) => work.runner !== this.server.id).length < this.server.slots
  }

  /**
   * @param pause - longest pause between events
   * @returns how many requests there allow no longer pauses
   */
  tightRequests (pause: Millis): number {
    const own = this.#pending.filter(({ work }) => work.runner === this.server.id).map(({ work }) => work)
    return [...this.#writing, ...own].filter(({ pauseObjective }) => pauseObjective !== null && pauseObjective <= pause).length
  }

  /**
   * Engines read parts of divided prompts before everything else, the newest first. Where answers are written, the
   * pass that is under way comes before that, with all that it reads.
   *
   * @param part - time that a part of a divided prompt takes to read on a sound engine
   * @returns time until it would be read
   */
  partFinish (part: Millis): Millis {
    const underWay = this.#writing.length > 0 ? this.pendingReading : 0
    return underWay + this.pass + part * this.#slowdown
  }

  /**
   * @param reading - time that a whole prompt takes to read on a sound engine
   * @returns time until it would be read, behind all that waits there
   */
  wholeFinish (reading: Millis): Millis {
    return this.pendingReading + this.pass + reading * this.#slowdown
  }

  /**
   * @param prompt - length of the prompt that would be written for
   * @returns length of a pass with one more answer
   */
  passWith (prompt: Tokens): Millis {
    return this.#slowdown * this.#model.pass(this.#writing.length + 1, this.#context + prompt)
  }

  /**
   * Enters what a part of a divided prompt would cost the requests here.
   *
   * @param harm - the greatest loss of each request, over all engines of a choice
   * @param part - time that the part takes to read on a sound engine
   * @param pass - length of the passes from then on
   */
  addPartHarm (harm: Harm, part: Millis, pass: Millis = this.pass): void {
    const added = part * this.#slowdown
    this.#addPauseHarm(harm, added + pass - this.pass)
    let before = this.pass
    for (const { work, left } of this.#pending) {
      before += left * this.#slowdown
      enter(harm, work, safelyDueAt(work) - this.#now - before, added)
    }
  }

  /**
   * Enters what a whole prompt, behind all others, would cost the requests here.
   *
   * @param harm - the greatest loss of each request, over all engines of a choice
   * @param reading - time that the prompt takes to read on a sound engine
   * @param pass - length of the passes from then on
   */
  addWholeHarm (harm: Harm, reading: Millis, pass: Millis): void {
    this.#addPauseHarm(harm, reading * this.#slowdown + pass - this.pass)
  }

  #addPauseHarm (harm: Harm, added: Millis): void {
    const waiting = this.pass + this.pendingReading
    for (const work of this.#writing) {
      if (work.pauseObjective !== null) enter(harm, work, work.pauseObjective * OBJECTIVE_SHARE - waiting, added)
    }
  }
}

/** A little before its objective, so that the error of a prediction does not make it late. */
const safelyDueAt = ({ sentAt, dueAt }: Work): Millis => sentAt + OBJECTIVE_SHARE * (dueAt - sentAt)

/** What a request loses where `added` exceeds the time that it has to spare; one that is late already loses by the delay. */
const enter = (harm: Harm, { id, prompt }: Work, spare: Millis, added: Millis): void => {
  if (added <= spare) return
  const share = spare > 0 ? LATE_LOSS : Math.min(LATE_LOSS, FURTHER_HARM_PER_SECOND * added / MS_PER_SECOND)
  harm.set(id, Math.max(harm.get(id) ?? 0, share * valueOf(prompt)))
}

/** Only a prompt alone may use the whole memory of an engine. */
const freeMemory = ({ requests, held }: RunnerWork, memory: Tokens): Tokens => {
  const used = requests.reduce((sum, work) => sum + ownTokens(work), held)
  return used === 0 ? memory : memory * SHARED_MEMORY_SHARE - used
}

/** Memory that a request takes on the engine that writes for it. */
const ownTokens = ({ prompt, answer, held }: Work): Tokens =>
  prompt + answer - held.reduce((sum, { tokens }) => sum + tokens, 0)
