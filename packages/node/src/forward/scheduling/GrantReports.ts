/** Reports to the schedulers what becomes of the attempts that they have placed for this node. */
import { assignmentNumber, SLOWDOWN_SAMPLE_COUNT } from '@bluebellhill/domain'
import type { Assignment, HealthSignal, RunnerId, ServiceTime } from '@bluebellhill/domain'

import type { DatagramContent } from '../peers/datagramCodec.js'
import { ReportQueue } from './ReportQueue.js'

/** Assignments of this node that other nodes have granted. */
export class GrantReports {
  /** Address of the scheduler that keeps an assignment, by assignment id. */
  readonly #schedulers = new Map<string, string>()
  /** Last pauses of each stream over the published pass time, by assignment id. */
  readonly #pauses = new Map<string, number[]>()
  readonly #queue: ReportQueue

  /** @param send - sends a message to the node at an address */
  constructor (send: (address: string, content: DatagramContent) => void) {
    this.#queue = new ReportQueue(send)
  }

  /** @returns addresses of the schedulers that keep assignments of this node */
  schedulersInUse (): ReadonlySet<string> {
    return new Set(this.#schedulers.values())
  }

  /** @returns the address of the scheduler that keeps an assignment; null if it is this node */
  schedulerOf ({ id }: Assignment): string | null {
    return this.#schedulers.get(id) ?? null
  }

  /** Records that the scheduler at an address keeps an assignment. */
  granted ({ id }: Assignment, address: string): void {
    this.#schedulers.set(id, address)
  }

  /** Reports that the prompt of an assignment is prefilled. */
  prefillFinished (assignment: Assignment): void {
    this.#report(assignment, false, null, null)
  }

  /**
   * Reports that an assignment has ended, and forgets it.
   *
   * @param assignment - the assignment
   * @param signal - what the attempt shows of its server; null if nothing
   * @param serviceTime - time of its complete answer; absent if there is none
   */
  ended (assignment: Assignment, signal: HealthSignal | null, serviceTime?: ServiceTime): void {
    const ratios = this.#pauses.get(assignment.id) ?? []
    this.#report(assignment, true, signal, ratios.length < SLOWDOWN_SAMPLE_COUNT ? null : Math.min(...ratios), serviceTime)
    this.#schedulers.delete(assignment.id)
    this.#pauses.delete(assignment.id)
  }

  /**
   * Records a pause of a stream.
   *
   * @param assignment - the assignment
   * @param ratio - the pause over the published pass time
   */
  observePause ({ id }: Assignment, ratio: number): void {
    const ratios = this.#pauses.get(id) ?? []
    this.#pauses.set(id, ratios)
    ratios.push(ratio)
    if (ratios.length > SLOWDOWN_SAMPLE_COUNT) ratios.shift()
  }

  /**
   * Frees the place of a grant that is not used.
   *
   * @param address - `ip:port` of the scheduler
   * @param number - number of the assignment at this node
   * @param server - the backend server
   */
  returned (address: string, number: number, server: string): void {
    this.#queue.add(address, { number, isEnded: true, server: server as RunnerId, signal: null, slowdown: null })
  }

  /**
   * Reports what an attempt shows of a server, apart from the end of the attempt.
   *
   * @param address - `ip:port` of the scheduler
   * @param server - the backend server
   * @param signal - the signal
   */
  signal (address: string, server: RunnerId, signal: HealthSignal): void {
    this.#queue.add(address, { number: 0, isEnded: false, server, signal, slowdown: null })
  }

  dispose (): void {
    this.#queue.dispose()
  }

  #report (assignment: Assignment, isEnded: boolean, signal: HealthSignal | null, slowdown: number | null, serviceTime?: ServiceTime): void {
    const address = this.schedulerOf(assignment)
    if (address === null) return
    this.#queue.add(address, { number: assignmentNumber(assignment), isEnded, server: assignment.server, signal, slowdown, ...(serviceTime === undefined ? {} : { serviceTime }) })
  }
}
