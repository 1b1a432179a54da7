/** HTTP client of a model engine. */
import { BODY_IDLE_TIMEOUT_MS, CONTROL_TIMEOUT_MS, MAX_ERROR_BODY_BYTES, HEADERS_TIMEOUT_MS } from '../http/constants.js'
import { cancelSchema, cacheEventsSchema, staleFencingSchema, statusSchema, tokensSchema } from './encoding.js'
import { decodeJson, readBody, readFailure, readJson } from '../http/json.js'
import { failed, success } from '../result.js'
import { ModelEngine } from './ModelEngine.js'
import type { CallFailure } from '../errors.js'
import type { HttpResponse, HttpCall, HttpPool } from '../http/HttpPool.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'
import type { CompletionCall, CompletionStream, EngineCacheEvents, EngineCommand, EngineStatus, ExportedSegment, CommandResult, SegmentPrefill } from './types.js'

const CONFLICT_STATUS = 409
const OK_STATUS = 200
const JSON_HEADERS = { 'content-type': 'application/json' }

/** Maximum size of an exported segment in bytes. */
const MAX_SEGMENT_BYTES = 256 * 1024 * 1024

/** Timeout for the transfer of one segment, in milliseconds. */
const TRANSFER_TIMEOUT_MS = 60_000

export class HttpModelEngine extends ModelEngine {
  readonly address: string
  readonly #pool: HttpPool
  readonly #timeout: Millis

  /**
   * @param pool - HTTP connections
   * @param address - `ip:port` of the engine
   * @param timeout - timeout of a control call
   */
  constructor (pool: HttpPool, address: string, timeout: Millis = CONTROL_TIMEOUT_MS) {
    super()
    this.#pool = pool
    this.address = address
    this.#timeout = timeout
  }

