/** The key-value service over HTTP. */
import type { ServerResponse } from 'node:http'

import { CallCounter } from '../CallCounter.js'
import { takeFault } from '../faults.js'
import type { HttpServer } from '../http/HttpServer.js'
import { readBody, sendJson } from '../http/messages.js'
import type { Handler, Routes } from '../http/types.js'
import { RateLimit } from '../RateLimit.js'
import { idField, integerField, messageField, readPut, readRange, readTransaction, writeHeader, writeResult, writeTransactionPart } from './codec.js'
import type { Json } from './codec.js'
import { KeyValueRefusal } from './errors.js'
import { initialKeyValueFaults } from './faults.js'
import type { KeyValueFaults } from './faults.js'
import { KeyValueStore } from './KeyValueStore.js'
import type { Operation } from './types.js'
import { WatchHub } from './WatchHub.js'

const MS_PER_SECOND = 1_000
const TRY_LATER = { 'retry-after': '1' }

/** Settings of the service. */
export interface KeyValueOptions {
  readonly name: string
  /** Limits a second; 0 for none. */
  readonly writesPerSecond: number
  readonly readsPerSecond: number
}

type Call = (body: Json) => Json

/** The service over HTTP. */
export class KeyValueServer {
  readonly store = new KeyValueStore()
  readonly faults: KeyValueFaults
  private readonly watches = new WatchHub(this.store)
  private readonly calls = new CallCounter()
  private readonly writes = new RateLimit(0)
  private readonly reads = new RateLimit(0)

  /**
   * @param options - its settings
   */
  constructor (private readonly options: KeyValueOptions) {
    this.faults = { ...initialKeyValueFaults(), writesPerSecond: options.writesPerSecond, readsPerSecond: options.readsPerSecond }
    this.applyLimits()
  }

  /** The published routes. */
  get routes (): Routes {
    return {
      'GET /health': ({ response }) => sendJson(response, 200, { health: 'true' }),
      'POST /v3/kv/range': this.read('range', (body) => this.range(body)),
      'POST /v3/kv/put': this.write('put', (body) => this.one(readPut(body))),
      'POST /v3/kv/deleterange': this.write('deleterange', (body) => this.one({ type: 'delete', range: readRange(body) })),
      'POST /v3/kv/txn': this.write('txn', (body) => this.transact(body)),
      'POST /v3/lease/grant': this.write('lease_grant', (body) => this.grant(body)),
      'POST /v3/lease/revoke': this.write('lease_revoke', (body) => this.revoke(body)),
      'POST /v3/lease/keepalive': this.write('lease_keepalive', (body) => ({ result: this.keepAlive(body) })),
      'POST /v3/lease/timetolive': this.read('lease_timetolive', (body) => this.timeToLive(body)),
      'POST /v3/watch': this.admitted('watch', this.reads, (body, response) => this.watches.open(body, response))
    }
  }

  /** What was called and what is held. */
  ledger (): unknown {
    return { name: this.options.name, revision: this.store.revision, waitingWatches: this.watches.waiting, calls: this.calls.report() }
  }

  /**
   * Puts changed switches into force.
   *
   * @param service - the public listener
   */
  faultsChanged (service: HttpServer): void {
    this.applyLimits()
    if (this.faults.downMs > 0) service.goDown(this.faults.downMs)
    if (this.faults.restoreTo > 0) this.store.restore(this.faults.restoreTo)
    if (this.faults.restoreTo > 0 || this.isUnavailable) this.watches.cut()
    this.faults.downMs = 0
    this.faults.restoreTo = 0
  }

  /** Lets leases expire; cuts the watches while flapping. */
  tick (): void {
    this.store.expire(performance.now())
    if (this.isUnavailable) this.watches.cut()
  }

  private get isUnavailable (): boolean {
    const { unavailable, flapMs } = this.faults
    return unavailable || (flapMs > 0 && Math.floor(performance.now() / flapMs) % 2 === 1)
  }

