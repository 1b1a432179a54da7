/** Routes of the admin address. */
import { createHash, timingSafeEqual } from 'node:crypto'

import { AdminPath, encodeStamp } from '@bluebellhill/protocol'
import type { AdminError, ConfigurationReply, DrainReply, RunnersReply, StatusReply } from '@bluebellhill/protocol'

import type { AdminSources } from './AdminSources.js'
import { QueryError, histogramsReply, timeLineReply } from './replies.js'

/** An answer of the admin address. */
export interface AdminAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
}

export interface AdminRequest {
  readonly method: string
  /** Path with the query string. */
  readonly url: string
  readonly authorization: string | undefined
}

/** Content types of the answers. */
const JSON_TYPE = 'application/json'

const METRICS_PATH = '/metrics'

const jsonAnswer = (value: unknown, status = 200): AdminAnswer =>
  ({ status, headers: { 'content-type': JSON_TYPE }, body: JSON.stringify(value) })

/**
 * Builds an error answer.
 *
 * @param status - the HTTP status
 * @param message - what is wrong and what to do
 * @returns the answer
 */
export const errorAnswer = (status: number, message: string): AdminAnswer => {
  const error: AdminError = { error: { message } }
  return jsonAnswer(error, status)
}

const digestOf = (text: string): Buffer => createHash('sha256').update(text).digest()

const isAuthorised = (authorization: string | undefined, secrets: readonly string[]): boolean => {
  if (secrets.length === 0) return true
  const given = digestOf((authorization ?? '').replace(/^Bearer /, ''))
  return secrets.filter((secret) => timingSafeEqual(given, digestOf(secret))).length > 0
}

/**
 * Answers `GET /admin/status`.
 *
 * @param sources - the daemon
 * @returns the node's state and what it knows of the others
 */
export const statusReply = (sources: AdminSources): StatusReply => ({
  node: sources.node,
  failureDomain: sources.failureDomain,
  version: sources.version,
  state: sources.state(),
  uptime: sources.uptime(),
  requestsInProgress: sources.requestsInProgress(),
  ordersQueued: sources.ordersQueued(),
  members: sources.members(),
  configurations: sources.configurations(),
  platform: sources.platform(),
  leases: sources.leases(),
  clock: encodeStamp(sources.timeLine.clock.now()),
  distrustedStamps: sources.timeLine.clock.rejected,
  memoryBytes: process.memoryUsage.rss()
})

/**
 * Answers `GET /admin/runners`.
 *
 * @param sources - the daemon
 * @returns the runners that it dispatches
 */
export const runnersReply = (sources: AdminSources): RunnersReply =>
  ({ node: sources.node, failureDomain: sources.failureDomain, runners: sources.runners() })

/**
 * Answers `POST /admin/drain`.
 *
 * @param sources - the daemon, which begins its planned stop
 * @returns the state that it is in now
 */
export const drainReply = (sources: AdminSources): DrainReply => {
  sources.drain()
  return { node: sources.node, state: sources.state(), requestsInProgress: sources.requestsInProgress() }
}

const METHODS: Readonly<Record<string, 'GET' | 'POST'>> = {
  [AdminPath.TimeLine]: 'GET',
  [AdminPath.Histograms]: 'GET',
  [AdminPath.Status]: 'GET',
  [AdminPath.Runners]: 'GET',
  [AdminPath.Configuration]: 'GET',
  [AdminPath.Drain]: 'POST',
  [METRICS_PATH]: 'GET'
}

const configurationReply = (sources: AdminSources): ConfigurationReply => ({
  node: sources.node,
  revisions: Object.fromEntries(sources.revisions())
})

const answerPath = async (sources: AdminSources, path: string, query: URLSearchParams): Promise<AdminAnswer> => {
  const { metrics, timeLine, node, failureDomain } = sources
  switch (path) {
    case AdminPath.TimeLine: return jsonAnswer(timeLineReply(timeLine, failureDomain, query))
    case AdminPath.Histograms: return jsonAnswer(await histogramsReply(metrics, node, failureDomain, sources.uptime()))
    case AdminPath.Status: return jsonAnswer(statusReply(sources))
    case AdminPath.Runners: return jsonAnswer(runnersReply(sources))
    case AdminPath.Configuration: return jsonAnswer(configurationReply(sources))
    case AdminPath.Drain: return jsonAnswer(drainReply(sources), 202)
    default: return { status: 200, headers: { 'content-type': metrics.contentType }, body: await metrics.text() }
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
 * Answers a request to the admin address. `/metrics` needs no secret, since it holds none and scrapers send none.
 *
 * @param sources - the daemon
 * @param request - method, URL and the `authorization` header
 * @param secrets - those that are accepted; two while they are rotated, none where the address is open
 * @returns status, headers and body; never throws for a request that makes no sense
 */
export const answerAdmin = async (sources: AdminSources, request: AdminRequest, secrets: readonly string[]): Promise<AdminAnswer> => {
  const url = parseUrl(request.url)
  const method = url === null || !Object.hasOwn(METHODS, url.pathname) ? undefined : METHODS[url.pathname]
  if (url === null || method === undefined) return errorAnswer(404, `there is no such admin path; use ${Object.keys(METHODS).join(', ')}`)
  if (request.method !== method) return errorAnswer(405, `use ${method} for ${url.pathname}`)
  if (url.pathname !== METRICS_PATH && !isAuthorised(request.authorization, secrets)) {
    return errorAnswer(401, 'the admin secret is missing or wrong; set BLUEBELLHILL_ADMIN_SECRET for the command line')
  }
  try {
    return await answerPath(sources, url.pathname, url.searchParams)
  } catch (error) {
    if (error instanceof QueryError) return errorAnswer(400, error.message)
    throw error
  }
}
