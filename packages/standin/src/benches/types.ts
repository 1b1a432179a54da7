/** Types of the benches. */

/** What a bench is called with. */
export interface BenchOptions {
  readonly seed: number
  /** Takes one line of progress. */
  readonly progress: (line: string) => void
}

/** One bound and whether it was kept. */
export interface Bound {
  readonly name: string
  readonly value: number
  /** Highest value allowed. */
  readonly most?: number
  /** Lowest value allowed. */
  readonly least?: number
  readonly met: boolean
}

/** The one JSON object that a bench gives. */
export interface BenchReport {
  readonly bench: string
  readonly seed: number
  readonly figures: unknown
  readonly bounds: readonly Bound[]
}

/** A measurement that can be run by its name. */
export abstract class Bench {
  abstract readonly name: string
  abstract readonly description: string
  /**
   * Measures.
   *
   * @param options - seed and progress
   * @returns figures and bounds
   */
  abstract run (options: BenchOptions): Promise<BenchReport>
}

/**
 * Checks a value against its highest.
 *
 * @param name - of the figure
 * @param value - as measured
 * @param most - highest allowed
 * @returns the bound
 */
export const atMost = (name: string, value: number, most: number): Bound => ({ name, value, most, met: value <= most })

/**
 * Checks a value against its lowest.
 *
 * @param name - of the figure
 * @param value - as measured
 * @param least - lowest allowed
 * @returns the bound
 */
export const atLeast = (name: string, value: number, least: number): Bound => ({ name, value, least, met: value >= least })
