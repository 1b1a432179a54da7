/** Sends one request to the backend servers that are chosen for it. */
import { AttemptEnd } from '@bluebellhill/domain'

import { ServerCall } from './backend/ServerCall.js'
import type { ServerCallListener, ServerCallRequest } from './backend/ServerCall.js'
import type { ForwardingHost } from './ForwardingHost.js'
import { MemoryReservations } from './MemoryReservations.js'
import type { RelayPeer } from './relay/RelayPeers.js'
import type { PlacedAttempt } from './scheduling/types.js'
import { serverCallRequest } from './serverCallRequest.js'
import type { OpenAttempt } from './types.js'

export interface AttemptSenderOptions {
  readonly host: ForwardingHost
  /** Returns what handles the answer of an attempt. */
  readonly createListener: (attempt: OpenAttempt) => ServerCallListener
  /** Called when an attempt has been sent to its server. */
  readonly onSent: (attempt: OpenAttempt) => void
}

/** Begins the attempts of one request. */
export class AttemptSender {
  readonly #options: AttemptSenderOptions

  /** @param options - the request, and what handles its answers */
  constructor (options: AttemptSenderOptions) {
    this.#options = options
  }

  /** Passes the request on to a node that reaches servers of its service. */
  passOn (peer: RelayPeer): void {
    const { relay, progress, lastEventId } = this.#options.host
    progress.attemptCount += 1
    const { attempt, request } = relay.open(peer, progress.attemptCount, lastEventId())
    progress.attempt = attempt
    this.#call(attempt, request)
  }

  /**
   * Begins an attempt that has been placed, and reserves the memory that it needs.
   *
   * @param placed - where it is placed
   * @param isHedge - whether another attempt goes on beside it until one of the answers is complete
   */
  open (placed: PlacedAttempt, isHedge = false): void {
    const { context, history, progress, requestLog, lastEventId, failInternally } = this.#options.host
    const { choice: { server, holders }, assignment } = placed
    history.start(server.id)
    progress.attemptCount += 1
    const reservations = holders.length === 0 ? null : new MemoryReservations(assignment.id, holders, context.memory, context.log, context.clock)
    const attempt: OpenAttempt = { server, placed, peer: null, sentAt: context.clock(), reservations, serverCall: null, watch: null, hasFirstEvent: false, head: null, answer: null, isHedge, isHedgeTried: isHedge, isRaced: isHedge, isSilenceReported: false }
    progress.attempt = attempt
    requestLog.attemptSent(placed, progress.attemptCount, lastEventId(), context.placement.answers.find(server), context.placement.answers.coldFor(server))
    if (reservations === null) this.#sendUnlessHindered(attempt, placed)
    else this.#reserveAndSend(attempt, placed, reservations).catch(failInternally)
  }

  async #reserveAndSend (attempt: OpenAttempt, placed: PlacedAttempt, reservations: MemoryReservations): Promise<void> {
    const { context, progress, fail } = this.#options.host
    const isReserved = await reservations.acquire()
    await context.placement.settled()
    if (progress.attempt !== attempt) return
    if (isReserved) this.#sendUnlessTooLate(attempt, placed)
    else fail(attempt, AttemptEnd.Unsent, 'reserving KV cache memory failed')
  }

  /** This node may have begun to stop while memory was being reserved. */
  #sendUnlessTooLate (attempt: OpenAttempt, placed: PlacedAttempt): void {
    const { startLimit, fail } = this.#options.host
    if (startLimit.isOver(placed.choice.timeToFirstEvent)) fail(attempt, AttemptEnd.Unsent, 'this node is stopping', null)
    else this.#sendUnlessHindered(attempt, placed)
  }

  /** A server may have left, or its failure domain may have been evacuated, while the attempt was being placed or memory was being reserved. */
  #sendUnlessHindered (attempt: OpenAttempt, placed: PlacedAttempt): void {
    const { context, fail } = this.#options.host
    const obstacle = context.placement.obstacleTo(placed)
    if (obstacle === null) this.#sendUnlessQuarantined(attempt, placed)
    else fail(attempt, AttemptEnd.Unsent, obstacle)
  }

  /** A part may have got quarantined while the attempt was being placed, or while memory was being reserved for it. */
  #sendUnlessQuarantined (attempt: OpenAttempt, { isTrial }: PlacedAttempt): void {
    const { guard, refuseQuarantined } = this.#options.host
    const quarantine = isTrial ? null : guard.findQuarantine()
    if (quarantine === null) this.#send(attempt, isTrial)
    else refuseQuarantined(quarantine)
  }

  #send (attempt: OpenAttempt, isTrial: boolean): void {
    const { host: { context, call, guard, lastEventId, progress }, onSent } = this.#options
    attempt.watch = guard.watch(attempt.server, isTrial)
    this.#call(attempt, serverCallRequest(call, attempt, lastEventId(), context.clock()))
    if (progress.attempt === attempt) onSent(attempt)
  }

  /** An address that nothing can be sent to ends this attempt, and not the process with all others. */
  #call (attempt: OpenAttempt, request: ServerCallRequest): void {
    const { host: { context, fail }, createListener } = this.#options
    try {
      attempt.serverCall = new ServerCall(request, createListener(attempt), context.readTurns)
    } catch (error) {
      fail(attempt, AttemptEnd.Unsent, `the connection cannot be opened: ${error instanceof Error ? error.message : String(error)}`)
    }
  }
}
