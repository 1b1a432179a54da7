/** One way by which values of others reach a node. */
import type { FuzzFleet } from './FuzzFleet.js'
import type { OddValues } from './OddValues.js'

/** Sends odd values to a node, and afterwards puts everything in order that belongs to others. */
export abstract class Door {
  /** Name in reports and in the sizes of batches. */
  abstract readonly name: string
  /** What has happened that must not, such as a request without an end. */
  readonly faults: string[] = []

  /**
   * @param fleet - the node under test and what surrounds it
   * @param values - seeded odd values
   */
  constructor (protected readonly fleet: FuzzFleet, protected readonly values: OddValues) {}

  /**
   * Sends a batch.
   *
   * @param count - number of inputs wanted
   * @returns number of inputs that have reached the node
   */
  abstract send (count: number): Promise<number>

  dispose (): void {}
}
