/** Writes the events of one request to the time line and the metrics. */
import { LENGTH_CLASSES, SendMode } from '@bluebellhill/domain'
import type { AttemptId, Grant, Millis, NodeId, Outcome, RequestSpec, RunnerId, Tokens } from '@bluebellhill/domain'
import { EventKind } from '@bluebellhill/protocol'
import type { DropCause, EventSubject } from '@bluebellhill/protocol'

import type { Metrics } from '../metrics/index.js'
import type { TimeLine } from '../timeline/index.js'
import type { AttemptFailure } from './Attempt.js'

/** Time line and metrics that a request is recorded in. */
export interface RecorderPorts {
  readonly timeLine: TimeLine
  readonly metrics: Metrics
}

/** An attempt at the time it is sent to a backend server. */
export interface SentAttempt {
  readonly attempt: AttemptId
  readonly grant: Grant
  readonly dispatcher: NodeId
  readonly mode: SendMode
  readonly generated: Tokens
}

/** Records the events of one request at its entry node. */
export class RequestRecorder {
  readonly #spec: RequestSpec
  readonly #timeLine: TimeLine
  readonly #metrics: Metrics
  readonly #runners = new Map<AttemptId, RunnerId>()
  #lastSent: Pick<SentAttempt, 'dispatcher' | 'grant'> | null = null
  #firstTokenAt: Millis | null = null
  #sendCount = 0

  constructor (spec: RequestSpec, ports: RecorderPorts) {
    this.#spec = spec
    this.#timeLine = ports.timeLine
    this.#metrics = ports.metrics
  }

  /** Records that the dispatcher could not be reached or did not answer. */
  dispatcherLost (attempt: AttemptId, dispatcher: NodeId, reason: string): void {
    this.#timeLine.record(EventKind.DispatcherLost, this.#subject(attempt), reason, { dispatcher })
  }

  /** Records that an attempt is sent: fresh, resumed from an offset, or continuing another runner's answer. */
  sent ({ attempt, grant, dispatcher, mode, generated }: SentAttempt): void {
    const previous = this.#lastSent?.grant.runner ?? null
    this.#runners.set(attempt, grant.runner)
    this.#lastSent = { grant, dispatcher }
    this.#sendCount += 1
    this.#metrics.countAttempt(mode)
    const subject = this.#subject(attempt)
    this.#timeLine.record(EventKind.AttemptSent, subject, grant.reason, { dispatcher, mode, generated })
    if (mode === SendMode.Resume) this.#timeLine.record(EventKind.AttemptResumed, subject, 'the connection broke', { offset: generated })
    if (mode === SendMode.Continue) this.#timeLine.record(EventKind.AttemptContinued, subject, 'the previous attempt broke', { offset: generated, previous })
  }

  /** Records that tokens were relayed to the caller. */
  relayed (attempt: AttemptId, count: Tokens, bytes: number, now: Millis): void {
    this.#metrics.countRelayed(count, bytes)
    if (this.#firstTokenAt === null) this.#recordFirstToken(attempt, now)
  }

  broken (attempt: AttemptId, { reason, started }: AttemptFailure, generated: Tokens): void {
    this.#timeLine.record(EventKind.AttemptBroken, this.#subject(attempt), reason, { started, generated })
  }

  completed (attempt: AttemptId, finishReason: string, generated: Tokens): void {
    this.#timeLine.record(EventKind.AttemptCompleted, this.#subject(attempt), finishReason, { generated })
  }

  recalled (attempt: AttemptId): void {
    const dispatcher = this.#lastSent?.dispatcher ?? 'an unnamed dispatcher'
    this.#timeLine.record(EventKind.AttemptRecalled, this.#subject(attempt), 'the dispatcher wants the runner back', { dispatcher })
  }

  cancelled (attempt: AttemptId, reason: string, generated: Tokens): void {
    this.#timeLine.record(EventKind.AttemptCancelled, this.#subject(attempt), reason, { generated })
  }

  dropped (attempt: AttemptId, cause: DropCause, offset: Tokens | null): void {
    this.#metrics.countDroppedAnswer(cause)
    this.#timeLine.record(EventKind.AnswerDropped, this.#subject(attempt), `${cause} answer`, { cause, offset })
  }

  /** Records the final result of the request. */
  finished (outcome: Outcome, generated: Tokens, now: Millis): void {
    const duration = now - this.#spec.admittedAt
    const firstToken = this.#firstTokenAt === null ? null : this.#firstTokenAt - this.#spec.admittedAt
    this.#metrics.countOutcome(outcome.kind, outcome.ran)
    if (outcome.kind === 'answered' && firstToken !== null) this.#recordSlowdown(generated, firstToken, duration)
    this.#timeLine.record(EventKind.RequestFinished, this.#subject(), outcome.detail ?? '', {
      code: outcome.kind,
      ran: outcome.ran,
      generated,
      duration,
      firstToken,
      attempts: this.#sendCount
    })
  }

  #recordFirstToken (attempt: AttemptId, now: Millis): void {
    this.#firstTokenAt = now
    const elapsed = now - this.#spec.admittedAt
    this.#metrics.recordFirstToken(this.#spec.promptTokens, elapsed)
    this.#timeLine.record(EventKind.FirstToken, this.#subject(attempt), '', { elapsed })
  }

  #recordSlowdown (generated: Tokens, firstToken: Millis, duration: Millis): void {
    const { model, promptTokens } = this.#spec
    if (promptTokens > LENGTH_CLASSES[0]) return
    this.#metrics.recordShortRequest({ model, promptTokens, generated, firstToken, duration })
  }

  #subject (attempt?: AttemptId): EventSubject {
    const { id, organisation } = this.#spec
    if (attempt === undefined) return { request: id, organisation }
    return { request: id, organisation, attempt, runner: this.#runners.get(attempt) }
  }
}
