/** Forwards one request: makes attempts at backend servers until an answer is complete or the request is given up. */
import type { ServerResponse } from 'node:http'

import { AttemptEnd, AttemptHistory, HealthSignal } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { decodeAnswerHeaders } from '@bluebellhill/platform'

import type { AdmittedCall } from './AdmittedCall.js'
import { AttemptSearch } from './AttemptSearch.js'
import { FIRST_FAILURE_STATUS, isSuccessfulAnswer, findAnswerProblem } from './answerHeads.js'
import { MAX_FAILURE_BODY_BYTES } from './backend/answerLimits.js'
import { isOfOtherServer, recordStatements } from './answerStatements.js'
import { BoundedBuffer } from './backend/BoundedBuffer.js'
import { ServerCall } from './backend/ServerCall.js'
import type { AnswerHead, ServerCallListener } from './backend/ServerCall.js'
import { CallerAnswer } from './buffers/CallerAnswer.js'
import { RefusalCause } from './entry/refusals.js'
import { healthSignalOf } from './healthSignal.js'
import { isWaitStated, quarantineCauseOf, quarantineProblem, refusalCauseOf } from './refusalCause.js'
import { RequestEnding } from './RequestEnding.js'
import type { RequestSummary } from './RequestEnding.js'
import { RequestLog } from './RequestLog.js'
import { MemoryReservations } from './MemoryReservations.js'
import { RequestGuard } from './quarantine/RequestGuard.js'
import type { QuarantineVerdict } from './quarantine/NodeQuarantine.js'
import { PlacementRefusal } from './scheduling/types.js'
import { isUneven } from './scheduling/UnevenServers.js'
import type { PlacedAttempt, RefusedPlacement } from './scheduling/types.js'
import { ForwardOutcome } from './ForwardOutcome.js'
import type { ForwardingContext, OpenAttempt, SignedFailure } from './types.js'
import { SilenceTimer } from './SilenceTimer.js'
import type { ChangeCheck } from './SilenceTimer.js'
import { SilentAttempts } from './SilentAttempts.js'
import { withoutRelayHeaders } from './relay/relayHeaders.js'
import type { RelayPeer } from './relay/RelayPeers.js'
import { RequestRelay } from './relay/RequestRelay.js'
import { serverCallRequest } from './serverCallRequest.js'
import { CloseCause, RequestStage } from './unansweredRequests.js'

/** Longest time for which a request that may have run waits until a server accepts requests again. */
const MAX_SERVER_WAIT: Millis = 1_000

/** Interval at which another server is looked for while the server of a request is silent. */
const SEARCH_PERIOD: Millis = 1_000

const SERVER_ERROR = 500

/** Sends one request to one backend server after another, as far as its route and the retry budget allow. */
export abstract class Forwarding {
  protected attempt: OpenAttempt | null = null
  protected readonly history: AttemptHistory
  protected signedFailure: SignedFailure | null = null
  protected firstAnswerAt: Millis | null = null
  readonly #guard: RequestGuard
  readonly #requestLog: RequestLog
  readonly #ending: RequestEnding
  readonly #search: AttemptSearch
  /** Aborted when the request is over. */
  readonly #over = new AbortController()
  readonly #relay: RequestRelay
  readonly #callerAnswer: CallerAnswer
  /** Attempt whose server is held back, because the caller does not read; null if there is none. */
  #heldAttempt: OpenAttempt | null = null
  readonly #silentAttempts = new SilentAttempts((attempt, signal) => this.#release(attempt, signal))
  readonly #silenceTimer = new SilenceTimer(async (attempt, silence, hasGoneOn) => { await this.#dataOverdue(attempt, silence, hasGoneOn) })
  #attemptCount = 0
  #searchCount = 0
  #lastProblem = ''
  #deadlineTimer: NodeJS.Timeout | null = null
  #waitTimer: NodeJS.Timeout | null = null
  /** Why the request waited last; empty if it has not. */
  #waitReason = ''

