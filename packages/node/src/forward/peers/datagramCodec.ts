/** Encodes the datagrams of the scheduler protocol, and decodes them into types of the forwarding node. */
import { HealthSignal } from '@bluebellhill/domain'
import type { BackendServer, CandidateState, FailureDomain, GroupLoad, HolderReservation, Millis, NodeId, PlacementChoice, Region, RunnerId, SchedulerCandidate } from '@bluebellhill/domain'
import { fleetWire } from '@bluebellhill/protocol'

import type { AttemptReport, PlacementResult, PlacementSpec, RefusedPlacement } from '../scheduling/types.js'
import { decodeNotice, encodeNotice } from './noticeCodec.js'
import { decodeRevision } from './revisionCodec.js'
import { decodeConfigurationVersion, toSint32, toUint32, toUint64 } from './wireNumbers.js'

/** First byte of these datagrams. A node state, which earlier builds send and understand, never starts with it. */
const DATAGRAM_MARK = 0

/** Version of the datagrams that this build understands. */
export const DATAGRAM_VERSION = 1

const MILLI = 1_000

/** Shortest interval at which this node renews a query that waits, whatever the reply states. */
const MIN_RENEWAL_PERIOD: Millis = 50

export type DatagramContent = NonNullable<fleetWire.PeerDatagram['content']>

/** A decoded datagram. */
export interface ReceivedDatagram {
  readonly node: NodeId
  readonly startedAt: number
  readonly content: DatagramContent
}

/**
 * @param bytes - a received datagram
 * @returns whether it belongs to this protocol; otherwise it is a node state
 */
export const isSchedulerDatagram = (bytes: Uint8Array): boolean => bytes[0] === DATAGRAM_MARK

/**
 * @param node - this node
 * @param startedAt - wall-clock milliseconds at which this process started
 * @param content - the message
 * @returns the datagram
 */
export const encodeDatagram = (node: NodeId, startedAt: number, content: DatagramContent): Uint8Array => {
  const message = fleetWire.PeerDatagram.encode({ node, startedAt: toUint64(startedAt), content }).finish()
  const bytes = new Uint8Array(message.length + 1)
  bytes[0] = DATAGRAM_MARK
  bytes.set(message, 1)
  return bytes
}

/**
 * @param bytes - a received datagram that starts with the mark
 * @returns its sender and message
 * @throws Error if it is malformed, or of a kind that this build does not know
 */
export const decodeDatagram = (bytes: Uint8Array): ReceivedDatagram => {
  const { node, startedAt, content } = fleetWire.PeerDatagram.decode(bytes.subarray(1))
  if (node === '' || content === undefined) throw new Error('the datagram has no sender or no known content')
  return { node: node as NodeId, startedAt: Number(startedAt), content }
}

/**
 * @param spec - an attempt, on the clock of this node
 * @param number - number of its assignment
 * @param now - current time
 * @returns the query to the scheduler
 */
export const encodeQuery = (spec: PlacementSpec, number: number, now: Millis): fleetWire.PlacementQuery => ({
  number,
  request: spec.request,
  service: spec.service,
  promptTokens: toUint32(spec.size.prompt),
  mostAnswerTokens: toUint32(spec.size.mostAnswer),
  objectiveMs: toUint32(spec.objective),
  dueInMs: toSint32(spec.dueAt - now),
  pauseObjectiveMs: spec.pauseObjective === null ? undefined : toUint32(spec.pauseObjective),
  excluded: [...spec.excluded],
  allowed: [...spec.allowed ?? []],
  chargesRetry: spec.chargesRetry,
  isRedirected: spec.isRedirected,
  isFirstAttempt: spec.isFirstAttempt,
  isSuspected: spec.isSuspected,
  trialParts: [...spec.trialParts],
  isolatedAs: spec.isolatedAs ?? '',
  organisation: spec.organisation ?? '',
  urgencyPlusOne: spec.urgency === undefined ? 0 : toUint32(Math.max(0, spec.urgency) + 1),
  waitedMs: toUint32(spec.waited ?? 0),
  identity: spec.identity ?? '',
  regions: [...spec.regions ?? []],
  acceptsQueueing: spec.acceptsQueueing === true,
  isHedge: spec.isHedge === true
})

/**
 * @param wire - a received query
 * @param now - current time
 * @returns the attempt, on the clock of this node
 */
