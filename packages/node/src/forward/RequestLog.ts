/** Writes the log lines about the attempts and the end of one request. */
import { describeRevision } from '@bluebellhill/domain'
import type { AttemptEnd, Millis, RunnerId, ServerNotice } from '@bluebellhill/domain'

import { errorText } from '../log/index.js'
import type { AdmittedCall } from './AdmittedCall.js'
import { evidenceFields, suspectField } from './quarantine/QuarantineLog.js'
import type { QuarantineVerdict } from './quarantine/NodeQuarantine.js'
import type { RelayPeer } from './relay/RelayPeers.js'
import type { PlacedAttempt, RefusedPlacement } from './scheduling/types.js'
import type { ForwardOutcome } from './ForwardOutcome.js'
import { StartPhase } from './StartTimes.js'
import type { ForwardingContext, OpenAttempt } from './types.js'

/** Result of a request, for its final log line. */
export interface RequestEnd {
  readonly outcome: ForwardOutcome
  /** HTTP status that the caller received; 0 if there was none. */
  readonly status: number
  /** Backend servers of its attempts, in order. */
  readonly servers: readonly RunnerId[]
  /** Time until the first data was sent to the caller; null if there was none. */
  readonly firstAnswer: Millis | null
  /** Time from the arrival of the request until its end. */
  readonly took: Millis
  /** Last failure; empty if there was none. */
  readonly problem: string
  /** Log fields that depend on the kind of answer. */
  readonly answerFields: Record<string, unknown>
}

/** Writes the log lines of one request. */
export class RequestLog {
  /**
   * @param context - log, clock and fleet state
   * @param call - the request
   */
  constructor (private readonly context: ForwardingContext, private readonly call: AdmittedCall) {}

  /**
   * Logs the start of an attempt.
   *
   * @param placed - where the attempt is placed, and by which scheduler
   * @param attempt - number of the attempt, from 1
   * @param lastEventId - id of the last event of the stream that the caller has
   * @param notice - what the server has stated about itself, as far as this node knows
   * @param coldFor - time for which the server stays cold, as far as this node knows; 0 if it is warm
   */
  attemptSent ({ choice: { server, helpers, holders, timeToFirstEvent: firstEvent, isDeferred }, load, scheduler, passedOver, isTrial, decidedIn }: PlacedAttempt, attempt: number, lastEventId: string | null, notice: ServerNotice | null, coldFor: Millis): void {
    const { call, context } = this
    const now = context.clock()
    context.startTimes.reached(StartPhase.RequestPlaced, { placed_by: scheduler ?? 'self' })
    context.log.info('request.sent', {
      request: call.id,
      attempt,
      server: server.id,
      server_domain: server.failureDomain,
      helpers: joinIds(helpers),
      held: holders.map((holder) => `${holder.server.id}:${holder.tokens}`).join(',') || undefined,
      expected_ms: Math.round(firstEvent),
      scheduler: scheduler ?? 'self',
      decided_ms: Math.round(decidedIn),
      server_requests: load.requests,
      server_pending_ms: Math.round(load.pendingPrefill),
      deferred: isDeferred || undefined,
      trial: isTrial || undefined,
      passed_over: passedOver.join(',') || undefined,
      ...statementFields(notice, now),
      server_cold_ms: coldFor === 0 ? undefined : Math.round(coldFor),
      due_in_ms: Math.round(call.dueAt - now),
      configuration: context.fleetState.configurationVersion,
      servers_revision: describeRevision(context.fleetState.serversRevision),
      resumes: lastEventId ?? undefined
    })
  }

  /**
   * Logs that the request is passed on to another node, because this one reaches no server of its service.
   *
   * @param peer - the other node
   * @param attempt - number of the attempt, from 1
   */
  requestRelayed ({ node, failureDomain, address }: RelayPeer, attempt: number): void {
    const { call, context } = this
    context.log.info('request.relayed', { request: call.id, attempt, service: call.service.name, peer: node, peer_domain: failureDomain, address, left_ms: Math.round(call.deadlineAt - context.clock()) })
  }

  /** Logs that an attempt without data goes on, because its engine is known to prefill other prompts. */
  attemptWaits ({ server }: OpenAttempt, silence: Millis, extension: Millis): void {
    this.context.log.info('attempt.waits', { request: this.call.id, server: server.id, silent_ms: Math.round(silence), prefill_left_ms: Math.round(extension) })
  }

  /** Logs that a silent attempt is kept, because no other server can be chosen. */
  silentAttemptKept ({ server }: OpenAttempt, silence: Millis, reason: string): void {
    const { call, context } = this
    context.log.info('attempt.kept', { request: call.id, server: server.id, silent_ms: Math.round(silence), reason, configuration: context.fleetState.configurationVersion, configuration_age_ms: Math.round(context.fleetState.configurationAge) })
  }

