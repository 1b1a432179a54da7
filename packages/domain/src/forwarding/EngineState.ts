/** What one engine is predicted to do next, and whom further work there would harm. */
import type { Millis, Tokens } from '../types.js'
import { FURTHER_HARM_PER_SECOND, LATE_LOSS, OBJECTIVE_SHARE, OVERDUE_READING, VALUE_EXPONENT, VALUE_UNIT_TOKENS } from './constants.js'
import type { EngineModel } from './EngineModel.js'
import type { RunnerWork, Work } from './FleetWork.js'
import type { BackendServer } from './types.js'
import type { Candidate } from './PlacementPolicy.js'

const MS_PER_SECOND = 1_000

/**
 * @param prompt - length of a prompt
 * @returns what serving it on time is worth, in units of a short request
 */
export const valueOf = (prompt: Tokens): number => (prompt / VALUE_UNIT_TOKENS) ** VALUE_EXPONENT

/** A prediction for one engine at one moment. */
export class EngineState {
  readonly server: BackendServer
  readonly slowdown: number
  /** Time until everything that is to be read there is read. */
  readonly pendingReading: Millis
  /** Length of its passes without reading. */
  readonly pass: Millis
  /** Requests it reads or writes for. */
  readonly requests: number
  readonly freeMemory: Tokens
  readonly #work: RunnerWork
  readonly #model: EngineModel
  readonly #now: Millis
  readonly #context: Tokens

  /**
   * @param candidate - the engine
   * @param work - its work
   * @param model - its timings
   * @param now - time
   */
  constructor ({ server, slowdown }: Candidate, work: RunnerWork, model: EngineModel, now: Millis) {
    this.server = server
    this.slowdown = slowdown
    this.#work = work
    this.#model = model
    this.#now = now
    this.#context = work.writing.reduce((sum, { prompt, answer }) => sum + prompt + answer / 2, 0)
    this.pass = slowdown * model.pass(work.writing.length, this.#context)
    this.requests = work.reading.length + work.writing.length
    this.freeMemory = model.figures.memory - reservedMemory(work)
    this.pendingReading = this.#predictReading()
  }

  /** Whether another request can begin there at once. */
  get hasSlot (): boolean {
    return this.requests < this.server.slots
  }

  /** Whether it can read a part of another prompt. */
  get canHelp (): boolean {
    return this.#work.helping.length < this.server.slots
  }

  /** The shortest pause that any answer there allows; Infinity where none is bounded. */
  get tightestPause (): Millis {
    return [...this.#work.writing, ...this.#work.reading].reduce((least, { pauseObjective }) => Math.min(least, pauseObjective ?? Infinity), Infinity)
  }

  /**
   * @param part - time that one more part takes to read on a sound engine
   * @returns time until it would be read
   */
  finishOf (part: Millis): Millis {
    return this.pendingReading + this.pass + part * this.slowdown
  }

  /**
   * @param prompt - length of the prompt that would be written for
   * @returns length of a pass with one more answer
   */
  passWith (prompt: Tokens): Millis {
    return this.slowdown * this.#model.pass(this.#work.writing.length + 1, this.#context + prompt)
  }

  /**
   * @param part - time that one more part takes to read on a sound engine
   * @param pass - length of its passes from then on
   * @returns value of the answers that the part would make late
   */
  harmOf (part: Millis, pass: Millis = this.pass): number {
    const added = part * this.slowdown + pass - this.pass
    const writing = this.#work.writing.reduce((sum, work) => sum + this.#pauseHarm(work, added), 0)
    const reading = this.#work.reading.reduce((sum, work) => sum + this.#delayHarm(work, added), 0)
    return writing + reading
  }

  #pauseHarm ({ pauseObjective, prompt }: Work, added: Millis): number {
    if (pauseObjective === null) return 0
    return this.#harm(prompt, pauseObjective * OBJECTIVE_SHARE - this.pass - this.pendingReading, added)
  }

  #delayHarm ({ dueAt, prompt }: Work, added: Millis): number {
    return this.#harm(prompt, dueAt - this.#now - this.pass - this.pendingReading, added)
  }

  #harm (prompt: Tokens, spare: Millis, added: Millis): number {
    if (added <= spare) return 0
    const share = spare > 0 ? LATE_LOSS : Math.min(LATE_LOSS, FURTHER_HARM_PER_SECOND * added / MS_PER_SECOND)
    return share * valueOf(prompt)
  }

  #predictReading (): Millis {
    const waiting = [...this.#work.reading, ...this.#work.helping]
    if (waiting.length === 0) return 0
    const total = waiting.reduce((sum, { prompt, helpers }) => sum + this.slowdown * this.#model.reading(prompt, helpers.length + 1), 0)
    const since = waiting.reduce((earliest, { sentAt }) => Math.min(earliest, sentAt), this.#now)
    return Math.max(total - (this.#now - since), OVERDUE_READING)
  }
}

const reservedMemory = ({ reading, writing }: RunnerWork): Tokens =>
  [...reading, ...writing].reduce((sum, { prompt, answer }) => sum + prompt + answer, 0)
