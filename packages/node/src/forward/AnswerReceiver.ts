/** Handles the answers to the attempts of one request. */
import { AttemptEnd, HealthSignal } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { decodeAnswerHeaders } from '@bluebellhill/platform'
import { BoundedBuffer } from '@bluebellhill/services'

import { FIRST_FAILURE_STATUS, findAnswerProblem, isSuccessfulAnswer } from './answerHeads.js'
import { isOfOtherServer, recordStatements } from './answerStatements.js'
import { MAX_FAILURE_BODY_BYTES } from './backend/answerLimits.js'
import type { AnswerHead, ServerCallListener } from './backend/ServerCall.js'
import type { ForwardingHost } from './ForwardingHost.js'
import { withoutRelayHeaders } from './relay/relayHeaders.js'
import type { RelayPeer } from './relay/RelayPeers.js'
import type { PeerRefusal } from './relay/RequestRelay.js'
import { isUneven } from './scheduling/UnevenServers.js'
import type { SilentReplacement } from './SilentReplacement.js'
import type { OpenAttempt, SignedFailure } from './types.js'

const SERVER_ERROR = 500

/** What becomes of the successful answer of an attempt. */
export interface AnswerHandler {
  /** Called when the head of a signed, successful answer arrives. */
  readonly successStarted: (attempt: OpenAttempt) => void
  /** Called for each chunk of the body of a signed, successful answer, also of a silent attempt. Returns whether the answer has gone on. */
  readonly chunkReceived: (attempt: OpenAttempt, chunk: Buffer) => boolean
  /** Called when the answer of the attempt in progress has gone on. */
  readonly answerContinued: (attempt: OpenAttempt) => void
  /** Whether the answer is complete if its server ends it now. */
  readonly isAnswerWhole: (attempt: OpenAttempt) => boolean
  /** Called when a successful answer has ended. Returns whether it is complete; it has then been sent to the caller. */
  readonly completeAnswer: (attempt: OpenAttempt) => boolean
  /** Called when the server sends more than an answer may hold. */
  readonly answerOversized: (attempt: OpenAttempt, reason: string) => void
  /** Called when another node refuses the request that was passed on to it. */
  readonly peerRefused: (attempt: OpenAttempt, refusal: PeerRefusal) => void
}

export interface AnswerReceiverOptions {
  readonly host: ForwardingHost
  readonly silence: SilentReplacement
  readonly handler: AnswerHandler
}

/** Receives the answers to the attempts of one request. */
export class AnswerReceiver {
  readonly #options: AnswerReceiverOptions

  /** @param options - the request, and what becomes of its answer */
  constructor (options: AnswerReceiverOptions) {
    this.#options = options
  }

  /**
   * @param attempt - an attempt that is being sent
   * @returns what handles its answer
   */
  createListener (attempt: OpenAttempt): ServerCallListener {
    const { handler } = this.#options
    const failureBody = new BoundedBuffer(MAX_FAILURE_BODY_BYTES)
    return {
      onHead: (head) => this.#contain(() => this.#headReceived(attempt, head)),
      onData: (chunk) => this.#contain(() => this.#dataReceived(attempt, chunk, failureBody)),
      onEnd: () => this.#contain(() => this.#answerEnded(attempt, failureBody.take())),
      onFailure: (mayBeSent, reason) => this.#contain(() => this.#connectionFailed(attempt, mayBeSent, reason)),
      onOversize: (reason) => this.#contain(() => handler.answerOversized(attempt, reason))
    }
  }

