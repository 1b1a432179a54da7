// Stand-in of a runner, for plain requests and streams, with reservations of memory.
import { once } from 'node:events'
import { createServer } from 'node:http'
import { randomUUID } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'

import { HeaderName, ORDER_PATH } from '@bluebellhill/platform'

import { documents } from './documents.mjs'

const { AttemptId: ATTEMPT_ID, ServerId: INSTANCE, Signature: SIGNATURE, NotRun: NOT_EXECUTED, Helpers: HELPERS, ExpectedServer: EXPECTED_INSTANCE } = HeaderName

const TICKET_CHECK_MS = 20

/** @returns the whole body of the answer to a plain request */
export const plainBody = (id) => `answer to ${id} `.padEnd(800, '.')

/** @returns one event of a stream, numbered from 1 */
export const streamEvent = (id, number) => `id: ${number}\ndata: ${id}-${number}\n\n`

/** @returns all events of a stream */
export const streamBody = (id, events) => Array.from({ length: events }, (_, index) => streamEvent(id, index + 1)).join('')

/** A runner; each start is a process of its own as far as nodes can see. */
export class Runner {
  /** Ids of the requests that were sent here for this runner. */
  arrivals = new Set()
  /** Requests that ran here: id, start and end. */
  runs = []
  /** Reservations of memory, by id. */
  tickets = new Map()
  bornAt = Date.now()
  state = 'ready'
  #sockets = new Set()
  #record = null
  #timer = null
  #running = 0
  /** Requests that wait for a slot. */
  #queue = []