export const decodeQuery = (wire: fleetWire.PlacementQuery, now: Millis): PlacementSpec => ({
  request: wire.request,
  service: wire.service,
  size: { prompt: wire.promptTokens, mostAnswer: wire.mostAnswerTokens },
  objective: wire.objectiveMs,
  dueAt: now + wire.dueInMs,
  pauseObjective: wire.pauseObjectiveMs ?? null,
  excluded: wire.excluded as RunnerId[],
  allowed: wire.allowed.length === 0 ? null : wire.allowed as RunnerId[],
  chargesRetry: wire.chargesRetry,
  isRedirected: wire.isRedirected,
  // Nodes of earlier builds exclude only servers that the request was sent to before.
  isFirstAttempt: wire.isFirstAttempt || wire.excluded.length === 0,
  isSuspected: wire.isSuspected,
  trialParts: wire.trialParts,
  ...(wire.isolatedAs === '' ? {} : { isolatedAs: wire.isolatedAs }),
  ...(wire.organisation === '' ? {} : { organisation: wire.organisation }),
  ...(wire.urgencyPlusOne === 0 ? {} : { urgency: wire.urgencyPlusOne - 1 }),
  ...(wire.waitedMs === 0 ? {} : { waited: wire.waitedMs }),
  ...(wire.identity === '' ? {} : { identity: wire.identity }),
  ...(wire.regions.length === 0 ? {} : { regions: wire.regions as Region[] }),
  ...(wire.acceptsQueueing ? { acceptsQueueing: true } : {}),
  ...(wire.isHedge ? { isHedge: true } : {})
})

/**
 * @param number - number of the assignment at the node that asked
 * @param result - the decision
 * @param now - current time
 * @returns the reply
 */
export const encodeReply = (number: number, result: PlacementResult, now: Millis): fleetWire.PlacementReply => {
  switch (result.type) {
    case 'refused':
      return { number, result: { $case: 'refusal', value: encodeRefusal(result, now) } }
    case 'redirected':
      return { number, result: { $case: 'redirect', value: result.address } }
    case 'queued':
      return { number, result: { $case: 'queued', value: { renewMs: toUint32(result.renewAfter) } } }
    case 'placed': {
      const { choice, load } = result
      return {
        number,
        result: {
          $case: 'placement',
          value: {
            server: encodeServer(choice.server),
            helpers: choice.helpers.map(encodeServer),
            holders: choice.holders.map(({ server, tokens }) => ({ runner: server.id, tokens: toUint32(tokens) })),
            firstEventMs: toUint32(choice.timeToFirstEvent),
            serverRequests: toUint32(load.requests),
            serverPendingMs: toUint32(load.pendingPrefill),
            isDeferred: choice.isDeferred,
            keepsLimit: result.keepsLimit,
            passedOver: [...result.passedOver],
            isTrial: result.isTrial,
            keepsWarmUp: result.keepsWarmUp === true,
            hedgeAfterMs: result.hedgeAfter === undefined ? undefined : toUint32(result.hedgeAfter),
            isHedge: result.isHedge
          }
        }
      }
    }
  }
}

/** Returns the entry of a backend server; null if this node has none yet. */
export type ServerLookup = (id: RunnerId) => BackendServer | null

/**
 * @param wire - a received reply
 * @param service - service of the attempt
 * @param findServer - finds the entry of a backend server
 * @param now - time of its arrival
 * @returns the decision
 * @throws Error if the reply contains none
 */
export const decodeReply = ({ result }: fleetWire.PlacementReply, service: string, findServer: ServerLookup, now: Millis): PlacementResult => {
  if (result === undefined) throw new Error('the placement reply contains no decision')
  if (result.$case === 'refusal') return decodeRefusal(result.value, now)
  if (result.$case === 'redirect') return { type: 'redirected', address: result.value }
  if (result.$case === 'queued') return { type: 'queued', renewAfter: Math.max(MIN_RENEWAL_PERIOD, result.value.renewMs) }
  const { server, helpers, holders, firstEventMs, serverRequests, serverPendingMs, isDeferred, keepsLimit, passedOver, isTrial, keepsWarmUp, hedgeAfterMs, isHedge } = result.value
  if (server === undefined) throw new Error('the placement names no server')
  const decoded = helpers.map((helper) => decodeServer(helper, service, findServer))
  const choice: PlacementChoice = {
    server: decodeServer(server, service, findServer),
    helpers: decoded,
    holders: holders.flatMap(({ runner, tokens }): HolderReservation[] => decoded.filter(({ id }) => id === runner).map((holder) => ({ server: holder, tokens }))),
    timeToFirstEvent: firstEventMs,
    isDeferred
  }
  return {
    type: 'placed',
    choice,
    load: { requests: serverRequests, pendingPrefill: serverPendingMs },
    keepsLimit,
    passedOver: passedOver as RunnerId[],
    isTrial,
    ...(keepsWarmUp === true ? { keepsWarmUp } : {}),
    ...(isHedge === true ? { isHedge } : {}),
    ...(hedgeAfterMs === undefined ? {} : { hedgeAfter: hedgeAfterMs })
  }
}

