/** Parts of the prompts that callers send, some of which end the engines. */
import type { Random } from './Random.js'

/** A part that ends each engine that begins to write an answer on it. */
export interface CrashingPart {
  readonly part: string
  /** One of so many requests has it. */
  readonly oneIn: number
  /** Its place among the parts that requests share, from 0. */
  readonly position: number
  /** Whether an engine that it ended comes back under the same id, and after how many milliseconds. */
  readonly keepsId: boolean
  readonly downMs: number
}

/** Parts at each place that sound requests share, in hexadecimal. */
const SHARED_PARTS: ReadonlyArray<readonly string[]> = [['a0'], ['b0', 'b1', 'b2'], ['c0', 'c1', 'c2', 'c3']]

/** Bounds of the last part of a prompt, which no other request has. */
const LOWEST_LAST = 0x10000000
const HIGHEST_LAST = 0x7fffffff

const HEXADECIMAL = 16

/** Draws the parts of each request. */
export class PromptParts {
  /** All parts that end engines. */
  readonly crashingParts = new Set<string>()
  /** The part that some requests carry; null while all are sound. */
  #crashing: CrashingPart | null = null
  #keepsId = false
  #downMs = 0

  /** Whether an engine that ended comes back under the same id. */
  get keepsId (): boolean {
    return this.#keepsId
  }

  /** Milliseconds after which an engine that ended is back. */
  get downMs (): number {
    return this.#downMs
  }

  /** From now on some requests carry a part that ends engines. */
  startCrashing (crashing: CrashingPart): void {
    this.crashingParts.add(crashing.part)
    this.#crashing = crashing
    this.#keepsId = crashing.keepsId
    this.#downMs = crashing.downMs
  }

  stopCrashing (): void {
    this.#crashing = null
  }

  /**
   * @param random - choices of the caller
   * @returns the parts of its next prompt; requests with the crashing part share all others with sound ones
   */
  draw (random: Random): string[] {
    const parts = SHARED_PARTS.map((shared) => random.pick(shared))
    const chance = random.between(0, 1_000_000)
    const crashing = this.#crashing
    if (crashing !== null && chance % crashing.oneIn === 0) parts.splice(crashing.position, 0, crashing.part)
    return [...parts, random.between(LOWEST_LAST, HIGHEST_LAST).toString(HEXADECIMAL)]
  }
}

/** Number of places among the shared parts at which a crashing part may be. */
export const CRASHING_PLACES = SHARED_PARTS.length + 1
