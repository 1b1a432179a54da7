/** The lines that tell what became of one request. */
import type { AttemptEnd, Choice, Millis, RunnerId } from '@bluebellhill/domain'

import type { AdmittedCall } from './AdmittedCall.js'
import type { ForwardingContext, ForwardOutcome, OpenAttempt } from './types.js'

/** How a request ended. */
export interface RequestEnd {
  readonly outcome: ForwardOutcome
  /** 0 where the caller got none. */
  readonly status: number
  /** Backend servers that it was sent to, in turn. */
  readonly servers: readonly RunnerId[]
  /** Time until the beginning of the answer; null where there was none. */
  readonly firstAnswer: Millis | null
  readonly took: Millis
  /** What went wrong last; empty where nothing did. */
  readonly problem: string
  /** What depends on the kind of answer. */
  readonly answerFields: Record<string, unknown>
}

/** Writes the decisions on one request. */
export class RequestLog {
  /**
   * @param context - holds the log and what is believed
   * @param call - the request
   */
  constructor (private readonly context: ForwardingContext, private readonly call: AdmittedCall) {}

  /**
   * An attempt is sent.
   *
   * @param choice - where to
   * @param attempt - its number, from 1
   * @param lastEventId - last event that the caller has of a stream
   */
  attemptSent ({ server, helpers, holders, firstEvent }: Choice, attempt: number, lastEventId: string | null): void {
    const { call, context } = this
    context.log.info('request.sent', {
      request: call.id,
      attempt,
      server: server.id,
      server_domain: server.failureDomain,
      helpers: joinIds(helpers),
      held: holders.map((holder) => `${holder.server.id}:${holder.tokens}`).join(',') || undefined,
      expected_ms: Math.round(firstEvent),
      due_in_ms: Math.round(call.dueAt - context.clock()),
      configuration: context.fleetState.configurationVersion,
      servers_revision: context.fleetState.serversRevision,
      resumes: lastEventId ?? undefined
    })
  }

  attemptFailed ({ server, sentAt, choice }: OpenAttempt, end: AttemptEnd, reason: string): void {
    const { call, context } = this
    context.log.warn('attempt.failed', {
      request: call.id, server: server.id, end, reason, after_ms: Math.round(context.clock() - sentAt), helpers: joinIds(choice.helpers)
    })
  }

  retryBudgetSpent (): void {
    this.context.log.info('request.retry_budget_spent', { request: this.call.id, service: this.call.service.name })
  }

  choiceFailed (error: unknown): void {
    this.context.log.error('request.choice_failed', { request: this.call.id, reason: error instanceof Error ? error.stack ?? error.message : String(error) })
  }

  requestEnded ({ outcome, status, servers, firstAnswer, took, problem, answerFields: further }: RequestEnd): void {
    const { call, context } = this
    context.log.info('request.ended', {
      request: call.id,
      outcome,
      status: status === 0 ? undefined : status,
      route: call.route.name,
      service: call.service.name,
      tokens_in: call.size.prompt || undefined,
      most_tokens_out: call.size.mostAnswer || undefined,
      urgency: call.urgency,
      servers: servers.join(','),
      first_ms: firstAnswer === null ? undefined : Math.round(firstAnswer),
      took_ms: Math.round(took),
      ...further,
      problem: problem || undefined
    })
  }
}

const joinIds = (servers: ReadonlyArray<{ readonly id: RunnerId }>): string | undefined => servers.map(({ id }) => id).join(',') || undefined