  /**
   * @param context - objects that all requests share
   * @param call - the request
   * @param response - response to the caller
   */
  constructor (protected readonly context: ForwardingContext, protected readonly call: AdmittedCall, protected readonly response: ServerResponse) {
    this.history = new AttemptHistory(call.route)
    for (const server of call.triedServers) {
      this.history.start(server)
      this.history.end(server, AttemptEnd.Broken)
    }
    this.#requestLog = new RequestLog(context, call)
    this.#ending = new RequestEnding({ context, call, response, requestLog: this.#requestLog, summary: () => this.#summary(), onWritten: (bytes) => this.answerWritten(bytes), onEnded: () => this.#releaseAll() })
    this.#callerAnswer = new CallerAnswer({ buffers: context.buffers, request: call.id, response, onCutOff: (reason) => this.#callerCutOff(reason), onHold: (isHeld) => this.#holdServer(isHeld) })
    this.#guard = new RequestGuard({ quarantine: context.placement.quarantine, call, clock: context.clock, onQuarantined: (verdict) => this.#refuseQuarantined(verdict) })
    this.#relay = new RequestRelay({ context, call, history: this.history, requestLog: this.#requestLog })
    this.#search = new AttemptSearch({ placement: context.placement, call, history: this.history, guard: this.#guard, requestLog: this.#requestLog, signal: this.#over.signal })
  }

  /** Starts the first attempt. */
  start (): void {
    const { clock } = this.context
    this.response.once('close', () => { if (!this.response.writableFinished) this.#callerDisconnected() })
    this.#deadlineTimer = setTimeout(() => this.#deadlinePassed(), Math.max(0, this.call.deadlineAt - clock()))
    void this.#startNextAttempt(false)
  }

  /** Breaks the connection to the caller, because the stop grace of this node is over. */
  breakOff (): void {
    const { stage } = this
    if (this.#ending.isOver) {
      this.#ending.recordUnanswered(CloseCause.StopGraceOver, stage, 'the caller has not read its answer')
      return
    }
    if (this.attempt !== null) this.#closeAttempt(this.attempt)
    this.#ending.abort(ForwardOutcome.Lost, CloseCause.StopGraceOver, stage)
  }

  /** How far the request has come. */
  protected get stage (): RequestStage {
    if (this.hasStartedAnswer) return RequestStage.Answer
    if (this.attempt === null) return RequestStage.Placement
    return this.attempt.serverCall === null ? RequestStage.Reservation : RequestStage.Sent
  }

  /** Whether the head of an answer has been sent to the caller. */
  protected get hasStartedAnswer (): boolean {
    return this.response.headersSent
  }

  /** Id of the last event that the caller has received; the next attempt continues after it. */
  protected abstract get lastEventId (): string | null

  /** Longest time without data before the attempt is given up; null to wait until the deadline of the request. */
  protected abstract dataTimeout (attempt: OpenAttempt): Millis | null

  /** Called when the head of a signed, successful answer arrives. */
  protected abstract successStarted (attempt: OpenAttempt): void

  /**
   * Called for each chunk of the body of a signed, successful answer, also of a silent attempt.
   *
   * @returns whether the answer has gone on; bytes that complete no event keep no stream alive
   */
  protected abstract chunkReceived (attempt: OpenAttempt, chunk: Buffer): boolean

  /** Called when the answer of the attempt in progress has gone on. */
  protected abstract answerContinued (attempt: OpenAttempt): void

  /** Whether the answer is complete if its server ends it now. */
  protected abstract isAnswerWhole (attempt: OpenAttempt): boolean

  /** Called when a successful answer has ended. Returns whether it is complete; it has then been sent to the caller. */
  protected abstract completeAnswer (attempt: OpenAttempt): boolean

  /** Called when an attempt is over, so that what has been collected of its answer is discarded. */
  protected abstract attemptClosed (attempt: OpenAttempt): void

  /** Returns the fields of the final log line that depend on the kind of answer. */
  protected abstract answerLogFields (): Record<string, unknown>

  /** Called when the server of the attempt in progress is held back. */
  protected serverHeld (): void {}

  /** Counts bytes of the answer that have been written to the caller. */
  protected answerWritten (bytes: number): void {
    this.#callerAnswer.add(bytes)
  }

  /** Records the time of the first data that is sent to the caller, and gives up the attempts that were kept until then. */
  protected recordFirstAnswer (attempt: OpenAttempt): void {
    this.#silentAttempts.closeAll()
    if (this.firstAnswerAt !== null) return
    this.firstAnswerAt = this.context.clock()
    if (attempt.placed !== null) this.context.metrics.firstAnswerSent(this.call.route.kind, attempt.placed.choice.timeToFirstEvent, this.firstAnswerAt - attempt.sentAt)
  }

  /** Measures anew how long the server of the attempt sends no data. */
  protected restartDataTimer (attempt: OpenAttempt): void {
    this.#silenceTimer.restart(attempt, attempt === this.#heldAttempt ? null : this.dataTimeout(attempt))
  }

  /** While the server is held back its silence is no failure. */
  #holdServer (isHeld: boolean): void {
    const attempt = isHeld ? this.attempt : this.#heldAttempt
    this.#heldAttempt = isHeld ? attempt : null
    if (attempt === null || attempt !== this.attempt) return
    this.serverHeld()
    attempt.serverCall?.hold(isHeld)
    // What had arrived meanwhile may have ended the attempt.
    if (attempt === this.attempt) this.restartDataTimer(attempt)
  }

  /** Waits on while the engine is known to prefill other prompts: another engine would have to read this prompt anew. */
  async #dataOverdue (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck): Promise<void> {
    const { placed } = attempt
    if (placed === null) return
    const extension = await this.context.placement.explainedSilence(placed)
    if (hasGoneOn()) return
    if (extension > 0) {
      this.#requestLog.attemptWaits(attempt, silence, extension)
      this.#silenceTimer.extend(attempt, extension, silence + extension)
      return
    }
    if (!attempt.isSilenceReported) this.context.placement.reportSilence(placed)
    attempt.isSilenceReported = true
    await this.#replaceSilent(attempt, silence, hasGoneOn)
  }