  /** The HTTP client takes errors of its listeners for errors of the connection, or drops them, and the caller would wait until its deadline. */
  #contain (handle: () => void): void {
    try {
      handle()
    } catch (error) {
      this.#options.host.failInternally(error)
    }
  }

  #connectionFailed (attempt: OpenAttempt, mayBeSent: boolean, reason: string): void {
    const { relay, fail } = this.#options.host
    if (!mayBeSent) relay.notConnected(attempt)
    const { head, answer } = attempt
    if (head !== null && answer?.notRun === true) {
      // What the head says holds, whatever becomes of the rest.
      this.#notRunReceived(attempt, head.status, answer.faultyServer)
      return
    }
    if (mayBeSent && attempt.serverCall?.isBrokenOff === true) attempt.watch?.brokenOff()
    fail(attempt, mayBeSent ? AttemptEnd.Broken : AttemptEnd.Unsent, reason)
  }

  #headReceived (attempt: OpenAttempt, head: AnswerHead): void {
    const { host: { context, call, progress, ending, fail }, silence, handler } = this.#options
    if (ending.isOver || (progress.attempt !== attempt && !silence.has(attempt))) return
    const { peer } = attempt
    if (peer !== null && this.#isRefusedBy(peer, attempt, head)) return
    attempt.head = peer === null ? head : { ...head, rawHeaders: withoutRelayHeaders(head.rawHeaders) }
    attempt.answer = decodeAnswerHeaders(head.status, head.headers)
    if (peer === null) {
      context.relay.checks.dataReceived(attempt.server, attempt.sentAt)
      recordStatements(context, call, attempt.server, head.status, attempt.answer)
    }
    const problem = findAnswerProblem(attempt.answer, head.status, call.id)
    if (silence.has(attempt) && !attempt.isRaced && (problem !== null || !isSuccessfulAnswer(attempt))) {
      fail(attempt, AttemptEnd.Failed, problem ?? `status ${head.status}`)
      return
    }
    if (!silence.takesData(attempt)) return
    if (problem !== null) fail(attempt, AttemptEnd.Broken, problem)
    else if (isSuccessfulAnswer(attempt)) handler.successStarted(attempt)
  }

  /** @returns whether the attempt has ended, because the other node does not pass on the answer of a server */
  #isRefusedBy (peer: RelayPeer, attempt: OpenAttempt, head: AnswerHead): boolean {
    const { host: { relay }, handler } = this.#options
    const refusal = relay.refusalOf(peer, head)
    if (refusal !== null) handler.peerRefused(attempt, refusal)
    return refusal !== null
  }

  #dataReceived (attempt: OpenAttempt, chunk: Buffer, failureBody: BoundedBuffer): void {
    const { silence, handler } = this.#options
    if (isSuccessfulAnswer(attempt)) this.#answerDataReceived(attempt, chunk)
    else if (silence.takesData(attempt) && !failureBody.append(chunk)) handler.answerOversized(attempt, `the body of a failure of more than ${MAX_FAILURE_BODY_BYTES} bytes`)
  }

  /** A silent attempt takes the place of its replacement only if its answer goes on, not for any single byte. */
  #answerDataReceived (attempt: OpenAttempt, chunk: Buffer): void {
    const { host: { progress, ending }, silence, handler } = this.#options
    if (ending.isOver || (progress.attempt !== attempt && !silence.has(attempt))) return
    const hasGoneOn = handler.chunkReceived(attempt, chunk)
    const isTaken = hasGoneOn ? silence.takesData(attempt) : progress.attempt === attempt
    if (!isTaken) return
    if (hasGoneOn && progress.attempt === attempt) silence.restartTimer(attempt)
    attempt.watch?.dataReceived()
    // The data may refute a crash, and so leave the request itself as the cause of another one.
    if (hasGoneOn && progress.attempt === attempt) handler.answerContinued(attempt)
  }

  #answerEnded (attempt: OpenAttempt, body: Buffer): void {
    const { host: { context, call, ending, close }, silence, handler } = this.#options
    if (silence.has(attempt) && !handler.isAnswerWhole(attempt)) {
      this.#connectionEnded(attempt, 'the answer ended before it was complete')
      return
    }
    if (!silence.takesData(attempt)) return
    const { head, answer } = attempt
    if (head === null || answer === null) {
      this.#connectionEnded(attempt, 'the answer ended before its head')
    } else if (answer.notRun) {
      if (isOfOtherServer(attempt.server, head.status, answer)) context.fleetState.markServerReplaced(attempt.server.id)
      this.#notRunReceived(attempt, head.status, answer.faultyServer)
    } else if (head.status >= FIRST_FAILURE_STATUS) {
      this.#serverFailed(attempt, { head, body })
    } else if (this.#isAnswered(attempt)) {
      attempt.watch?.completed()
      this.#raceEnded(attempt)
      close(attempt, HealthSignal.Good, this.#serviceTimeOf(attempt))
      context.forecast.answered(call, context.clock() - attempt.sentAt)
      ending.answered(head.status)
    } else {
      this.#connectionEnded(attempt, 'the answer ended before it was complete')
    }
  }

  /** The first complete answer of two attempts side by side wins. */
  #isAnswered (attempt: OpenAttempt): boolean {
    const { silence, handler } = this.#options
    return silence.isCurrent(attempt) && handler.completeAnswer(attempt)
  }

  /** Time of a complete answer, if placement depends on it. */
  #serviceTimeOf ({ sentAt }: OpenAttempt): Millis | undefined {
    const { context, call } = this.#options.host
    return isUneven(call.service) ? context.clock() - sentAt : undefined
  }

  #raceEnded (winner: OpenAttempt): void {
    if (!winner.isRaced) return
    const { requestLog, context } = this.#options.host
    requestLog.raceEnded(winner)
    if (winner.isHedge) context.metrics.hedgeWon()
  }

  #connectionEnded (attempt: OpenAttempt, reason: string): void {
    attempt.watch?.brokenOff()
    this.#options.host.fail(attempt, AttemptEnd.Broken, reason)
  }

  #notRunReceived (attempt: OpenAttempt, status: number, faultyServer: string | null): void {
    const { context, fail } = this.#options.host
    if (faultyServer === null || faultyServer === attempt.server.address) {
      fail(attempt, AttemptEnd.NotRun, `status ${status}`)
      return
    }
    context.placement.reportUnreachableAddress(faultyServer)
    fail(attempt, AttemptEnd.HelperFailed, `status ${status}, caused by ${faultyServer}`)
  }

  /** Once the caller has a part of an answer, no failure can be returned to it. */
  #serverFailed (attempt: OpenAttempt, failure: SignedFailure): void {
    const { host: { progress, ending, close, fail, hasStartedAnswer }, silence } = this.#options
    progress.signedFailure = failure
    const isServerError = failure.head.status >= SERVER_ERROR && attempt.peer === null
    if (isServerError || hasStartedAnswer()) {
      fail(attempt, AttemptEnd.Failed, `status ${failure.head.status}`)
      return
    }
    if (!silence.isCurrent(attempt)) return
    this.#raceEnded(attempt)
    close(attempt)
    ending.returnFailure(failure)
  }
}
