/** A watch of the key-value service: one HTTP call whose response has one JSON object per line and stays open. */
import { decodeJson, readFailure } from '../http/json.js'
import { decodeKeyValue, encodeRange, watchSchema } from './encoding.js'
import { LineDecoder } from '../http/LineDecoder.js'
import type { AddressList } from '../http/AddressList.js'
import type { CallFailure } from '../errors.js'
import type { HttpResponse, HttpPool } from '../http/HttpPool.js'
import type { Millis } from '@bluebellhill/domain'
import type { Watch, WatchListener } from './KeyValueService.js'
import type { WatchedChange, WatchQuery } from './types.js'
import type { z } from 'zod'

type WatchResponse = z.output<typeof watchSchema>['result']

export class HttpWatch implements Watch {
  readonly #pool: HttpPool
  readonly #addresses: AddressList
  readonly #listener: WatchListener
  readonly #abortController = new AbortController()
  #isEnded = false

  /**
   * @param pool - HTTP connections
   * @param addresses - instances of the service
   * @param listener - callbacks for changes and for the end of the watch
   */
  constructor (pool: HttpPool, addresses: AddressList, listener: WatchListener) {
    this.#pool = pool
    this.#addresses = addresses
    this.#listener = listener
  }

  /**
   * Sends the watch request and reads its response until it ends.
   *
   * @param query - keys to watch
   * @param timeout - timeout for the response headers
   */
  async open (query: WatchQuery, timeout: Millis): Promise<void> {
    const createRequest = { ...encodeRange(query), ...(query.startRevision === undefined ? {} : { start_revision: String(query.startRevision) }) }
    const response = await this.#addresses.run((address) => this.#pool.send({
      address,
      method: 'POST',
      path: '/v3/watch',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ create_request: createRequest }),
      signal: this.#abortController.signal,
      timeout,
      idleTimeout: 0
    }))
    if (!response.ok) this.#close(response.failure)
    else if (response.value.status !== 200) this.#close(await readFailure(response.value))
    else await this.#readLines(response.value)
  }

  dispose (): void {
    this.#isEnded = true
    this.#abortController.abort()
  }

  async #readLines (response: HttpResponse): Promise<void> {
    const lineDecoder = new LineDecoder()
    try {
      for await (const chunk of response.body) {
        for (const line of lineDecoder.push(chunk as Buffer)) {
          if (!this.#handleLine(line)) return
        }
      }
      this.#close({ type: 'interrupted', reason: 'the server ended the watch' })
    } catch (error) {
      this.#close({ type: 'interrupted', reason: error instanceof Error ? error.message : String(error) })
    }
  }

  #handleLine (line: string): boolean {
    if (this.#isEnded) return false
    if (line.trim() === '') return true
    const message = decodeJson(line, watchSchema)
    if (!message.ok) return this.#close(message.failure)
    const { result } = message.value
    if (result.canceled) return this.#close({ type: 'rejected', status: 200, code: 'watch_cancelled', retryAfter: null, reason: result.cancel_reason ?? 'the server cancelled the watch' })
    const revision = result.header?.revision ?? 0
    if (result.created) this.#listener.opened(revision)
    if (result.events.length > 0) this.#listener.changed(revision, result.events.map(decodeChange))
    return true
  }

  #close (failure: CallFailure): false {
    if (this.#isEnded) return false
    this.#isEnded = true
    this.#abortController.abort()
    this.#listener.closed(failure)
    return false
  }
}

const decodeChange = (event: WatchResponse['events'][number]): WatchedChange => {
  const value = decodeKeyValue(event.kv)
  return event.type === 'PUT' ? { type: 'put', value } : { type: 'delete', key: value.key, modRevision: value.modRevision }
}
