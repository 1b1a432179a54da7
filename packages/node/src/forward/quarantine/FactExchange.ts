/** Exchanges the evidence on what crashes backend servers with the other nodes, as parts of messages that are sent anyway. */
import type { Millis, QuarantineFacts } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

import { decodeFacts, encodeFacts } from '../peers/quarantineCodec.js'
import { FactQueue, listFacts } from './FactQueue.js'
import type { NodeQuarantine } from './NodeQuarantine.js'

export interface FactExchangeOptions {
  readonly quarantine: NodeQuarantine
  readonly clock: () => Millis
  /** Called when this node has found out something that other nodes should know at once. */
  readonly onOwnFact: () => void
}

/** Selects the facts for the messages of this node, and records those of other nodes. */
export class FactExchange {
  readonly #options: FactExchangeOptions
  /** Facts for the candidates that this node reports to. */
  readonly #reported: FactQueue
  /** Facts for the nodes that report to this candidate. */
  readonly #announced: FactQueue
  /** Facts for the schedulers of the other groups. */
  readonly #toGroups: FactQueue

  /** @param options - the evidence of this node */
  constructor (options: FactExchangeOptions) {
    const { quarantine, onOwnFact } = options
    const all = (): QuarantineFacts => quarantine.facts()
    this.#options = options
    this.#reported = new FactQueue(all)
    this.#announced = new FactQueue(all)
    this.#toGroups = new FactQueue(all)
    quarantine.onOwnFact((fact) => {
      for (const queue of [this.#reported, this.#announced, this.#toGroups]) queue.markNew(fact)
      onOwnFact()
    })
  }

  /** Whether there are facts that no announcement has contained yet. */
  get hasUnannounced (): boolean {
    return this.#announced.hasNew
  }

  /** Whether there are facts that the other groups have not been told yet. */
  get hasNewForGroups (): boolean {
    return this.#toGroups.hasNew
  }

  /** Whether there are facts that no report has contained yet. */
  get hasUnreported (): boolean {
    return this.#reported.hasNew
  }

  /** @returns the facts of the next report to the candidates */
  nextReport (): fleetWire.QuarantineFacts {
    return this.#encode(this.#reported.next())
  }

  /** @returns the facts of the next announcement to all nodes that report to this candidate */
  nextAnnouncement (): fleetWire.QuarantineFacts {
    return this.#encode(this.#announced.next())
  }

  /** @returns the facts of an answer to one node */
  nextAnswer (): fleetWire.QuarantineFacts {
    return this.#encode(this.#announced.nextRepeated())
  }

  /** @returns the facts for a node that has just been found, divided into messages */
  everything (): fleetWire.QuarantineFacts[] {
    return this.#announced.everything().map((facts) => this.#encode(facts))
  }

  /** @returns the facts of the next report to the other groups */
  nextGroupReport (): fleetWire.QuarantineFacts {
    return this.#encode(this.#toGroups.next())
  }

  /**
   * Records facts that another node has sent.
   *
   * @param wire - the facts; undefined from nodes of earlier builds
   * @returns whether one of them should be announced at once
   */
  received (wire: fleetWire.QuarantineFacts | undefined): boolean {
    const { quarantine, clock } = this.#options
    const facts = decodeFacts(wire, clock())
    if (!quarantine.received(facts)) return false
    for (const fact of listFacts(facts)) {
      this.#announced.markNew(fact)
      this.#toGroups.markNew(fact)
    }
    return true
  }

  #encode (facts: QuarantineFacts): fleetWire.QuarantineFacts {
    return encodeFacts(facts, this.#options.clock())
  }
}