  /** Logs that a request goes on at a server that was silent, instead of at the one that was chosen to replace it. */
  silentAttemptResumed ({ server, sentAt }: OpenAttempt, cause: string): void {
    const { call, context } = this
    context.log.info('attempt.resumed', { request: call.id, server: server.id, cause, after_ms: Math.round(context.clock() - sentAt) })
  }

  /**
   * Logs that a second attempt is sent beside one that is later than nearly all recent ones of its kind.
   *
   * @param attempt - the first attempt
   * @param delay - time after which it is later than nearly all
   * @param hedge - where the second one is placed
   */
  hedgeSent ({ server, sentAt }: OpenAttempt, delay: Millis, { choice }: PlacedAttempt): void {
    const { call, context } = this
    context.log.info('hedge.sent', {
      request: call.id,
      server: choice.server.id,
      server_domain: choice.server.failureDomain,
      beside: server.id,
      beside_domain: server.failureDomain,
      after_ms: Math.round(context.clock() - sentAt),
      delay_ms: Math.round(delay),
      left_ms: Math.round(call.deadlineAt - context.clock())
    })
  }

  /** Logs that no second attempt is sent beside one that is late. */
  hedgeRefused ({ server, sentAt }: OpenAttempt, delay: Millis, reason: string): void {
    const { call, context } = this
    context.log.info('hedge.refused', { request: call.id, beside: server.id, after_ms: Math.round(context.clock() - sentAt), delay_ms: Math.round(delay), reason })
  }

  /** Logs which of two attempts side by side has answered first. */
  raceEnded ({ server, sentAt, isHedge }: OpenAttempt): void {
    const { call, context } = this
    context.log.info('hedge.ended', { request: call.id, server: server.id, winner: isHedge ? 'hedge' : 'first', after_ms: Math.round(context.clock() - sentAt) })
  }

  attemptFailed ({ server, sentAt, placed }: OpenAttempt, end: AttemptEnd, reason: string): void {
    const { call, context } = this
    context.log.warn('attempt.failed', {
      request: call.id, server: server.id, end, reason, after_ms: Math.round(context.clock() - sentAt), helpers: placed === null ? undefined : joinIds(placed.choice.helpers)
    })
  }

  /** Logs that no server is chosen for the next attempt. */
  placementRefused ({ reason, retryAfter, isPromised, notice, pausedServer }: RefusedPlacement): void {
    const { call, context } = this
    context.log.info('request.not_placed', {
      request: call.id,
      service: call.service.name,
      reason,
      retry_after_ms: retryAfter === null ? undefined : Math.round(retryAfter),
      promised: isPromised,
      server: notice?.server ?? pausedServer,
      ...statementFields(notice ?? null, context.clock())
    })
  }

  /** Logs that the request waits until a server accepts requests again. */
  requestWaits ({ reason, notice, pausedServer }: RefusedPlacement, wait: Millis): void {
    const { call, context } = this
    context.log.info('request.waits', {
      request: call.id, service: call.service.name, reason, wait_ms: Math.round(wait), server: notice?.server ?? pausedServer, ...statementFields(notice ?? null, context.clock())
    })
  }

  /**
   * Logs that the request is refused because it, or a part of its prompt, crashes servers.
   *
   * @param verdict - the verdict, with the evidence
   * @param mayHaveRun - whether a backend server may have run the request
   */
  quarantined ({ evidence: { part, ...evidence } }: QuarantineVerdict, mayHaveRun: boolean): void {
    this.context.log.info('request.quarantined', { request: this.call.id, ...suspectField(part), ...evidenceFields(evidence), ran: mayHaveRun ? 'unknown' : 'no' })
  }

  placementFailed (error: unknown): void {
    this.context.log.error('request.placement_failed', { request: this.call.id, reason: errorText(error) })
  }

  /** Logs an error of this node that ends the request. */
  failedInternally (error: unknown): void {
    this.context.log.error('request.failed_internally', { request: this.call.id, reason: errorText(error) })
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

/** Returns what a server has stated about itself, how long ago and to which node. */
const statementFields = (notice: ServerNotice | null, now: Millis): Record<string, unknown> => {
  if (notice === null || (notice.requestLimit === null && !notice.isLeaving)) return {}
  return {
    server_limit: notice.requestLimit ?? undefined,
    server_leaving: notice.isLeaving || undefined,
    server_stated_ms_ago: Math.round(now - notice.heardAt),
    server_heard_by: notice.heardBy
  }
}

const joinIds = (servers: ReadonlyArray<{ readonly id: RunnerId }>): string | undefined => servers.map(({ id }) => id).join(',') || undefined
