/** Routes of the engine for its status, its cache events and its orders. */
import { readJson, sendJson } from '../http/messages.js'
import type { Routes } from '../http/types.js'
import type { EngineParts } from './EngineParts.js'

const POLL_MS = 10
const LONGEST_WAIT_MS = 60_000

/**
 * Routes for health, status, cache events and orders.
 *
 * @param parts - the engine
 * @returns the routes
 */
export const statusRoutes = (parts: EngineParts): Routes => ({
  'GET /health': ({ response }) => sendJson(response, 200, { status: 'ok' }),
  'GET /v1/engine/status': ({ response }) => {
    parts.ledger.count('statuses')
    sendJson(response, 200, parts.status.report())
  },
  'GET /v1/engine/events': async ({ response, url }) => {
    parts.ledger.count('events')
    const after = Number(url.searchParams.get('after') ?? 0)
    const wait = Math.min(LONGEST_WAIT_MS, Number(url.searchParams.get('waitMs') ?? 0))
    const until = performance.now() + wait
    let page = parts.events.read(after)
    while (page.events.length === 0 && performance.now() < until && !response.destroyed) {
      await new Promise((resolve) => setTimeout(resolve, POLL_MS))
      page = parts.events.read(after)
    }
    sendJson(response, 200, page)
  },
  'POST /v1/engine/orders': async ({ request, response }) => {
    parts.ledger.count('orders')
    const body = await readJson(request)
    parts.loader.take(Number(body['fencing'] ?? 0), (body['order'] ?? {}) as Record<string, unknown>)
    sendJson(response, 202, {})
  }
})