  override async complete (call: CompletionCall): Promise<Result<CompletionStream, CallFailure>> {
    const response = await this.#pool.send({
      address: this.address,
      method: 'POST',
      path: '/v1/completions',
      headers: JSON_HEADERS,
      body: call.body,
      signal: call.signal,
      timeout: call.timeout ?? HEADERS_TIMEOUT_MS,
      idleTimeout: call.idleTimeout ?? BODY_IDLE_TIMEOUT_MS,
      onSending: call.onSending,
      hasOwnConnection: true
    })
    if (!response.ok) return response
    if (response.value.status !== OK_STATUS) return failed(await readFailure(response.value))
    return success({ headers: response.value.headers, body: response.value.body })
  }

  override async cancel (requestId: string): Promise<Result<boolean, CallFailure>> {
    const response = await this.#post('/v1/cancel', { request_id: requestId })
    if (!response.ok) return response
    const read = await readJson(response.value, cancelSchema)
    return read.ok ? success(read.value.cancelled) : read
  }

  override async status (): Promise<Result<EngineStatus, CallFailure>> {
    const response = await this.#get('/v1/engine/status', this.#timeout)
    return response.ok ? readJson(response.value, statusSchema) : response
  }

  override async cacheEvents (after: number, wait: Millis): Promise<Result<EngineCacheEvents, CallFailure>> {
    const response = await this.#get(`/v1/engine/events?after=${after}&waitMs=${wait}`, this.#timeout + wait)
    return response.ok ? readJson(response.value, cacheEventsSchema) : response
  }

  override async sendCommand (fencing: number, command: EngineCommand): Promise<Result<CommandResult, CallFailure>> {
    const response = await this.#post('/v1/engine/orders', { fencing, order: command }, { hasOwnConnection: true })
    if (!response.ok) return response
    if (response.value.status === CONFLICT_STATUS) return await readStaleFencing(response.value)
    if (response.value.status >= 300) return failed(await readFailure(response.value))
    await response.value.body.dump()
    return success({ accepted: true })
  }

  override async prefill (prefill: SegmentPrefill): Promise<Result<number, CallFailure>> {
    const response = await this.#post('/v1/kv/prefill', {
      request_id: prefill.requestId,
      segment_id: prefill.segmentId,
      prompt: prefill.prompt,
      context_segments: prefill.contextSegments,
      model: prefill.model,
      version: prefill.version,
      priority: prefill.priority
    }, { signal: prefill.signal, timeout: prefill.timeout ?? HEADERS_TIMEOUT_MS, hasOwnConnection: true })
    if (!response.ok) return response
    const read = await readJson(response.value, tokensSchema)
    return read.ok ? success(read.value.tokens) : read
  }

  override async exportSegment (segmentId: string, signal?: AbortSignal): Promise<Result<ExportedSegment, CallFailure>> {
    const response = await this.#post('/v1/kv/export', { segment_id: segmentId }, { signal, timeout: TRANSFER_TIMEOUT_MS, hasOwnConnection: true })
    if (!response.ok) return response
    if (response.value.status !== OK_STATUS) return failed(await readFailure(response.value))
    const tokens = Number(response.value.headers['x-segment-tokens'] ?? NaN)
    const bytes = await readBody(response.value, MAX_SEGMENT_BYTES)
    if (!bytes.ok) return bytes
    if (!Number.isFinite(tokens)) return failed({ type: 'malformed', reason: 'header x-segment-tokens is missing' })
    return success({ tokens, bytes: bytes.value })
  }

  override async importSegment (segmentId: string, requestId: string, bytes: Buffer, signal?: AbortSignal): Promise<Result<void, CallFailure>> {
    const query = new URLSearchParams({ segment_id: segmentId, request_id: requestId })
    const response = await this.#pool.send({
      address: this.address,
      method: 'POST',
      path: `/v1/kv/import?${query.toString()}`,
      headers: { 'content-type': 'application/octet-stream' },
      body: bytes,
      signal,
      timeout: TRANSFER_TIMEOUT_MS,
      hasOwnConnection: true
    })
    return await expectSuccess(response)
  }

  override async releaseSegments (requestId: string): Promise<Result<void, CallFailure>> {
    return await expectSuccess(await this.#post('/v1/kv/release', { request_id: requestId }))
  }

  override async isHealthy (): Promise<boolean> {
    return (await expectSuccess(await this.#get('/health', this.#timeout))).ok
  }

  async #post (path: string, body: unknown, limits: Pick<HttpCall, 'signal' | 'timeout' | 'hasOwnConnection'> = {}): Promise<Result<HttpResponse, CallFailure>> {
    const timeout = limits.timeout ?? this.#timeout
    const signal = limits.signal ?? AbortSignal.timeout(timeout)
    return await this.#pool.send({ address: this.address, method: 'POST', path, headers: JSON_HEADERS, body: JSON.stringify(body), timeout, signal, hasOwnConnection: limits.hasOwnConnection })
  }

  async #get (path: string, timeout: Millis): Promise<Result<HttpResponse, CallFailure>> {
    return await this.#pool.send({ address: this.address, method: 'GET', path, timeout, signal: AbortSignal.timeout(timeout) })
  }
}

const expectSuccess = async (response: Result<HttpResponse, CallFailure>): Promise<Result<void, CallFailure>> => {
  if (!response.ok) return response
  if (response.value.status >= 300) return failed(await readFailure(response.value))
  await response.value.body.dump()
  return success(undefined)
}

const readStaleFencing = async (response: HttpResponse): Promise<Result<CommandResult, CallFailure>> => {
  const body = await readBody(response, MAX_ERROR_BODY_BYTES)
  if (!body.ok) return body
  const stale = decodeJson(body.value.toString('utf8'), staleFencingSchema)
  if (stale.ok) return success({ accepted: false, currentFencing: stale.value.error.current })
  return failed({ type: 'rejected', status: CONFLICT_STATUS, code: 'http_409', retryAfter: null, reason: 'the engine rejected the command with status 409 and an unknown error body' })
}
