/** Forwards one request: makes attempts at backend servers until an answer is complete or the request is given up. */
import type { ServerResponse } from 'node:http'

import { AttemptEnd, AttemptHistory, HealthSignal } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

import type { AdmittedCall } from './AdmittedCall.js'
import { AnswerReceiver } from './AnswerReceiver.js'
import type { AnswerHandler } from './AnswerReceiver.js'
import { AttemptSearch, NODE_STOPPING } from './AttemptSearch.js'
import { AttemptSender } from './AttemptSender.js'
import { CallerAnswer } from './buffers/CallerAnswer.js'
import { RefusalCause } from './entry/refusals.js'
import type { ForwardingHost, RequestProgress } from './ForwardingHost.js'
import { ErrorScope } from './ForwardMetrics.js'
import { ForwardOutcome } from './ForwardOutcome.js'
import { healthSignalOf } from './healthSignal.js'
import type { QuarantineVerdict } from './quarantine/NodeQuarantine.js'
import { RequestGuard } from './quarantine/RequestGuard.js'
import { quarantineCauseOf, quarantineProblem, refusalCauseOf } from './refusalCause.js'
import { RequestRelay } from './relay/RequestRelay.js'
import type { PeerRefusal } from './relay/RequestRelay.js'
import { RequestEnding } from './RequestEnding.js'
import type { RequestSummary } from './RequestEnding.js'
import { RequestLog } from './RequestLog.js'
import { PlacementRefusal } from './scheduling/types.js'
import type { RefusedPlacement } from './scheduling/types.js'
import { ServerWait } from './ServerWait.js'
import { SilentReplacement } from './SilentReplacement.js'
import { StartLimit } from './stop/StartLimit.js'
import type { ForwardingContext, OpenAttempt } from './types.js'
import { CloseCause, RequestStage } from './unansweredRequests.js'

