/** Answers the requests to the admin address: authorisation, routing and the status replies. */
import { createHash, timingSafeEqual } from 'node:crypto'

import { AdminPath, encodeStamp } from '@bluebellhill/protocol'
import type { AdminError, ConfigurationReply, DrainReply, RunnersReply, StatusReply } from '@bluebellhill/protocol'

import type { DaemonFacade } from './DaemonFacade.js'
import { QueryError, histogramsReply, timeLineReply } from './replies.js'

/** An HTTP response of the admin address. */
export interface AdminAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

/** The parts of an HTTP request that the admin routes read. */
export interface AdminRequest {
  readonly method: string
  /** Path with the query string. */
  readonly url: string
  readonly authorization: string | undefined
}

const JSON_TYPE = 'application/json'

const METRICS_PATH = '/metrics'

const jsonAnswer = (value: unknown, status = 200): AdminAnswer =>
  ({ status, headers: { 'content-type': JSON_TYPE }, body: JSON.stringify(value) })

/**
 * Builds an error answer.
 *
 * @param status - the HTTP status
 * @param message - the error and what the operator can do about it
 * @returns the answer
 */
export const errorAnswer = (status: number, message: string): AdminAnswer => {
  const error: AdminError = { error: { message } }
  return jsonAnswer(error, status)
}

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest()

const isAuthorised = (authorization: string | undefined, secrets: readonly string[]): boolean => {
  if (secrets.length === 0) return true
  const presentedDigest = digestOf((authorization ?? '').replace(/^Bearer /, ''))
  return secrets.filter((secret) => timingSafeEqual(presentedDigest, digestOf(secret))).length > 0
}

/**
 * Answers `GET /admin/status`.
 *
 * @param daemon - the daemon
 * @returns the state of the node, and the members, configurations, platform services and leases that it sees
 */
export const statusReply = (daemon: DaemonFacade): StatusReply => ({
  node: daemon.node,
  failureDomain: daemon.failureDomain,
  version: daemon.version,
  state: daemon.state(),
  uptime: daemon.uptime(),
  requestsInProgress: daemon.requestsInProgress(),
  ordersQueued: daemon.ordersQueued(),
  members: daemon.members(),
  configurations: daemon.configurations(),
  platform: daemon.platform(),
  leases: daemon.leases(),
  clock: encodeStamp(daemon.timeLine.clock.now()),
  distrustedStamps: daemon.timeLine.clock.rejected,
  memoryBytes: process.memoryUsage.rss()
})

/**
 * Answers `GET /admin/runners`.
 *
 * @param daemon - the daemon
 * @returns the runners for which the node is the dispatcher
 */
export const runnersReply = (daemon: DaemonFacade): RunnersReply =>
  ({ node: daemon.node, failureDomain: daemon.failureDomain, runners: daemon.runners() })

/**
 * Answers `POST /admin/drain`.
 *
 * @param daemon - the daemon, whose planned stop is started
 * @returns the state of the node after the call
 */
export const drainReply = (daemon: DaemonFacade): DrainReply => {
  daemon.drain()
  return { node: daemon.node, state: daemon.state(), requestsInProgress: daemon.requestsInProgress() }
}

const METHOD_BY_PATH: Readonly<Record<string, 'GET' | 'POST'>> = {
  [AdminPath.TimeLine]: 'GET',
  [AdminPath.Histograms]: 'GET',
  [AdminPath.Status]: 'GET',
  [AdminPath.Runners]: 'GET',
  [AdminPath.Configuration]: 'GET',
  [AdminPath.Drain]: 'POST',
  [METRICS_PATH]: 'GET'
}

const configurationReply = (daemon: DaemonFacade): ConfigurationReply => ({
  node: daemon.node,
  revisions: Object.fromEntries(daemon.revisions())
})

const answerPath = async (daemon: DaemonFacade, path: string, query: URLSearchParams): Promise<AdminAnswer> => {
  const { metrics, timeLine, node, failureDomain } = daemon
  switch (path) {
    case AdminPath.TimeLine: return jsonAnswer(timeLineReply(timeLine, failureDomain, query))
    case AdminPath.Histograms: return jsonAnswer(await histogramsReply(metrics, node, failureDomain, daemon.uptime()))
    case AdminPath.Status: return jsonAnswer(statusReply(daemon))
    case AdminPath.Runners: return jsonAnswer(runnersReply(daemon))
    case AdminPath.Configuration: return jsonAnswer(configurationReply(daemon))
    case AdminPath.Drain: return jsonAnswer(drainReply(daemon), 202)
    default: return { status: 200, headers: { 'content-type': metrics.contentType }, body: await metrics.toPrometheusText() }
  }
}

const parseUrl = (url: string): URL | null => {
  try {
    return new URL(url, 'http://admin')
  } catch {
    return null
  }
}

/**
 * Answers a request to the admin address. `/metrics` needs no secret, since it contains none and metrics collectors send none.
 *
 * @param daemon - the daemon
 * @param request - method, URL and the `authorization` header
 * @param secrets - the accepted secrets: two while a secret is replaced by a new one, none if the address needs no secret
 * @returns status, headers and body; an invalid request gets an error response and throws nothing
 */
export const answerAdminRequest = async (daemon: DaemonFacade, request: AdminRequest, secrets: readonly string[]): Promise<AdminAnswer> => {
  const url = parseUrl(request.url)
  const method = url === null || !Object.hasOwn(METHOD_BY_PATH, url.pathname) ? undefined : METHOD_BY_PATH[url.pathname]
  if (url === null || method === undefined) return errorAnswer(404, `there is no such admin path; use ${Object.keys(METHOD_BY_PATH).join(', ')}`)
  if (request.method !== method) return errorAnswer(405, `use ${method} for ${url.pathname}`)
  if (url.pathname !== METRICS_PATH && !isAuthorised(request.authorization, secrets)) {
    return errorAnswer(401, 'the admin secret is missing or wrong; set BLUEBELLHILL_ADMIN_SECRET for the command line')
  }
  try {
    return await answerPath(daemon, url.pathname, url.searchParams)
  } catch (error) {
    if (error instanceof QueryError) return errorAnswer(400, error.message)
    throw error
  }
}