  private applyLimits (): void {
    this.writes.set(this.faults.writesPerSecond)
    this.reads.set(this.faults.readsPerSecond)
  }

  private read (kind: string, call: Call): Handler {
    return this.admitted(kind, this.reads, (body, response) => sendJson(response, 200, call(body)))
  }

  private write (kind: string, call: Call): Handler {
    return this.admitted(kind, this.writes, (body, response) => {
      const answer = call(body)
      if (takeFault(this.faults, 'loseAnswers')) response.destroy()
      else sendJson(response, 200, answer)
    })
  }

  private admitted (kind: string, limit: RateLimit, run: (body: Json, response: ServerResponse) => void): Handler {
    return async ({ request, response }) => {
      const bytes = await readBody(request)
      this.calls.count(kind, bytes.length)
      if (this.faults.slowMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.slowMs))
      if (this.isUnavailable) return sendJson(response, 503, { error: 'unavailable', code: 14, message: 'unavailable' }, TRY_LATER)
      if (!limit.take(performance.now())) return sendJson(response, 429, { error: 'too many requests', code: 8, message: 'too many requests' }, TRY_LATER)
      try {
        run(JSON.parse(bytes.toString() || '{}') as Json, response)
      } catch (error) {
        if (!(error instanceof KeyValueRefusal)) throw error
        sendJson(response, error.status, { error: error.message, code: error.code, message: error.message })
      }
    }
  }

  private range (body: Json): Json {
    const { revision: newest } = this.store
    const stale = this.faults.staleRevisions > 0 ? Math.max(1, newest - this.faults.staleRevisions) : newest
    const revision = integerField(body, 'revision') || stale
    const entries = this.store.range(readRange(body), revision)
    const limit = integerField(body, 'limit')
    const limited = limit > 0 ? entries.slice(0, limit) : entries
    return writeResult({ type: 'range', entries: limited, count: entries.length }, stale)
  }

  private one (operation: Operation): Json {
    const { results } = this.store.transact([], [operation])
    return writeResult(results[0]!, this.store.revision)
  }

  private transact (body: Json): Json {
    const { compare, success, failure } = readTransaction(body)
    const { succeeded, results } = this.store.transact(compare, success, failure)
    const { revision } = this.store
    const responses = results.map((result) => writeTransactionPart(result, revision))
    return { header: writeHeader(revision), ...(succeeded ? { succeeded } : {}), responses }
  }

  private grant (body: Json): Json {
    const lease = this.store.grant(integerField(body, 'TTL'), performance.now(), idField(body, 'ID'))
    return { header: writeHeader(this.store.revision), ID: lease.id, TTL: String(lease.ttlMs / MS_PER_SECOND) }
  }

  private revoke (body: Json): Json {
    this.store.revoke(idField(body, 'ID') ?? '')
    return { header: writeHeader(this.store.revision) }
  }

  private keepAlive (body: Json): Json {
    const id = idField(messageField(body, 'keep_alive_request'), 'ID') ?? idField(body, 'ID') ?? ''
    const lease = this.store.keepAlive(id, performance.now())
    const header = writeHeader(this.store.revision)
    return lease ? { header, ID: id, TTL: String(lease.ttlMs / MS_PER_SECOND) } : { header, ID: id }
  }

  private timeToLive (body: Json): Json {
    const id = idField(body, 'ID') ?? ''
    const now = performance.now()
    const found = this.store.lease(id, now)
    const header = writeHeader(this.store.revision)
    if (!found) return { header, ID: id, TTL: '-1' }
    const left = Math.ceil((found.lease.expiresAt - now) / MS_PER_SECOND)
    const keys = found.keys.map((key) => Buffer.from(key, 'latin1').toString('base64'))
    return { header, ID: id, TTL: String(left), grantedTTL: String(found.lease.ttlMs / MS_PER_SECOND), keys }
  }
}
