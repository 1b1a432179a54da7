/** What one engine is predicted to do next, and whom further work there would harm. */
import type { Millis, Tokens } from '../types.js'
import { FURTHER_HARM_PER_SECOND, LATE_LOSS, OBJECTIVE_SHARE, OVERDUE_READING, SHARED_MEMORY_SHARE, VALUE_EXPONENT, VALUE_UNIT_TOKENS } from './constants.js'
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
    this.freeMemory = freeMemory(work, model.figures.memory)
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
   * Engines read parts of other engines' prompts before everything else, the newest first.
   *
   * @param part - time that a part of another engine's prompt takes to read on a sound engine
   * @returns time until it would be read
   */
  helpingFinish (part: Millis): Millis {
    return this.pass + part * this.slowdown
  }

  /**
   * @param part - time that a prompt, or the first part of it, takes to read on a sound engine
   * @returns time until it would be read, behind all that waits there
   */
  readingFinish (part: Millis): Millis {
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
   * Enters what one more part would cost the requests on this engine.
   *
   * @param harm - the greatest loss of each request, over all engines of a choice
   * @param part - time that the part takes to read on a sound engine
   * @param pass - length of the passes from then on
   */
  addHarm (harm: Map<Work, number>, part: Millis, pass: Millis = this.pass): void {
    const added = part * this.slowdown + pass - this.pass
    const waiting = this.pass + this.pendingReading
    for (const work of this.#work.writing) {
      if (work.pauseObjective !== null) enter(harm, work, work.pauseObjective * OBJECTIVE_SHARE - waiting, added)
    }
    for (const work of [...this.#work.reading, ...this.#work.helping]) enter(harm, work, work.dueAt - this.#now - waiting, added)
  }

  /**
   * @param part - time that one more part takes to read on a sound engine
   * @returns value of the answers that it would make late
   */
  harmOf (part: Millis): number {
    const harm = new Map<Work, number>()
    this.addHarm(harm, part)
    return totalOf(harm)
  }

  #predictReading (): Millis {
    const waiting = [...this.#work.reading, ...this.#work.helping]
    if (waiting.length === 0) return 0
    const total = waiting.reduce((sum, { prompt, helpers }) => sum + this.slowdown * this.#model.reading(prompt, helpers.length + 1), 0)
    const since = waiting.reduce((earliest, { sentAt }) => Math.min(earliest, sentAt), this.#now)
    return Math.max(total - (this.#now - since), OVERDUE_READING)
  }
}

/**
 * @param harm - losses by request
 * @returns their sum
 */
export const totalOf = (harm: ReadonlyMap<Work, number>): number => [...harm.values()].reduce((sum, loss) => sum + loss, 0)

/** What a request loses where `added` exceeds the time that it has to spare; one that is late already loses by the delay. */
const enter = (harm: Map<Work, number>, work: Work, spare: Millis, added: Millis): void => {
  if (added <= spare) return
  const share = spare > 0 ? LATE_LOSS : Math.min(LATE_LOSS, FURTHER_HARM_PER_SECOND * added / MS_PER_SECOND)
  harm.set(work, Math.max(harm.get(work) ?? 0, share * valueOf(work.prompt)))
}

/** An engine that is nearly full stops reading: only a prompt alone may use its whole memory. */
const freeMemory = ({ reading, writing }: RunnerWork, memory: Tokens): Tokens => {
  const used = [...reading, ...writing].reduce((sum, { prompt, answer }) => sum + prompt + answer, 0)
  return used === 0 ? memory : memory * SHARED_MEMORY_SHARE - used
}
