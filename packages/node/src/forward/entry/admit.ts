/** Reads a caller's request and checks it against the configuration in force. */
import type { IncomingMessage } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { pickService } from '@bluebellhill/domain'
import type { CallerLimits, Millis, OrganisationKeys, Region, Route, RouteTable } from '@bluebellhill/domain'
import { decodeCallerHeaders } from '@bluebellhill/platform'
import type { CallerHeaders } from '@bluebellhill/platform'
import { BoundedBuffer, failed, success } from '@bluebellhill/services'
import type { Result } from '@bluebellhill/services'

import { waitingInputRead } from '../../clock/inputTurn.js'
import type { AdmittedCall } from '../AdmittedCall.js'
import type { RequestHeadSize } from '../buffers/NodeBuffers.js'
import type { BodyReservation } from '../buffers/BodyReservation.js'
import type { ReadTurns } from '../ReadTurns.js'
import { decodeTried, withoutRelayHeaders } from '../relay/relayHeaders.js'
import { BodyTurns } from './BodyTurns.js'
import { RefusalCause } from './refusals.js'

/** Bytes of a header line on the wire besides its name and value. */
const HEADER_FRAMING_BYTES = 4

/** Time after which a request is given up if its caller sets no deadline; a shorter timeout of its route takes precedence. */
const MAX_TIME_WITHOUT_DEADLINE: Millis = 60_000

/** Urgency of a request if neither its organisation nor its route has a priority. */
const DEFAULT_URGENCY = 5
export const LEAST_URGENCY = 9

/** Result of the checks of a request head. */
export interface AcceptedHead {
  readonly route: Route
  readonly organisation: OrganisationKeys | null
  readonly headers: CallerHeaders
  readonly attemptId: string
  /** Whether another node passes the request on. */
  readonly isRelayed: boolean
}

/**
 * Checks the head of a request.
 *
 * @param request - the request; its body is not read
 * @param table - the configuration in force
 * @param isRelayed - whether another node passes it on, which has checked the size of its head and added to it
 * @returns route, organisation and decoded headers, or why the request is refused
 */
export const acceptHead = (request: IncomingMessage, table: RouteTable, isRelayed = false): Result<AcceptedHead, RefusalCause> => {
  const { limits } = table.deployment
  if (!isRelayed && headSize(request).bytes > limits.headerBytes) return failed(RefusalCause.HeadTooLarge)
  const path = request.url ?? ''
  const host = request.headers.host
  if (host === undefined || !path.startsWith('/')) return failed(RefusalCause.BadRequest)
  const route = table.route(host, path)
  if (route === null) return failed(RefusalCause.UnknownRoute)
  const headers = decodeCallerHeaders(request.headers)
  const organisation = headers.apiKey === null ? null : table.organisation(headers.apiKey)
  if (table.isKeyRequired && !route.isPublic && organisation === null) return failed(RefusalCause.UnknownKey)
  if (headers.attemptId === null) return failed(RefusalCause.BadRequest)
  if (headers.isSizeUnusable && reachesEngines(route, table)) return failed(RefusalCause.PromptSizeUnusable)
  if (Number(request.headers['content-length'] ?? 0) > limits.bodyBytes) return failed(RefusalCause.BodyTooLarge)
  return success({ route, organisation, headers, attemptId: headers.attemptId, isRelayed })
}

const reachesEngines = ({ services }: Route, table: RouteTable): boolean => services.some(({ service }) => (table.service(service)?.engine ?? null) !== null)

/**
 * @param head - result of the checks of a request head
 * @returns time from the arrival of the head until the deadline of the request
 */
export const timeAllowed = ({ route, headers }: AcceptedHead): Millis => Math.min(route.timeout, headers.deadline ?? MAX_TIME_WITHOUT_DEADLINE)

/**
 * Reads the complete body of a request.
 *
 * @param request - the request
 * @param limits - limits on its size
 * @param timeout - time in which it has to be complete, however slowly it arrives
 * @param reservation - memory of the node, in which room is reserved for it
 * @param turns - turns in which the connections of this node are read
 * @returns the body, or why the request is refused; null if the caller has disconnected
 */
