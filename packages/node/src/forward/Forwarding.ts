/** One request on its way: attempts at backend servers until an answer is whole or the request is given up. */
import type { ServerResponse } from 'node:http'

import { AttemptEnd, AttemptHistory, HealthSignal } from '@bluebellhill/domain'
import type { PlacementChoice, Millis, RunnerId } from '@bluebellhill/domain'
import { decodeAnswerHeaders, encodeForwardedHeaders, encodeReturnedHeaders } from '@bluebellhill/platform'
import type { AnswerHeaders } from '@bluebellhill/platform'

import type { AdmittedCall } from './AdmittedCall.js'
import { FIRST_FAILURE_STATUS, isSuccess, problemOf, withoutLength } from './answers.js'
import { ServerCall } from './backend/ServerCall.js'
import type { AnswerHead, ServerCallListener } from './backend/ServerCall.js'
import { RefusalCause, refuse } from './entry/refusals.js'
import { RequestLog } from './RequestLog.js'
import { Reservations } from './Reservations.js'
import { ForwardOutcome } from './types.js'
import type { ForwardingContext, OpenAttempt, SignedFailure } from './types.js'

/** Time to open a connection to a backend server. */
const CONNECT_TIMEOUT: Millis = 250

const SERVER_ERROR = 500
const MISDIRECTED = 421

/** Sends one request to one backend server after another, as far as its route allows. */
export abstract class Forwarding {
  protected attempt: OpenAttempt | null = null
  protected readonly history: AttemptHistory
  protected failure: SignedFailure | null = null
  protected firstAnswerAt: Millis | null = null
  readonly #log: RequestLog
  #attempts = 0
  #lastProblem = ''
  #over = false
  #deadline: NodeJS.Timeout | null = null
  #silence: NodeJS.Timeout | null = null

  /**
   * @param context - what requests share
   * @param call - the request
   * @param response - where the answer goes
   */
  constructor (protected readonly context: ForwardingContext, protected readonly call: AdmittedCall, protected readonly response: ServerResponse) {
    this.history = new AttemptHistory(call.route)
    this.#log = new RequestLog(context, call)
  }

  /** Starts the first attempt. */
  start (): void {
    const { dispatch, clock } = this.context
    dispatch.admitted(this.call.service.name)
    this.response.once('close', () => { if (!this.response.writableFinished) this.#callerLeft() })
    this.#deadline = setTimeout(() => this.#timedOut(), Math.max(0, this.call.endsAt - clock()))
    this.#next()
  }

  /** Whether any part of an answer has gone to the caller. */
  protected get answering (): boolean {
    return this.response.headersSent
  }

  /** The last event that the caller has, for the next attempt. */
  protected abstract get lastEventId (): string | null

  /** Longest time without a byte of the answer; null waits until the end. */
  protected abstract patience (attempt: OpenAttempt): Millis | null

  /** A signed success has begun. */
  protected abstract begun (attempt: OpenAttempt): void

  /** A piece of a signed success. */
  protected abstract piece (attempt: OpenAttempt, piece: Buffer): void

  /** @returns whether the answer is whole; the caller then has it */
  protected abstract complete (attempt: OpenAttempt): boolean

  /** Fields of the closing log line that depend on the kind of answer. */
  protected abstract summary (): Record<string, unknown>

  /** Notes the moment at which the answer reached the caller first. */
  protected answered (attempt: OpenAttempt): void {
    if (this.firstAnswerAt !== null) return
    this.firstAnswerAt = this.context.clock()
    this.context.metrics.firstAnswer(this.call.route.kind, attempt.choice.timeToFirstEvent, this.firstAnswerAt - attempt.sentAt)
  }

  /** Restarts the wait for the next byte. */
  protected awaitBytes (attempt: OpenAttempt): void {
    if (this.#silence !== null) clearTimeout(this.#silence)
    const patience = this.patience(attempt)
    this.#silence = patience === null ? null : setTimeout(() => this.fail(attempt, AttemptEnd.TimedOut, `no byte for ${Math.round(patience)} ms`), patience)
  }

  /** Ends an attempt without a whole answer, and goes on with another where the route allows it. */
  protected fail (attempt: OpenAttempt, end: AttemptEnd, reason: string): void {
    if (this.attempt !== attempt || this.#over) return
    this.#judge(attempt, end)
    this.#closeAttempt(attempt)
    this.#lastProblem = `${end}: ${reason}`
    const mayFollow = this.history.end(attempt.server.id, end)
    this.#log.attemptFailed(attempt, end, reason)
    if (mayFollow && this.#mayGoOn(end)) this.#next()
    else this.#giveUp()
  }

  #mayGoOn (end: AttemptEnd): boolean {
    const { call, context } = this
    if (context.clock() >= call.endsAt) return false
    if (end === AttemptEnd.Unsent || context.dispatch.takeRetry(call.service.name)) return true
    this.#log.retryBudgetSpent()
    return false
  }

  #next (): void {
    const { dispatch, clock } = this.context
    const choice = this.#choose()
    if (choice === null) {
      this.#lastProblem ||= 'no backend server can take it'
      this.#giveUp()
      return
    }
    this.history.start(choice.server.id)
    this.#attempts += 1
    const work = dispatch.begin(this.call, choice)
    const reservations = choice.holders.length === 0 ? null : new Reservations(work.id, choice.holders, this.context.memory, this.context.log)
    const attempt: OpenAttempt = { server: choice.server, work, sentAt: clock(), choice, reservations, call: null, isRead: false, head: null, answer: null }
    this.attempt = attempt
    this.#log.sent(choice, this.#attempts, this.lastEventId)
    if (reservations === null) this.#send(attempt)
    else void this.#reserveAndSend(attempt, reservations)
  }

  /** A fault in the choice fails this request, not the process with everybody else's. */
  #choose (): PlacementChoice | null {
    try {
      return this.context.dispatch.choose(this.call, this.history)
    } catch (error) {
      this.#lastProblem = 'the choice of a backend server failed'
      this.#log.choiceFailed(error)
      return null
    }
  }

  async #reserveAndSend (attempt: OpenAttempt, reservations: Reservations): Promise<void> {
    const taken = await reservations.take()
    if (this.attempt !== attempt) return
    if (taken) this.#send(attempt)
    else this.fail(attempt, AttemptEnd.Unsent, 'the memory could not be reserved')
  }

  #send (attempt: OpenAttempt): void {
    attempt.call = this.#callTo(attempt)
    this.awaitBytes(attempt)
  }

