/** Answers the queries of other nodes, and applies what they report of their attempts. */
import type { Millis, NodeId, RunnerId } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import { decodeAttemptReports, decodeQuery, encodeReply } from '../peers/datagramCodec.js'
import type { DatagramContent, ReceivedDatagram } from '../peers/datagramCodec.js'
import { toUint32 } from '../peers/wireNumbers.js'
import type { Scheduler } from './Scheduler.js'
import type { PlacementResult, PlacementSpec } from './types.js'

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
      const reply = (result: PlacementResult): void => { send(address, { $case: 'placementReply', value: encodeReply(number, result, clock()) }) }
      reply(this.#decide(node, startedAt, content.value, reply))
    } else if (content.$case === 'silenceQuery') {
      const { number, server } = content.value
      send(address, { $case: 'silenceReply', value: { number, explainedMs: toUint32(scheduler.explainedSilence(server as RunnerId)) } })
    } else if (content.$case === 'attemptReports') {
      const reports = decodeAttemptReports(content.value)
      for (const { number, isEnded } of reports) if (isEnded) scheduler.admission.withdraw({ node, startedAt, number })
      scheduler.applyReports(node, reports)
    }
  }

  #decide (node: NodeId, startedAt: number, wire: Parameters<typeof decodeQuery>[0], reply: (result: PlacementResult) => void): PlacementResult {
    const { scheduler, clock } = this.#options
    this.#discardOldDecisions(this.#options.runningClock())
    const key = `${node}/${startedAt}/${wire.number}`
    const stored = this.#decisions.get(key)
    if (stored !== undefined) return stored.result
    const spec = decodeQuery(wire, clock())
    const deliver = (result: PlacementResult): void => {
      this.#store(key, result, spec, node)
      reply(result)
    }
    const result = scheduler.admission.place(spec, { node, number: wire.number }, { startedAt, deliver })
    // The decision about a request that waits is still to come, so that its renewals must not get an earlier answer.
    if (result.type !== 'queued') this.#store(key, result, spec, node)
    return result
  }

  #store (key: string, result: PlacementResult, spec: PlacementSpec, node: NodeId): void {
    const { log, runningClock } = this.#options
    this.#decisions.delete(key)
    this.#decisions.set(key, { result, at: runningClock() })
    if (result.type === 'refused') log.info('placement.refused', { request: spec.request, node, service: spec.service, reason: result.reason, retry_after_ms: result.retryAfter === null ? undefined : Math.round(result.retryAfter), promised: result.isPromised, excluded: spec.excluded.length })
    if (result.type === 'redirected') log.info('placement.redirected', { request: spec.request, node, service: spec.service, to: result.address })
  }

  #discardOldDecisions (now: Millis): void {
    for (const [key, { at }] of this.#decisions) {
      if (now - at < DECISION_RETENTION) return
      this.#decisions.delete(key)
    }
  }
}