export const readCallerBody = async (request: IncomingMessage, limits: CallerLimits, timeout: Millis, reservation: BodyReservation, turns: ReadTurns): Promise<Result<Buffer, RefusalCause> | null> => {
  const timer = new AbortController()
  const timedOut = sleep(timeout, undefined, { signal: timer.signal }).then(waitingInputRead).then(() => failed(RefusalCause.TimedOutUnsent), () => null)
  const body = await Promise.race([readWhole(request, limits, reservation, turns), timedOut])
  timer.abort()
  return body
}

/** A body may come in chunks of a few bytes, so that nothing is kept of a chunk but its bytes, and other connections get their turn between them. */
const readWhole = async (request: IncomingMessage, limits: CallerLimits, reservation: BodyReservation, turns: ReadTurns): Promise<Result<Buffer, RefusalCause> | null> => await new Promise((resolve) => {
  const body = new BoundedBuffer(limits.bodyBytes)
  const pieces = new BodyTurns(request, turns)
  const settle = (result: Result<Buffer, RefusalCause> | null): void => {
    request.off('data', receive)
    pieces.end()
    reservation.end()
    resolve(result)
  }
  const giveUp = (): void => {
    // The request stays open, so that the refusal can be sent.
    request.pause()
    body.clear()
    settle(failed(RefusalCause.BodyStalled))
    reservation.release()
  }
  const receive = (chunk: Buffer): void => {
    const isWithinLimit = body.append(chunk)
    if (isWithinLimit && reservation.reserve(chunk.length)) {
      pieces.received()
      return
    }
    // The request stays open, so that the refusal can be sent.
    request.pause()
    body.clear()
    settle(failed(isWithinLimit ? RefusalCause.NodeMemory : RefusalCause.BodyTooLarge))
  }
  reservation.begin({ isPaused: () => request.isPaused(), giveUp })
  request.on('data', receive)
  request.once('end', () => settle(success(body.take())))
  // The connection is broken: no answer can reach the caller, and nothing has been forwarded.
  request.once('close', () => settle(null))
})

/**
 * Creates the request that is forwarded.
 *
 * @param request - the caller's request
 * @param head - result of the checks of its head
 * @param body - its body
 * @param table - the configuration in force
 * @param arrivedAt - time at which its head was read
 * @returns the request to forward, or why it is refused
 */
export const admit = (request: IncomingMessage, head: AcceptedHead, body: Buffer, table: RouteTable, arrivedAt: Millis): Result<AdmittedCall, RefusalCause> => {
  const { route, organisation, headers, attemptId, isRelayed } = head
  const service = table.service(pickService(route, Math.random()) ?? '')
  if (service === null) return failed(RefusalCause.NoServer)
  return success({
    id: attemptId,
    method: request.method ?? 'GET',
    path: request.url ?? '/',
    headers: withoutRelayHeaders(request.rawHeaders),
    body,
    route,
    service,
    organisation: organisation?.name ?? null,
    urgency: Math.min(LEAST_URGENCY, organisation?.priority ?? route.priority ?? DEFAULT_URGENCY),
    ...allowedRegions(route, organisation),
    size: headers.size ?? { prompt: 0, mostAnswer: 0 },
    parts: headers.promptParts,
    isRelayed,
    triedServers: isRelayed ? decodeTried(request.headers) : [],
    lastEventId: headers.lastEventId,
    arrivedAt,
    dueAt: arrivedAt + route.objective,
    deadlineAt: arrivedAt + timeAllowed(head)
  })
}

/** If both the route and the organisation list regions, a request may reach those that are in both lists. */
const allowedRegions = (route: Route, organisation: OrganisationKeys | null): { readonly regions?: readonly Region[] } => {
  const lists = [route.regions, organisation?.regions].filter((regions) => regions !== undefined)
  const [first, second = first] = lists
  return first === undefined ? {} : { regions: first.filter((region) => second?.includes(region)) }
}

/**
 * @param request - a request
 * @returns number of its header fields, and bytes of its head
 */
export const headSize = ({ rawHeaders, url, method }: IncomingMessage): RequestHeadSize => {
  const fields = rawHeaders.length / 2
  const bytes = rawHeaders.reduce((sum, text) => sum + text.length, 0) + HEADER_FRAMING_BYTES * fields + (url?.length ?? 0) + (method?.length ?? 0)
  return { fields, bytes }
}
