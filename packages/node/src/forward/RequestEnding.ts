/** Ends one request, exactly once. */
import type { ServerResponse } from 'node:http'

import { mayRunAgain } from '@bluebellhill/domain'
import type { Millis, RunnerId } from '@bluebellhill/domain'
import { encodeReturnedHeaders } from '@bluebellhill/platform'

import type { AdmittedCall } from './AdmittedCall.js'
import { withContentLength } from './answerHeads.js'
import { RefusalCause, refuse } from './entry/refusals.js'
import { ForwardOutcome } from './ForwardOutcome.js'
import type { RequestLog } from './RequestLog.js'
import type { ForwardingContext, SignedFailure } from './types.js'
import { breakConnection } from './entry/breakConnection.js'
import { StartPhase } from './StartTimes.js'
import { recordUnanswered } from './unansweredRequests.js'
import type { CloseCause, RequestStage } from './unansweredRequests.js'

/** What the log tells of a request besides its outcome. */
export interface RequestSummary {
  /** Backend servers of its attempts, in order. */
  readonly servers: readonly RunnerId[]
  /** Time from its arrival until the first data was sent to the caller; null if there was none. */
  readonly firstAnswer: Millis | null
  /** Last failure; empty if there was none. */
  readonly problem: string
  /** Log fields that depend on the kind of answer. */
  readonly answerFields: Record<string, unknown>
}

/** How far a request had come that is broken off. */
export interface BrokenOffRequest {
  /** Whether the caller has a part of the answer. */
  readonly hasStartedAnswer: boolean
  /** Whether a backend server may have run it. */
  readonly mayHaveRun: boolean
  /** Failure that a backend server has answered; null if there is none. */
  readonly signedFailure: SignedFailure | null
}

export interface RequestEndingOptions {
  readonly context: ForwardingContext
  readonly call: AdmittedCall
  /** Response to the caller. */
  readonly response: ServerResponse
  readonly requestLog: RequestLog
  /** Returns what has happened to the request so far. */
  readonly summary: () => RequestSummary
  /** Called when bytes of a body have been written to the caller. */
  readonly onWritten: (bytes: number) => void
  /** Called when the request is over, to release what it holds. */
  readonly onEnded: () => void
}

/** Sends what ends a request, and records its outcome. */
export class RequestEnding {
  readonly #options: RequestEndingOptions
  #isOver = false

  /** @param options - the request, and its response */
  constructor (options: RequestEndingOptions) {
    this.#options = options
  }

  /** Whether the outcome of the request is known. */
  get isOver (): boolean {
    return this.#isOver
  }

  /** The complete answer of a backend server has been sent. */
  answered (status: number): void {
    this.#options.context.startTimes.reached(StartPhase.RequestAnswered)
    this.#end(ForwardOutcome.Answered, status)
  }

  callerDisconnected (): void {
    this.#end(ForwardOutcome.CallerDisconnected, 0)
  }

  /**
   * Sends an answer of this node's own.
   *
   * @param cause - why the answer of a backend server is not returned
   * @param outcome - outcome of the request
   * @param retryAfter - time after which the caller may come back; null for the default of the cause
   */
  refuse (cause: RefusalCause, outcome: ForwardOutcome, retryAfter: Millis | null = null): void {
    const { response, context } = this.#options
    context.metrics.requestRefused(cause)
    refuse(response, cause, retryAfter)
    this.#end(outcome, response.statusCode)
  }

  /** Sends the caller a failure that a backend server has answered, unchanged. */
  returnFailure ({ head, body }: SignedFailure): void {
    const { response, onWritten } = this.#options
    response.writeHead(head.status, withContentLength(encodeReturnedHeaders(head.rawHeaders), body.length))
    response.end(body)
    onWritten(body.length)
    this.#end(ForwardOutcome.ServerFailed, head.status)
  }

  /** Breaks the connection to the caller, so that the incomplete answer does not look complete. */
  abort (outcome: ForwardOutcome, cause: CloseCause, stage: RequestStage): void {
    const { response, summary } = this.#options
    this.recordUnanswered(cause, stage, summary().problem)
    this.#end(outcome, response.statusCode)
    breakConnection(response)
  }

  /**
   * Ends a request that this node can no longer wait for: with a complete answer that says whether it may have run, unless a part of another answer has
   * been sent. A node that has passed on a request which may run again takes a broken connection as a reason to try it elsewhere, and a refusal as final.
   *
   * @param cause - why it is not waited for
   * @param stage - how far it had come
   * @param request - what has become of it
   */
  breakOff (cause: CloseCause, stage: RequestStage, { hasStartedAnswer, mayHaveRun, signedFailure }: BrokenOffRequest): void {
    const { isRelayed, route } = this.#options.call
    if (hasStartedAnswer || (mayHaveRun && isRelayed && mayRunAgain(route))) {
      this.abort(ForwardOutcome.Lost, cause, stage)
      return
    }
    this.recordUnanswered(cause, stage, this.#options.summary().problem)
    if (signedFailure !== null) this.returnFailure(signedFailure)
    else if (mayHaveRun) this.refuse(RefusalCause.AnswerLost, ForwardOutcome.Lost)
    else this.refuse(RefusalCause.Stopping, ForwardOutcome.Refused)
  }

  /** Records that this node ends the request before the complete answer of a backend server has been read. */
  recordUnanswered (cause: CloseCause, stage: RequestStage, problem: string): void {
    const { context, call } = this.#options
    recordUnanswered(context, { id: call.id, stage, cause, problem, took: context.clock() - call.arrivedAt })
  }

  #end (outcome: ForwardOutcome, status: number): void {
    if (this.#isOver) return
    this.#isOver = true
    const { context, call, requestLog, summary, onEnded } = this.#options
    onEnded()
    const took = context.clock() - call.arrivedAt
    context.metrics.requestEnded(call.route.kind, outcome, took)
    requestLog.requestEnded({ outcome, status, took, ...summary() })
  }
}