/** Sends one request to one backend server after another, as far as its route and the retry budget allow. */
export abstract class Forwarding {
  protected readonly history: AttemptHistory
  readonly #progress: RequestProgress = { attempt: null, attemptCount: 0, lastProblem: '', signedFailure: null }
  readonly #guard: RequestGuard
  readonly #requestLog: RequestLog
  readonly #ending: RequestEnding
  readonly #search: AttemptSearch
  readonly #startLimit: StartLimit
  readonly #wait: ServerWait
  /** Aborted when the request is over. */
  readonly #over = new AbortController()
  readonly #relay: RequestRelay
  readonly #silence: SilentReplacement
  readonly #sender: AttemptSender
  readonly #callerAnswer: CallerAnswer
  /** Attempt whose server is held back, because the caller does not read; null if there is none. */
  #heldAttempt: OpenAttempt | null = null
  #firstAnswerAt: Millis | null = null
  #searchCount = 0
  #deadlineTimer: NodeJS.Timeout | null = null

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
    this.#startLimit = new StartLimit({ context, call, hasStartedAnswer: () => this.hasStartedAnswer, onOver: () => this.#startLimitReached() })
    this.#search = new AttemptSearch({ placement: context.placement, call, history: this.history, guard: this.#guard, requestLog: this.#requestLog, startLimit: this.#startLimit, signal: this.#over.signal })
    this.#wait = new ServerWait({ call, history: this.history, requestLog: this.#requestLog, clock: context.clock, onOver: (chargesRetry) => this.#beginNextAttempt(chargesRetry) })
    const host = this.#createHost()
    this.#silence = new SilentReplacement(host, () => this.#wait.stop())
    const receiver = new AnswerReceiver({ host, silence: this.#silence, handler: this.#createAnswerHandler() })
    this.#sender = new AttemptSender({ host, createListener: (attempt) => receiver.createListener(attempt), onSent: (attempt) => this.#silence.restartTimer(attempt) })
  }

  /** Starts the first attempt. */
  start (): void {
    const { clock } = this.context
    this.response.once('close', () => { if (!this.response.writableFinished) this.#callerDisconnected() })
    this.#deadlineTimer = setTimeout(() => this.#deadlinePassed(), Math.max(0, this.call.deadlineAt - clock()))
    if (this.context.stop.isUnderWay) this.nodeStopping()
    this.#beginNextAttempt(false)
  }

  /** Ends the wait for a server in time for the caller to ask another node, because this one is stopping. */
  nodeStopping (): void {
    this.#startLimit.nodeStopping()
  }

  /** Whether the outcome is known; the caller may not have read it yet. */
  get isOver (): boolean {
    return this.#ending.isOver
  }

  /** Ends the request, because the stop grace of this node is over. A caller that has nothing of an answer is told whether its request may have run. */
  breakOff (): void {
    const { stage } = this
    if (this.#ending.isOver) return
    const mayHaveRun = this.#closeLastAttempt()
    this.#ending.breakOff(CloseCause.StopGraceOver, stage, { hasStartedAnswer: this.hasStartedAnswer, mayHaveRun, signedFailure: this.#progress.signedFailure })
  }

  /** Records that the connections are closed while the caller has not read its answer. */
  recordUnread (): void {
    this.#ending.recordUnanswered(CloseCause.StopGraceOver, this.stage, 'the caller has not read its answer')
  }

  /** Attempt in progress; null while one is being placed. */
  protected get attempt (): OpenAttempt | null {
    return this.#progress.attempt
  }

  /** How far the request has come. */
  get stage (): RequestStage {
    if (this.hasStartedAnswer) return RequestStage.Answer
    if (this.#progress.attempt === null) return RequestStage.Placement
    return this.#progress.attempt.serverCall === null ? RequestStage.Reservation : RequestStage.Sent
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
    this.#silence.closeAll()
    if (this.#firstAnswerAt !== null) return
    this.#firstAnswerAt = this.context.clock()
    if (attempt.placed !== null) this.context.metrics.firstAnswerSent(this.call.route.kind, attempt.placed.choice.timeToFirstEvent, this.#firstAnswerAt - attempt.sentAt)
  }

  /** While the server is held back its silence is no failure. */
  #holdServer (isHeld: boolean): void {
    const attempt = isHeld ? this.attempt : this.#heldAttempt
    this.#heldAttempt = isHeld ? attempt : null
    if (attempt === null || attempt !== this.attempt) return
    this.serverHeld()
    attempt.serverCall?.hold(isHeld)
    // What had arrived meanwhile may have ended the attempt.
    if (attempt === this.attempt) this.#silence.restartTimer(attempt)
  }

  /** While this node may reach no server at all, a failed connection says nothing of the server. */
  #signalOf (attempt: OpenAttempt, end: AttemptEnd): HealthSignal | null {
    return end === AttemptEnd.Unsent && this.#relay.isInDoubt ? null : healthSignalOf(attempt, end)
  }

  /** Ends an attempt without a complete answer, and starts another one if the route and the retry budget allow it. */
  protected failAttempt (attempt: OpenAttempt, end: AttemptEnd, reason: string, signal = this.#signalOf(attempt, end)): void {
    if (this.#silence.has(attempt)) {
      this.#requestLog.attemptFailed(attempt, end, reason)
      if (attempt.isRaced) this.history.end(attempt.server.id, end)
      this.#silence.close(attempt, attempt.isRaced || signal === HealthSignal.Faulty ? signal : null)
    }
    if (this.#progress.attempt !== attempt || this.#ending.isOver) return
    this.#closeAttempt(attempt, signal)
    if (attempt.peer !== null && end === AttemptEnd.Broken) this.context.relay.peers.failed(attempt.peer)
    this.#progress.lastProblem = `${end}: ${reason}`
    const isRetryAllowed = this.history.end(attempt.server.id, end)
    this.#requestLog.attemptFailed(attempt, end, reason)
    if (this.#silence.resumeRaced()) return
    const hasTimeLeft = this.context.clock() < this.call.deadlineAt
    if (isRetryAllowed && hasTimeLeft) this.#beginNextAttempt(end !== AttemptEnd.Unsent)
    else this.#giveUp()
  }

  /** Ends an attempt whose server sends more than an answer may hold. A head that says that the request has not run still holds. */
  protected answerOversized (attempt: OpenAttempt, reason: string): void {
    const end = attempt.answer?.notRun === true ? AttemptEnd.NotRun : AttemptEnd.Oversized
    this.failAttempt(attempt, end, reason, HealthSignal.Faulty)
  }

  /** An error while an attempt is begun ends this request, and not the process with all others. */
  #beginNextAttempt (chargesRetry: boolean): void {
    this.#startNextAttempt(chargesRetry).catch((error: unknown) => this.#failInternally(error))
  }

  #failInternally (error: unknown): void {
    this.#requestLog.failedInternally(error)
    this.context.metrics.errorContained(ErrorScope.Request)
    if (this.#ending.isOver) return
    const mayHaveRun = this.#closeLastAttempt()
    this.#progress.lastProblem = 'an error in this node'
    this.#refuseOrAbort(mayHaveRun ? RefusalCause.AnswerLost : RefusalCause.NoServer, mayHaveRun ? ForwardOutcome.Lost : ForwardOutcome.Refused, CloseCause.AnswerLost)
  }

  async #startNextAttempt (chargesRetry: boolean): Promise<void> {
    this.#searchCount += 1
    const search = this.#searchCount
    // A silent attempt may have gone on and failed meanwhile, so that a later search has begun.
    const isSuperseded = (): boolean => this.#ending.isOver || this.#progress.attempt !== null || search !== this.#searchCount
    if (this.#progress.attemptCount > 0) await this.#relay.checkSettled()
    if (isSuperseded()) return
    const peer = this.#relay.choosePeer()
    if (peer !== null && !this.#startLimit.isOver()) {
      this.#sender.passOn(peer)
      return
    }
    const placement = await this.#search.find(chargesRetry)
    if (isSuperseded()) {
      this.#search.discard(placement)
      return
    }
    if (placement.type === 'placed') {
      this.#sender.open(placement.attempt)
      return
    }
    const quarantine = placement.reason === PlacementRefusal.Quarantined ? this.#guard.findQuarantine() : null
    if (quarantine !== null) {
      this.#refuseQuarantined(quarantine)
      return
    }
    if (!this.#wait.begin(placement, chargesRetry)) this.#notPlaced(placement)
  }

  #notPlaced (refusal: RefusedPlacement): void {
    this.#requestLog.placementRefused(refusal)
    this.#progress.lastProblem ||= refusal.reason
    this.#giveUp(refusal)
  }

  /** What waits for a placement or for memory, and has not been sent, could not be answered in time any more. */
  #startLimitReached (): void {
    const { attempt } = this.#progress
    if (this.#ending.isOver || this.hasStartedAnswer) return
    if (attempt === null) {
      // Supersedes the search in progress.
      this.#searchCount += 1
      this.#wait.stop()
      this.#notPlaced(NODE_STOPPING)
    } else if (attempt.serverCall === null) {
      this.failAttempt(attempt, AttemptEnd.Unsent, 'this node is stopping', null)
    }
  }

  #peerRefused (attempt: OpenAttempt, { cause, reason, retryAfter }: PeerRefusal): void {
    if (cause === null) {
      this.failAttempt(attempt, AttemptEnd.Unsent, reason, null)
      return
    }
    this.#requestLog.attemptFailed(attempt, AttemptEnd.NotRun, reason)
    this.#progress.lastProblem = reason
    this.#closeAttempt(attempt)
    this.#refuseOrAbort(cause, ForwardOutcome.Refused, CloseCause.AnswerLost, retryAfter)
  }

  #createHost (): ForwardingHost {
    return {
      context: this.context,
      call: this.call,
      history: this.history,
      requestLog: this.#requestLog,
      guard: this.#guard,
      search: this.#search,
      startLimit: this.#startLimit,
      relay: this.#relay,
      ending: this.#ending,
      progress: this.#progress,
      lastEventId: () => this.lastEventId,
      hasStartedAnswer: () => this.hasStartedAnswer,
      dataTimeout: (attempt) => attempt === this.#heldAttempt ? null : this.dataTimeout(attempt),
      open: (placed, isHedge) => this.#sender.open(placed, isHedge),
      close: (attempt, signal, serviceTime) => this.#closeAttempt(attempt, signal, serviceTime),
      release: (attempt, signal) => this.#release(attempt, signal),
      fail: (attempt, end, reason, signal) => this.failAttempt(attempt, end, reason, signal),
      failInternally: (error) => this.#failInternally(error),
      refuseQuarantined: (verdict) => this.#refuseQuarantined(verdict)
    }
  }

  #createAnswerHandler (): AnswerHandler {
    return {
      successStarted: (attempt) => this.successStarted(attempt),
      chunkReceived: (attempt, chunk) => this.chunkReceived(attempt, chunk),
      answerContinued: (attempt) => this.answerContinued(attempt),
      isAnswerWhole: (attempt) => this.isAnswerWhole(attempt),
      completeAnswer: (attempt) => this.completeAnswer(attempt),
      answerOversized: (attempt, reason) => this.answerOversized(attempt, reason),
      peerRefused: (attempt, refusal) => this.#peerRefused(attempt, refusal)
    }
  }

  #giveUp (refusal: RefusedPlacement | null = null): void {
    if ((this.hasStartedAnswer || this.#progress.signedFailure === null) && this.#silence.resumeFirst()) return
    if (this.hasStartedAnswer) {
      this.#ending.abort(ForwardOutcome.Lost, CloseCause.AnswerLost, this.stage)
    } else if (this.#progress.signedFailure !== null) {
      this.#ending.returnFailure(this.#progress.signedFailure)
    } else if (this.history.mayHaveRun) {
      this.#ending.refuse(RefusalCause.AnswerLost, ForwardOutcome.Lost)
    } else {
      this.#ending.refuse(refusalCauseOf(refusal ?? this.#stoppingRefusal()), ForwardOutcome.Refused, refusal?.retryAfter ?? null)
    }
  }

  #stoppingRefusal (): RefusedPlacement | null {
    return this.#startLimit.isOver() ? NODE_STOPPING : null
  }

  /** Final, since each repetition could crash another engine. */
  #refuseQuarantined (verdict: QuarantineVerdict): void {
    if (this.#ending.isOver) return
    const mayHaveRun = this.#closeLastAttempt()
    this.#requestLog.quarantined(verdict, mayHaveRun)
    this.context.placement.quarantine.refused(verdict)
    this.#progress.lastProblem = quarantineProblem(verdict)
    const cause = quarantineCauseOf(verdict, mayHaveRun)
    this.#refuseOrAbort(cause, mayHaveRun ? ForwardOutcome.Lost : ForwardOutcome.Refused, CloseCause.Quarantined)
  }

  #deadlinePassed (): void {
    if (this.#ending.isOver) return
    const mayHaveRun = this.#closeLastAttempt()
    this.#refuseOrAbort(mayHaveRun ? RefusalCause.TimedOut : RefusalCause.TimedOutUnsent, ForwardOutcome.TimedOut, CloseCause.DeadlinePassed)
  }

  /** Closes the attempt in progress, if there is one. Returns whether a backend server may have run the request. */
  #closeLastAttempt (): boolean {
    const { attempt } = this.#progress
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
    if (this.#progress.attempt !== null) this.#closeAttempt(this.#progress.attempt)
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
    this.#progress.lastProblem = reason
    this.#ending.abort(ForwardOutcome.CallerCutOff, CloseCause.SlowReader, stage)
  }

  #closeAttempt (attempt: OpenAttempt, signal: HealthSignal | null = null, serviceTime?: Millis): void {
    this.#silence.stopTimer()
    this.#progress.attempt = null
    this.#release(attempt, signal, serviceTime)
  }

  #release (attempt: OpenAttempt, signal: HealthSignal | null, serviceTime?: Millis): void {
    attempt.watch?.ended()
    attempt.serverCall?.abort()
    this.attemptClosed(attempt)
    attempt.reservations?.release()
    this.context.placement.hedgeTiming.attemptEnded(this.call, attempt, signal === HealthSignal.Good)
    if (attempt.placed !== null) this.context.placement.removeAssignment(attempt.placed, signal, serviceTime)
    if (attempt.peer !== null) this.context.relay.peers.ended(attempt.peer)
  }

  #releaseAll (): void {
    this.#over.abort()
    this.#startLimit.dispose()
    this.#silence.closeAll()
    if (this.#deadlineTimer !== null) clearTimeout(this.#deadlineTimer)
    this.#wait.stop()
  }

  #summary (): RequestSummary {
    return {
      servers: this.history.triedServers(),
      firstAnswer: this.#firstAnswerAt === null ? null : this.#firstAnswerAt - this.call.arrivedAt,
      problem: this.#progress.lastProblem,
      answerFields: this.answerLogFields()
    }
  }
}
