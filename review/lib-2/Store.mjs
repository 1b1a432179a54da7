/** Small stand-in of the platform's metadata store: listings, watches, transactions and leases over HTTP. */
import { once } from 'node:events'
import { createServer } from 'node:http'

import { StoreKey } from '@bluebellhill/platform'

const REVISION_AT_START = 100

/** In-memory store; it loses nothing, and stale reads show what it held some time ago. */
export class Store {
  /** Age of what stale reads show, in milliseconds. */
  staleLagMs = 0
  #items = new Map()
  #leases = new Map()
  #watches = new Set()
  /** All changes with the times at which they were made. */
  #changes = []
  #revision = REVISION_AT_START
  #nextLease = 1
  #server = createServer((request, response) => { this.#handle(request, response).catch(() => response.destroy()) })

  async start (host, port) {
    this.#server.listen(port, host)
    await once(this.#server, 'listening')
  }

  stop () {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  /**
   * Writes a document for the operator or a runner. The return is the store's acknowledgement.
   *
   * @param key - key of the document
   * @param document - document
   * @returns time of the acknowledgement, on the monotonic clock
   */
  put (key, document) {
    this.#write({ key, value: Buffer.from(JSON.stringify(document)).toString('base64'), lease: 0 })
    return performance.now()
  }

  remove (key) {
    if (this.#items.delete(key)) this.#record({ key, revision: ++this.#revision, deleted: true })
    return performance.now()
  }

  /** Treats what was written so far as if it had been there for long. */
  settle () {
    for (const change of this.#changes) change.at = -Infinity
  }

  async #handle (request, response) {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const url = new URL(request.url, 'http://store')
    const body = chunks.length === 0 ? {} : JSON.parse(Buffer.concat(chunks).toString('utf8'))
    const { pathname, searchParams } = url
    const [, operation, lease] = /-(watch|range|lease|keep|txn)(?:\/(\d+))?$/.exec(pathname) ?? []
    if (operation === 'watch') return this.#watch(searchParams, response)
    if (operation === 'range') return send(response, 200, this.#range(searchParams))
    if (operation === 'lease') return send(response, 200, this.#grantLease(body.ttl_ms))
    if (operation === 'keep') return this.#keepLease(Number(lease), response)
    if (operation === 'txn') return this.#transaction(body, response)
    send(response, 404, { error: 'unknown' })
  }

  #range (parameters) {
    const prefix = parameters.get('prefix') ?? ''
    const after = parameters.get('after') ?? ''
    const { items, revision } = parameters.get('stale_ok') === '1' ? this.#stateBefore(performance.now() - this.staleLagMs) : { items: this.#items, revision: this.#revision }
    const found = [...items.values()].filter(({ key }) => key.startsWith(prefix) && key > after).sort((a, b) => a.key < b.key ? -1 : 1)
    return { items: found, has_more: false, at: revision }
  }

  #stateBefore (time) {
    const items = new Map()
    let revision = REVISION_AT_START
    for (const { at, event } of this.#changes) {
      if (at > time) break
      revision = event.revision
      if (event.deleted) items.delete(event.key)
      else items.set(event.key, event)
    }
    return { items, revision }
  }

  #grantLease (ttl) {
    const lease = this.#nextLease++
    this.#leases.set(lease, ttl)
    return { lease, ttl_ms: ttl }
  }

  #keepLease (lease, response) {
    const ttl = this.#leases.get(lease)
    if (ttl === undefined) send(response, 404, { error: 'ended' })
    else send(response, 200, { ttl_ms: ttl })
  }

  #transaction ({ expected = [], writes = [], remove = [] }, response) {
    const own = [...writes.map(({ key }) => key), ...remove]
    if (own.some((key) => key.startsWith(StoreKey.Operator) || key.startsWith(StoreKey.BackendServers))) return send(response, 403, { error: 'not yours' })
    const current = expected.map(({ key }) => this.#items.get(key) ?? { key, revision: 0 })
    if (current.some(({ revision }, index) => revision !== expected[index].revision)) return send(response, 412, { items: current })
    if (writes.some(({ lease }) => lease > 0 && !this.#leases.has(lease))) return send(response, 404, { error: 'no lease' })
    for (const write of writes) this.#write(write)
    for (const key of remove) this.remove(key)
    send(response, 200, { revision: this.#revision })
  }

  #write ({ key, value, lease }) {
    const revision = ++this.#revision
    const item = { key, value, lease, revision, created: this.#items.get(key)?.created ?? revision }
    this.#items.set(key, item)
    this.#record(item)
  }

  #record (event) {
    this.#changes.push({ at: performance.now(), event })
    for (const watch of [...this.#watches]) if (event.key.startsWith(watch.prefix)) watch.respond()
  }

  #watch (parameters, response) {
    const prefix = parameters.get('prefix') ?? ''
    const after = Number(parameters.get('after'))
    const eventsAfter = () => this.#changes.map(({ event }) => event).filter(({ key, revision }) => key.startsWith(prefix) && revision > after)
    const watch = {
      prefix,
      respond: () => {
        this.#watches.delete(watch)
        clearTimeout(timer)
        send(response, 200, { events: eventsAfter(), at: this.#revision })
      }
    }
    const timer = setTimeout(watch.respond, Number(parameters.get('wait_ms')))
    response.once('close', () => {
      this.#watches.delete(watch)
      clearTimeout(timer)
    })
    if (eventsAfter().length > 0) watch.respond()
    else this.#watches.add(watch)
  }
}

const send = (response, status, body) => {
  if (response.destroyed || response.headersSent) return
  response.writeHead(status, { 'content-type': 'application/json' })
  response.end(JSON.stringify(body))
}
