/** Answers the queries of other nodes, and applies what they report of their attempts. */
import type { Millis, NodeId, RunnerId } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import { decodeAttemptReports, decodeQuery, encodeReply } from '../peers/datagramCodec.js'
import type { DatagramContent, ReceivedDatagram } from '../peers/datagramCodec.js'
import type { Scheduler } from './Scheduler.js'
import { GROUP_CONTEXT } from './types.js'
import type { PlacementResult } from './types.js'

/** Time for which a decision is kept, so that a repeated query gets the same answer. */
const DECISION_RETENTION: Millis = 500

interface StoredDecision {
  readonly result: PlacementResult
  readonly at: Millis
}

export interface SchedulerHostOptions {
  readonly scheduler: Scheduler
  readonly log: Log
  readonly clock: () => Millis
  /** Clock on which decisions are kept. A query may wait to be read for longer while this process is held up. */
  readonly runningClock: () => Millis
  /** Sends a message to the node at an address. */
  readonly send: (address: string, content: DatagramContent) => void
}

/** Serves the scheduler of this node to the others. */
export class SchedulerHost {
  readonly #options: SchedulerHostOptions
  /** Decisions by node, start of its process and number of the query; the oldest come first. */
  readonly #decisions = new Map<string, StoredDecision>()

  /** @param options - the scheduler and how to answer */
  constructor (options: SchedulerHostOptions) {
    this.#options = options
  }

  /**
   * Handles a message, if it is one for a scheduler.
   *
   * @param message - the message
   * @param address - `ip:port` of its sender
   */
  handle ({ node, startedAt, content }: ReceivedDatagram, address: string): void {
    const { scheduler, send, clock } = this.#options
    if (content.$case === 'placementQuery') {
      const { number } = content.value
      const result = this.#decide(node, startedAt, content.value)
      send(address, { $case: 'placementReply', value: encodeReply(number, result, clock()) })
    } else if (content.$case === 'silenceQuery') {
      const { number, server } = content.value
      send(address, { $case: 'silenceReply', value: { number, explainedMs: Math.round(scheduler.explainedSilence(server as RunnerId)) } })
    } else if (content.$case === 'attemptReports') {
      scheduler.applyReports(node, decodeAttemptReports(content.value))
    }
  }

  #decide (node: NodeId, startedAt: number, wire: Parameters<typeof decodeQuery>[0]): PlacementResult {
    const { scheduler, clock, log, runningClock } = this.#options
    const decidedAt = runningClock()
    this.#discardOldDecisions(decidedAt)
    const key = `${node}/${startedAt}/${wire.number}`
    const stored = this.#decisions.get(key)
    if (stored !== undefined) return stored.result
    const spec = decodeQuery(wire, clock())
    const result = scheduler.place(spec, { node, number: wire.number }, GROUP_CONTEXT)
    this.#decisions.set(key, { result, at: decidedAt })
    if (result.type === 'refused') log.info('placement.refused', { request: spec.request, node, service: spec.service, reason: result.reason, retry_after_ms: result.retryAfter === null ? undefined : Math.round(result.retryAfter), promised: result.isPromised, excluded: spec.excluded.length })
    if (result.type === 'redirected') log.info('placement.redirected', { request: spec.request, node, service: spec.service, to: result.address })
    return result
  }

  #discardOldDecisions (now: Millis): void {
    for (const [key, { at }] of this.#decisions) {
      if (now - at < DECISION_RETENTION) return
      this.#decisions.delete(key)
    }
  }
}