  #callTo (attempt: OpenAttempt): ServerCall {
    const { call } = this
    const headers = encodeForwardedHeaders(call.headers, {
      deadline: call.endsAt - this.context.clock(),
      expectedServer: attempt.server.id,
      organisation: call.organisation,
      urgency: call.service.engine === null ? null : call.urgency,
      helpers: attempt.choice.helpers.map(({ id, address }) => ({ address, reservation: this.#reservationOf(attempt, id) })),
      lastEventId: this.lastEventId
    })
    const request = { address: attempt.server.address, method: call.method, path: call.path, headers, body: call.body, connectTimeout: CONNECT_TIMEOUT }
    return new ServerCall(request, this.#listener(attempt))
  }

  #reservationOf ({ reservations, choice }: OpenAttempt, id: RunnerId): string | null {
    return choice.holders.some(({ server }) => server.id === id) ? reservations?.id ?? null : null
  }

  #listener (attempt: OpenAttempt): ServerCallListener {
    const failure: Buffer[] = []
    return {
      head: (head) => this.#head(attempt, head),
      data: (piece) => {
        if (this.attempt !== attempt) return
        this.awaitBytes(attempt)
        if (isSuccess(attempt)) this.piece(attempt, piece)
        else failure.push(piece)
      },
      ended: () => this.#ended(attempt, Buffer.concat(failure)),
      broke: (sent, reason) => this.fail(attempt, sent ? AttemptEnd.Broken : AttemptEnd.Unsent, reason)
    }
  }

  #head (attempt: OpenAttempt, head: AnswerHead): void {
    if (this.attempt !== attempt) return
    attempt.head = head
    attempt.answer = decodeAnswerHeaders(head.status, head.headers)
    const problem = problemOf(attempt.answer, head.status, this.call.id)
    if (problem !== null) this.fail(attempt, AttemptEnd.Broken, problem)
    else if (isSuccess(attempt)) this.begun(attempt)
  }