const encodeRefusal = ({ reason, retryAfter, isPromised = false, notice }: RefusedPlacement, now: Millis): fleetWire.Refusal =>
  ({ reason, retryAfterMs: toUint32(retryAfter ?? 0), notice: notice === undefined ? undefined : encodeNotice(notice, now), isPromised })

const decodeRefusal = ({ reason, retryAfterMs, notice, isPromised }: fleetWire.Refusal, now: Millis): RefusedPlacement => ({
  type: 'refused',
  reason,
  retryAfter: retryAfterMs === 0 ? null : retryAfterMs,
  ...(isPromised ? { isPromised } : {}),
  ...(notice === undefined ? {} : { notice: decodeNotice(notice, now) })
})

const encodeServer = ({ id, address, failureDomain }: BackendServer): fleetWire.ServerAddress => ({ id, address, failureDomain })

/** The scheduler may know a server before this node does. */
const decodeServer = ({ id, address, failureDomain }: fleetWire.ServerAddress, service: string, findServer: ServerLookup): BackendServer =>
  findServer(id as RunnerId) ?? { id: id as RunnerId, service, address, failureDomain: failureDomain as FailureDomain, slots: 0, readiness: 'ready', startedAt: null }

/** @returns the wire form of reports about attempts */
export const encodeAttemptReports = (reports: readonly AttemptReport[]): fleetWire.AttemptReports => ({
  reports: reports.map(({ number, isEnded, server, signal, slowdown, serviceTime }) => ({
    number,
    isEnded,
    server,
    signal: signal ?? '',
    slowdownMilli: slowdown === null ? 0 : toUint32(slowdown * MILLI),
    serviceTimeUs: serviceTime === undefined ? undefined : toUint32(serviceTime.time * MILLI),
    requestsBefore: serviceTime === undefined ? undefined : toUint32(serviceTime.requestsBefore)
  }))
})

/** @returns the reports about attempts; an unknown health signal counts as none */
export const decodeAttemptReports = ({ reports }: fleetWire.AttemptReports): AttemptReport[] =>
  reports.map(({ number, isEnded, server, signal, slowdownMilli, serviceTimeUs, requestsBefore }) => ({
    number,
    isEnded,
    server: server as RunnerId,
    signal: Object.values(HealthSignal).find((known) => known === signal) ?? null,
    slowdown: slowdownMilli === 0 ? null : slowdownMilli / MILLI,
    ...(serviceTimeUs === undefined ? {} : { serviceTime: { time: serviceTimeUs / MILLI, requestsBefore: requestsBefore ?? 0 } })
  }))

/** @returns the wire form of a candidate */
export const encodeCandidate = ({ node, address, failureDomain, processor }: SchedulerCandidate): fleetWire.Candidate =>
  ({ node, address, failureDomain, processorMilli: toUint32(processor * MILLI) })

/** @returns the candidate */
export const decodeCandidate = ({ node, address, failureDomain, processorMilli }: fleetWire.Candidate): SchedulerCandidate =>
  ({ node: node as NodeId, address, failureDomain: failureDomain as FailureDomain, processor: processorMilli / MILLI })

/**
 * @param report - a received report
 * @param ownEra - era of the store as this node knows it
 * @returns the state that a candidate announces
 */
export const decodeCandidateState = (report: fleetWire.CandidateReport, ownEra: number): CandidateState => {
  const { uptimeMs, configurationVersion, storeLost, stopping } = report
  return { uptime: Number(uptimeMs), isStopping: stopping, hasLostStore: storeLost, configurationVersion: decodeConfigurationVersion(configurationVersion), serversRevision: decodeRevision(report, ownEra) }
}

/**
 * @param wire - a received group report
 * @param address - its sender
 * @returns the load of the group
 */
export const decodeGroupLoad = ({ failureDomain, services }: fleetWire.GroupReport, address: string): GroupLoad => ({
  domain: failureDomain as FailureDomain,
  address,
  services: services.map(({ service, slots, requests, meanPendingMs }) => ({ service, slots, requests, meanPendingPrefill: meanPendingMs }))
})