  /**
   * @param options - service, work of a plain request in ms, events and their gap in ms for streams, whether the work goes on when the channel closes
   */
  constructor (options) {
    this.options = { slots: 6, workMs: 60, events: 0, gapMs: 50, prefillMs: 50, worksOn: false, ...options }
    this.id = `i-${randomUUID().slice(0, 8)}`
    this.server = createServer((request, response) => { this.#handle(request, response).catch((error) => this.#log(`failed: ${error.stack}`)) })
    this.server.on('connection', (socket) => {
      this.#sockets.add(socket)
      socket.once('close', () => this.#sockets.delete(socket))
    })
  }

  async start (host, port, record) {
    this.#record = record
    this.host = host
    this.address = `${host}:${port}`
    this.server.listen(port, host)
    await once(this.server, 'listening')
    this.#timer = setInterval(() => this.#expireTickets(), TICKET_CHECK_MS)
  }

  /** @returns the entry in the store */
  entry () {
    return { service: this.options.service, address: this.address, zone: this.zone, version: 'v1', slots: this.options.slots, state: this.state, warmup_left_ms: 0, sequence: 1, born: this.bornAt }
  }

  /** Resets all channels and leaves the port, as a crash does. What waits or runs is gone. */
  crash () {
    this.server.close()
    for (const socket of this.#sockets) socket.resetAndDestroy()
    this.#running = 0
    this.#queue = []
    this.#log('crashed')
  }

  /** Starts again under the same id. The entry in the store is written by the deployment. */
  async restart () {
    this.bornAt = Date.now()
    const [host, port] = this.address.split(':')
    this.server.listen(Number(port), host)
    await once(this.server, 'listening')
    this.#log('is back under its id')
  }

  dispose () {
    clearInterval(this.#timer)
    this.server.close()
    this.server.closeAllConnections()
  }

  #log (text) {
    this.#record?.write('runner', `${this.id} ${text}`)
  }

  async #handle (request, response) {
    const { url = '', headers } = request
    if (url === '/healthz') return response.writeHead(200, { [INSTANCE]: this.id, 'content-length': 0 }).end()
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch {
      return
    }
    if (url === ORDER_PATH) return this.#order(JSON.parse(Buffer.concat(chunks).toString('utf8')), response)
    const id = headers[ATTEMPT_ID]
    const common = { [ATTEMPT_ID]: id ?? '', [INSTANCE]: this.id }
    if (id === undefined) return response.writeHead(400, { [NOT_EXECUTED]: '1', 'content-length': 0 }).end()
    const expected = headers[EXPECTED_INSTANCE]
    if (expected !== undefined && expected !== this.id) {
      this.#log(`refuses ${id} for ${expected}: 421`)
      return response.writeHead(421, { ...common, [NOT_EXECUTED]: '1', 'content-length': 0 }).end()
    }
    this.arrivals.add(id)
    if (this.#running >= this.options.slots) {
      this.#log(`queues ${id}`)
      await new Promise((resolve) => { this.#queue.push(resolve) })
    } else {
      this.#running += 1
    }
    if (response.destroyed) {
      this.#log(`drops ${id} from its queue`)
      return this.#freeSlot()
    }
    const held = this.#takeTickets(id, headers[HELPERS])
    if (url === this.options.deadlyPath) return this.options.onDeadly(this, id)
    const run = { id, path: url, startedAt: performance.now(), endedAt: null, headers }
    this.runs.push(run)
    this.#log(`runs ${id} ${url}`)
    const end = (text) => {
      if (run.endedAt !== null) return
      run.endedAt = performance.now()
      this.#freeSlot()
      for (const release of held) release()
      this.#log(`${text} ${id}`)
    }
    response.once('close', () => { if (!response.writableFinished && !this.options.worksOn) end('drops') })
    const answerHeaders = { ...common, [SIGNATURE]: `mac-of-${this.id}` }
    if (this.options.events === 0) await this.#answerPlain(id, response, answerHeaders)
    else await this.#answerStream(id, Number(headers['last-event-id'] ?? 0), response, answerHeaders)
    end('has finished')
  }

  #freeSlot () {
    const next = this.#queue.shift()
    if (next === undefined) this.#running = Math.max(0, this.#running - 1)
    else next()
  }

  async #answerPlain (id, response, headers) {
    await sleep(this.options.workMs)
    const body = plainBody(id)
    if (!response.destroyed) response.writeHead(200, { ...headers, 'content-length': body.length }).end(body)
  }

  async #answerStream (id, lastEventId, response, headers) {
    const { events, gapMs, prefillMs } = this.options
    await sleep(prefillMs)
    if (!response.destroyed) response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' })
    for (let number = lastEventId + 1; number <= events; number += 1) {
      if (response.destroyed && !this.options.worksOn) return
      if (!response.destroyed) response.write(streamEvent(id, number))
      await sleep(gapMs)
    }
    if (!response.destroyed) response.end()
  }

  #order ({ operation, id, tokens, [documents.reservation.duration]: holdMs }, response) {
    const now = performance.now()
    if (operation === 'reserve') {
      const ticket = this.tickets.get(id) ?? { id, tokens, requests: new Set() }
      this.#log(`${this.tickets.has(id) ? 'renews' : 'reserves'} ${id}, ${tokens} tokens`)
      ticket.expiresAt = now + holdMs
      this.tickets.set(id, ticket)
      return sendJson(response, 200, { free: 450_000 - tokens })
    }
    if (operation === 'release') {
      this.tickets.delete(id)
      this.#log(`releases ${id}`)
      return sendJson(response, 200, { free: 450_000 })
    }
    return sendJson(response, 400, { error: 'unknown' })
  }

  /** Finds the reservations that a request uses at other runners. */
  #takeTickets (id, helpers) {
    if (helpers === undefined) return []
    return helpers.split(',').filter((helper) => helper.includes('/')).map((helper) => {
      const [address, ...rest] = helper.split('/')
      return this.options.useTicket(address, rest.join('/'), id)
    })
  }

  #expireTickets () {
    const now = performance.now()
    for (const [id, { expiresAt }] of this.tickets) {
      if (expiresAt > now) continue
      this.tickets.delete(id)
      this.#log(`reservation ${id} expires`)
    }
  }
}

const sendJson = (response, status, body) => {
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
}