  /** Starts another attempt beside a silent one, which is only given up once the other server has begun to answer. */
  async #replaceSilent (attempt: OpenAttempt, silence: Millis, hasGoneOn: ChangeCheck): Promise<void> {
    const placement = await this.#search.find(true, false)
    if (hasGoneOn()) {
      this.#search.discard(placement)
      return
    }
    this.#lastProblem = `${AttemptEnd.TimedOut}: no progress for ${Math.round(silence)} ms`
    if (placement.type === 'refused') {
      this.#requestLog.silentAttemptKept(attempt, silence, placement.reason)
      this.#silenceTimer.extend(attempt, SEARCH_PERIOD, silence + SEARCH_PERIOD)
      return
    }
    this.history.end(attempt.server.id, AttemptEnd.TimedOut)
    this.#requestLog.attemptFailed(attempt, AttemptEnd.TimedOut, `no progress for ${Math.round(silence)} ms`)
    this.#setAside(attempt)
    this.#openAttempt(placement.attempt)
  }

  /** Before the answer has started, memory on other engines is released at once: the next attempt may need it, and a dead server would keep it. */
  #setAside (attempt: OpenAttempt): void {
    if (attempt.reservations !== null && !this.hasStartedAnswer) {
      this.#closeAttempt(attempt)
      return
    }
    this.#silenceTimer.clear()
    this.#silentAttempts.add(attempt)
  }

  /** @returns whether an attempt is in progress; a silent one whose server goes on takes the place of the one that was to replace it */
  #isCurrent (attempt: OpenAttempt): boolean {
    if (this.attempt === attempt) return true
    if (!this.#silentAttempts.has(attempt) || this.#ending.isOver) return false
    const replacement = this.attempt
    if (replacement !== null) {
      this.history.end(replacement.server.id, replacement.serverCall?.mayBeSent === true ? AttemptEnd.TimedOut : AttemptEnd.Unsent)
      this.#closeAttempt(replacement)
    }
    this.#returnToSilent(attempt, 'data')
    this.#silentAttempts.closeAll()
    return true
  }

  /** Goes on with a silent attempt, if there is one. */
  #returnToSilent (attempt: OpenAttempt | undefined, cause: 'data' | 'no_other_attempt'): boolean {
    if (attempt === undefined) return false
    this.#silentAttempts.remove(attempt)
    if (this.#waitTimer !== null) clearTimeout(this.#waitTimer)
    this.attempt = attempt
    this.#requestLog.silentAttemptResumed(attempt, cause)
    this.restartDataTimer(attempt)
    return true
  }

  /** While this node may reach no server at all, a failed connection says nothing of the server. */
  #signalOf (attempt: OpenAttempt, end: AttemptEnd): HealthSignal | null {
    return end === AttemptEnd.Unsent && this.#relay.isInDoubt ? null : healthSignalOf(attempt, end)
  }

  /** Ends an attempt without a complete answer, and starts another one if the route and the retry budget allow it. */
  protected failAttempt (attempt: OpenAttempt, end: AttemptEnd, reason: string, signal = this.#signalOf(attempt, end)): void {
    if (this.#silentAttempts.has(attempt)) {
      this.#requestLog.attemptFailed(attempt, end, reason)
      this.#silentAttempts.close(attempt, signal === HealthSignal.Faulty ? signal : null)
    }
    if (this.attempt !== attempt || this.#ending.isOver) return
    this.#closeAttempt(attempt, signal)
    if (attempt.peer !== null && end === AttemptEnd.Broken) this.context.relay.peers.failed(attempt.peer)
    this.#lastProblem = `${end}: ${reason}`
    const isRetryAllowed = this.history.end(attempt.server.id, end)
    this.#requestLog.attemptFailed(attempt, end, reason)
    const hasTimeLeft = this.context.clock() < this.call.deadlineAt
    if (isRetryAllowed && hasTimeLeft) void this.#startNextAttempt(end !== AttemptEnd.Unsent)
    else this.#giveUp()
  }

  /** Ends an attempt whose server sends more than an answer may hold. A head that says that the request has not run still holds. */
  protected answerOversized (attempt: OpenAttempt, reason: string): void {
    const end = attempt.answer?.notRun === true ? AttemptEnd.NotRun : AttemptEnd.Oversized
    this.failAttempt(attempt, end, reason, HealthSignal.Faulty)
  }

  async #startNextAttempt (chargesRetry: boolean): Promise<void> {
    this.#searchCount += 1
    const search = this.#searchCount
    // A silent attempt may have gone on and failed meanwhile, so that a later search has begun.
    const isSuperseded = (): boolean => this.#ending.isOver || this.attempt !== null || search !== this.#searchCount
    if (this.#attemptCount > 0) await this.#relay.checkSettled()
    if (isSuperseded()) return
    const peer = this.#relay.choosePeer()
    if (peer !== null) {
      this.#passOn(peer)
      return
    }
    const placement = await this.#search.find(chargesRetry)
    if (isSuperseded()) {
      this.#search.discard(placement)
      return
    }
    if (placement.type === 'placed') {
      this.#openAttempt(placement.attempt)
      return
    }
    const quarantine = placement.reason === PlacementRefusal.Quarantined ? this.#guard.findQuarantine() : null
    if (quarantine !== null) {
      this.#refuseQuarantined(quarantine)
      return
    }
    if (this.#waitsForServer(placement, chargesRetry)) return
    this.#requestLog.placementRefused(placement)
    this.#lastProblem ||= placement.reason
    this.#giveUp(placement)
  }

  /**
   * A request that may have run cannot be refused truthfully, so it waits for a server that will accept requests again soon. One that waits only for
   * others like it is placed as soon as they are answered.
   */
  #waitsForServer (refusal: RefusedPlacement, chargesRetry: boolean): boolean {
    const { retryAfter, reason } = refusal
    const waitsForOthers = reason === PlacementRefusal.SuspectsInProgress
    if (!waitsForOthers && !(this.history.mayHaveRun && isWaitStated(refusal))) return false
    if (retryAfter === null || retryAfter > MAX_SERVER_WAIT || this.context.clock() + retryAfter >= this.call.deadlineAt) return false
    if (this.#waitReason !== reason) this.#requestLog.requestWaits(refusal, retryAfter)
    this.#waitReason = reason
    this.#waitTimer = setTimeout(() => { void this.#startNextAttempt(waitsForOthers && chargesRetry) }, retryAfter)
    return true
  }

  /** Passes the request on to a node that reaches servers of its service. */
  #passOn (peer: RelayPeer): void {
    this.#attemptCount += 1
    const { attempt, request } = this.#relay.open(peer, this.#attemptCount, this.lastEventId)
    this.attempt = attempt
    attempt.serverCall = new ServerCall(request, this.#createListener(attempt))
  }

  /** @returns whether the attempt has ended, because the other node does not pass on the answer of a server */
  #peerRefused (attempt: OpenAttempt, peer: RelayPeer, head: AnswerHead): boolean {
    const refusal = this.#relay.refusalOf(peer, head)
    if (refusal === null) return false
    if (refusal.cause === null) {
      this.failAttempt(attempt, AttemptEnd.Unsent, refusal.reason, null)
      return true
    }
    this.#requestLog.attemptFailed(attempt, AttemptEnd.NotRun, refusal.reason)
    this.#lastProblem = refusal.reason
    this.#closeAttempt(attempt)
    this.context.metrics.requestRefused(refusal.cause)
    this.#refuseOrAbort(refusal.cause, ForwardOutcome.Refused, CloseCause.AnswerLost, refusal.retryAfter)
    return true
  }

  #openAttempt (placed: PlacedAttempt): void {
    const { choice: { server, holders }, assignment } = placed
    this.history.start(server.id)
    this.#attemptCount += 1
    const reservations = holders.length === 0 ? null : new MemoryReservations(assignment.id, holders, this.context.memory, this.context.log, this.context.clock)
    const attempt: OpenAttempt = { server, placed, peer: null, sentAt: this.context.clock(), reservations, serverCall: null, watch: null, hasFirstEvent: false, head: null, answer: null, isSilenceReported: false }
    this.attempt = attempt
    this.#requestLog.attemptSent(placed, this.#attemptCount, this.lastEventId, this.context.placement.answers.find(server), this.context.placement.answers.coldFor(server))
    if (reservations === null) this.#sendUnlessHindered(attempt, placed)
    else void this.#reserveAndSend(attempt, placed, reservations)
  }

  async #reserveAndSend (attempt: OpenAttempt, placed: PlacedAttempt, reservations: MemoryReservations): Promise<void> {
    const isReserved = await reservations.acquire()
    await this.context.placement.settled()
    if (this.attempt !== attempt) return
    if (isReserved) this.#sendUnlessHindered(attempt, placed)
    else this.failAttempt(attempt, AttemptEnd.Unsent, 'reserving KV cache memory failed')
  }

  /** A server may have left, or its failure domain may have been evacuated, while the attempt was being placed or memory was being reserved. */
  #sendUnlessHindered (attempt: OpenAttempt, placed: PlacedAttempt): void {
    const obstacle = this.context.placement.obstacleTo(placed)
    if (obstacle === null) this.#sendUnlessQuarantined(attempt, placed)
    else this.failAttempt(attempt, AttemptEnd.Unsent, obstacle)
  }

  /** A part may have got quarantined while the attempt was being placed, or while memory was being reserved for it. */
  #sendUnlessQuarantined (attempt: OpenAttempt, { isTrial }: PlacedAttempt): void {
    const quarantine = isTrial ? null : this.#guard.findQuarantine()
    if (quarantine === null) this.#send(attempt, isTrial)
    else this.#refuseQuarantined(quarantine)
  }

  #send (attempt: OpenAttempt, isTrial: boolean): void {
    attempt.watch = this.#guard.watch(attempt.server, isTrial)
    const request = serverCallRequest(this.call, attempt, this.lastEventId, this.context.clock())
    attempt.serverCall = new ServerCall(request, this.#createListener(attempt))
    this.restartDataTimer(attempt)
  }

  #createListener (attempt: OpenAttempt): ServerCallListener {
    const failureBody = new BoundedBuffer(MAX_FAILURE_BODY_BYTES)
    return {
      onHead: (head) => this.#headReceived(attempt, head),
      onData: (chunk) => {
        if (isSuccessfulAnswer(attempt)) this.#answerDataReceived(attempt, chunk)
        else if (this.#isCurrent(attempt) && !failureBody.append(chunk)) this.answerOversized(attempt, `the body of a failure of more than ${MAX_FAILURE_BODY_BYTES} bytes`)
      },
      onEnd: () => this.#answerEnded(attempt, failureBody.take()),
      onFailure: (mayBeSent, reason) => this.#connectionFailed(attempt, mayBeSent, reason),
      onOversize: (reason) => this.answerOversized(attempt, reason)
    }
  }

  /** A silent attempt takes the place of its replacement only if its answer goes on, not for any single byte. */
  #answerDataReceived (attempt: OpenAttempt, chunk: Buffer): void {
    if (this.#ending.isOver || (this.attempt !== attempt && !this.#silentAttempts.has(attempt))) return
    const hasGoneOn = this.chunkReceived(attempt, chunk)
    const isCurrent = hasGoneOn ? this.#isCurrent(attempt) : this.attempt === attempt
    if (!isCurrent) return
    if (hasGoneOn) this.restartDataTimer(attempt)
    attempt.watch?.dataReceived()
    // The data may refute a crash, and so leave the request itself as the cause of another one.
    if (hasGoneOn && this.attempt === attempt) this.answerContinued(attempt)
  }

  #connectionFailed (attempt: OpenAttempt, mayBeSent: boolean, reason: string): void {
    if (!mayBeSent) this.#relay.notConnected(attempt)
    if (mayBeSent && attempt.serverCall?.isBrokenOff === true) attempt.watch?.brokenOff()
    this.failAttempt(attempt, mayBeSent ? AttemptEnd.Broken : AttemptEnd.Unsent, reason)
  }

  #headReceived (attempt: OpenAttempt, head: AnswerHead): void {
    if (this.#ending.isOver || (this.attempt !== attempt && !this.#silentAttempts.has(attempt))) return
    const { peer } = attempt
    if (peer !== null && this.#peerRefused(attempt, peer, head)) return
    attempt.head = peer === null ? head : { ...head, rawHeaders: withoutRelayHeaders(head.rawHeaders) }
    attempt.answer = decodeAnswerHeaders(head.status, head.headers)
    if (peer === null) {
      this.context.relay.checks.dataReceived(attempt.server, attempt.sentAt)
      recordStatements(this.context, this.call, attempt.server, head.status, attempt.answer)
    }
    const problem = findAnswerProblem(attempt.answer, head.status, this.call.id)
    if (this.#silentAttempts.has(attempt) && (problem !== null || !isSuccessfulAnswer(attempt))) {
      this.failAttempt(attempt, AttemptEnd.Failed, problem ?? `status ${head.status}`)
      return
    }
    if (!this.#isCurrent(attempt)) return
    if (problem !== null) this.failAttempt(attempt, AttemptEnd.Broken, problem)
    else if (isSuccessfulAnswer(attempt)) this.successStarted(attempt)
  }

  #answerEnded (attempt: OpenAttempt, body: Buffer): void {
    if (this.#silentAttempts.has(attempt) && !this.isAnswerWhole(attempt)) {
      this.#connectionEnded(attempt, 'the answer ended before it was complete')
      return
    }
    if (!this.#isCurrent(attempt)) return
    const { head, answer } = attempt
    if (head === null || answer === null) {
      this.#connectionEnded(attempt, 'the answer ended before its head')
    } else if (answer.notRun) {
      if (isOfOtherServer(attempt.server, head.status, answer)) this.context.fleetState.markServerReplaced(attempt.server.id)
      this.#notRunReceived(attempt, head.status, answer.faultyServer)
    } else if (head.status >= FIRST_FAILURE_STATUS) {
      this.#serverFailed(attempt, { head, body })
    } else if (this.completeAnswer(attempt)) {
      attempt.watch?.completed()
      this.#closeAttempt(attempt, HealthSignal.Good, this.#serviceTimeOf(attempt))
      this.#ending.answered(head.status)
    } else {
      this.#connectionEnded(attempt, 'the answer ended before it was complete')
    }
  }

  #connectionEnded (attempt: OpenAttempt, reason: string): void {
    attempt.watch?.brokenOff()
    this.failAttempt(attempt, AttemptEnd.Broken, reason)
  }

  #notRunReceived (attempt: OpenAttempt, status: number, faultyServer: string | null): void {
    if (faultyServer === null || faultyServer === attempt.server.address) {
      this.failAttempt(attempt, AttemptEnd.NotRun, `status ${status}`)
      return
    }
    this.context.placement.reportUnreachableAddress(faultyServer)
    this.failAttempt(attempt, AttemptEnd.HelperFailed, `status ${status}, caused by ${faultyServer}`)
  }

  #serverFailed (attempt: OpenAttempt, failure: SignedFailure): void {
    this.signedFailure = failure
    if (failure.head.status >= SERVER_ERROR && attempt.peer === null) {
      this.failAttempt(attempt, AttemptEnd.Failed, `status ${failure.head.status}`)
      return
    }
    this.#closeAttempt(attempt)
    this.#ending.returnFailure(failure)
  }

  #giveUp (refusal: RefusedPlacement | null = null): void {
    if ((this.hasStartedAnswer || this.signedFailure === null) && this.#returnToSilent(this.#silentAttempts.first, 'no_other_attempt')) return
    if (this.hasStartedAnswer) {
      this.#ending.abort(ForwardOutcome.Lost, CloseCause.AnswerLost, this.stage)
    } else if (this.signedFailure !== null) {
      this.#ending.returnFailure(this.signedFailure)
    } else if (this.history.mayHaveRun) {
      this.#ending.refuse(RefusalCause.AnswerLost, ForwardOutcome.Lost)
    } else {
      this.#ending.refuse(refusalCauseOf(refusal), ForwardOutcome.Refused, refusal?.retryAfter ?? null)
    }
  }

  /** Final, since each repetition could crash another engine. */
  #refuseQuarantined (verdict: QuarantineVerdict): void {
    if (this.#ending.isOver) return
    const mayHaveRun = this.#closeLastAttempt()
    this.#requestLog.quarantined(verdict, mayHaveRun)
    this.context.placement.quarantine.refused(verdict)
    this.#lastProblem = quarantineProblem(verdict)
    const cause = quarantineCauseOf(verdict, mayHaveRun)
    this.context.metrics.requestRefused(cause)
    this.#refuseOrAbort(cause, mayHaveRun ? ForwardOutcome.Lost : ForwardOutcome.Refused, CloseCause.Quarantined)
  }

  #deadlinePassed (): void {
    if (this.#ending.isOver) return
    const mayHaveRun = this.#closeLastAttempt()
    this.#refuseOrAbort(mayHaveRun ? RefusalCause.TimedOut : RefusalCause.TimedOutUnsent, ForwardOutcome.TimedOut, CloseCause.DeadlinePassed)
  }

  /** Closes the attempt in progress, if there is one. Returns whether a backend server may have run the request. */
  #closeLastAttempt (): boolean {
    const { attempt } = this
    const mayHaveRun = this.history.mayHaveRun || attempt?.serverCall?.mayBeSent === true
    if (attempt !== null) this.#closeAttempt(attempt)
    return mayHaveRun
  }

  /** A caller that has a part of an answer cannot be refused any more. */
  #refuseOrAbort (refusal: RefusalCause, outcome: ForwardOutcome, closeCause: CloseCause, retryAfter: Millis | null = null): void {
    if (this.hasStartedAnswer) this.#ending.abort(outcome, closeCause, this.stage)
    else this.#ending.refuse(refusal, outcome, retryAfter)
  }

  #callerDisconnected (): void {
    if (this.#ending.isOver) return
    if (this.attempt !== null) this.#closeAttempt(this.attempt)
    this.#ending.callerDisconnected()
  }

  /** Its connection is reset. */
  #callerCutOff (reason: string): void {
    const { stage } = this
    if (this.#ending.isOver) {
      this.#ending.recordUnanswered(CloseCause.SlowReader, stage, reason)
      return
    }
    if (this.attempt !== null) this.#closeAttempt(this.attempt)
    this.#lastProblem = reason
    this.#ending.abort(ForwardOutcome.CallerCutOff, CloseCause.SlowReader, stage)
  }

  /** Time of a complete answer, if placement depends on it. */
  #serviceTimeOf ({ sentAt }: OpenAttempt): Millis | undefined {
    return isUneven(this.call.service) ? this.context.clock() - sentAt : undefined
  }

  #closeAttempt (attempt: OpenAttempt, signal: HealthSignal | null = null, serviceTime?: Millis): void {
    this.#silenceTimer.clear()
    this.attempt = null
    this.#release(attempt, signal, serviceTime)
  }

  #release (attempt: OpenAttempt, signal: HealthSignal | null, serviceTime?: Millis): void {
    attempt.watch?.ended()
    attempt.serverCall?.abort()
    this.attemptClosed(attempt)
    attempt.reservations?.release()
    if (attempt.placed !== null) this.context.placement.removeAssignment(attempt.placed, signal, serviceTime)
    if (attempt.peer !== null) this.context.relay.peers.ended(attempt.peer)
  }

  #releaseAll (): void {
    this.#over.abort()
    this.#silentAttempts.closeAll()
    if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer)
    if (this.#waitTimer !== null) clearTimeout(this.#waitTimer)
  }

  #summary (): RequestSummary {
    return {
      servers: this.history.triedServers(),
      firstAnswer: this.firstAnswerAt === null ? null : this.firstAnswerAt - this.call.arrivedAt,
      problem: this.#lastProblem,
      answerFields: this.answerLogFields()
    }
  }
}