  #ended (attempt: OpenAttempt, body: Buffer): void {
    if (this.attempt !== attempt) return
    const { head, answer } = attempt
    if (head === null || answer === null) {
      this.fail(attempt, AttemptEnd.Broken, 'the answer has no head')
    } else if (answer.notRun) {
      this.#replaced(attempt, head, answer)
      this.#refused(attempt, head.status, answer.faultyServer)
    } else if (head.status >= FIRST_FAILURE_STATUS) {
      this.#serverFailed(attempt, { head, body })
    } else if (this.complete(attempt)) {
      this.#closeAttempt(attempt)
      this.context.dispatch.observe(attempt.server, HealthSignal.Good)
      this.#finish(ForwardOutcome.Answered, head.status)
    } else {
      this.fail(attempt, AttemptEnd.Broken, 'the answer ended early')
    }
  }

  #refused (attempt: OpenAttempt, status: number, faultyServer: string | null): void {
    if (faultyServer === null || faultyServer === attempt.server.address) {
      this.fail(attempt, AttemptEnd.NotRun, `status ${status}`)
      return
    }
    this.context.dispatch.blame(faultyServer)
    this.fail(attempt, AttemptEnd.HelperFailed, `status ${status} because of ${faultyServer}`)
  }

  #replaced (attempt: OpenAttempt, head: AnswerHead, { server }: AnswerHeaders): void {
    if (head.status === MISDIRECTED && server !== attempt.server.id) this.context.knowledge.foundReplaced(attempt.server.id)
  }

  #serverFailed (attempt: OpenAttempt, failure: SignedFailure): void {
    this.failure = failure
    if (failure.head.status >= SERVER_ERROR) {
      this.fail(attempt, AttemptEnd.Failed, `status ${failure.head.status}`)
      return
    }
    this.#closeAttempt(attempt)
    this.#returnFailure(failure)
  }

  #judge ({ server, call }: OpenAttempt, end: AttemptEnd): void {
    // A refusal because of a helper, or for want of room, says nothing against the server itself.
    if (end === AttemptEnd.NotRun || end === AttemptEnd.HelperFailed || call === null) return
    if (end === AttemptEnd.TimedOut && this.context.dispatch.isReading(server)) return
    this.context.dispatch.observe(server, end === AttemptEnd.Unsent ? HealthSignal.Unreachable : HealthSignal.Bad)
  }

  #giveUp (): void {
    if (this.answering) {
      this.#breakOff(ForwardOutcome.Lost)
    } else if (this.failure !== null) {
      this.#returnFailure(this.failure)
    } else if (this.history.mayHaveRun) {
      refuse(this.response, RefusalCause.AnswerLost)
      this.#finish(ForwardOutcome.Lost, this.response.statusCode)
    } else {
      refuse(this.response, RefusalCause.NoServer)
      this.#finish(ForwardOutcome.Refused, this.response.statusCode)
    }
  }

  #returnFailure ({ head, body }: SignedFailure): void {
    this.response.writeHead(head.status, withoutLength(encodeReturnedHeaders(head.rawHeaders), body.length))
    this.response.end(body)
    this.#finish(ForwardOutcome.ServerFailed, head.status)
  }

  #timedOut (): void {
    if (this.#over) return
    const { attempt } = this
    const mayHaveRun = this.history.mayHaveRun || attempt?.call?.sent === true
    if (attempt !== null) this.#closeAttempt(attempt)
    if (this.answering) {
      this.#breakOff(ForwardOutcome.TimedOut)
      return
    }
    refuse(this.response, mayHaveRun ? RefusalCause.TimedOut : RefusalCause.TimedOutUnsent)
    this.#finish(ForwardOutcome.TimedOut, this.response.statusCode)
  }

  /** An answer that has begun and cannot be completed must not look whole. */
  #breakOff (outcome: ForwardOutcome): void {
    this.#finish(outcome, this.response.statusCode)
    this.response.destroy()
  }

  #callerLeft (): void {
    if (this.#over) return
    if (this.attempt !== null) this.#closeAttempt(this.attempt)
    this.#finish(ForwardOutcome.CallerGone, 0)
  }

  #closeAttempt (attempt: OpenAttempt): void {
    if (this.#silence !== null) clearTimeout(this.#silence)
    this.attempt = null
    attempt.call?.abort()
    attempt.reservations?.end()
    this.context.dispatch.end(attempt.work)
  }

  #finish (outcome: ForwardOutcome, status: number): void {
    if (this.#over) return
    this.#over = true
    if (this.#deadline !== null) clearTimeout(this.#deadline)
    const { call, context } = this
    const took = context.clock() - call.arrivedAt
    context.metrics.ended(call.route.kind, outcome, took)
    this.#log.ended({
      outcome,
      status,
      servers: this.history.triedServers(),
      firstAnswer: this.firstAnswerAt === null ? null : this.firstAnswerAt - call.arrivedAt,
      took,
      problem: this.#lastProblem,
      further: this.summary()
    })
  }
}
