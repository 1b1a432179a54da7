/** Routes of the engine for KV segments. */
import { readBody, readJson, sendJson } from '../http/messages.js'
import type { Exchange, Routes } from '../http/types.js'
import { preparePrompt } from '../text.js'
import type { EngineParts } from './EngineParts.js'
import { noCapacity, tooLong, wrongModel, wrongRole } from './errors.js'
import { Sequence } from './Sequence.js'
import { Role, SequenceState, Submission } from './types.js'

const MS_PER_SECOND = 1_000

const transfer = async (parts: EngineParts, tokens: number): Promise<void> => {
  const ms = tokens * MS_PER_SECOND / parts.options.transferTokensPerSecond
  await new Promise((resolve) => setTimeout(resolve, ms))
}

const textOf = (value: unknown): string | null => value === undefined || value === null ? null : String(value)

const prefill = async (parts: EngineParts, { request, response }: Exchange): Promise<void> => {
  const body = await readJson(request)
  parts.ledger.count('prefills')
  if (!parts.state.serves({ model: textOf(body['model']), version: textOf(body['version']), adapter: textOf(body['adapter']) })) throw wrongModel()
  if (parts.state.role === Role.Idle || parts.state.role === Role.Decode) throw wrongRole()
  const requestId = String(body['request_id'])
  const id = String(body['segment_id'])
  const contexts = Array.isArray(body['context_segments']) ? body['context_segments'].map(String) : []
  const outsideTokens = contexts.reduce((sum, context) => sum + parts.segments.require(context).tokens, 0)
  const { tokens } = preparePrompt(String(body['prompt'] ?? ''))
  let finish = (): void => {}
  const done = new Promise<void>((resolve) => { finish = resolve })
  const sequence = parts.engine.prefill({
    id: `${requestId}/${id}`, promptTokens: tokens, maxTokens: 0, priority: Number(body['priority'] ?? 0), hashes: [], readyTokens: 0, outsideTokens, isResident: false
  }, finish)
  if (!(sequence instanceof Sequence)) throw sequence === Submission.TooLong ? tooLong() : noCapacity()
  parts.segments.keep({ id, requestId, tokens, createdAt: performance.now(), sequence })
  await done
  if (sequence.state === SequenceState.Gone) sendJson(response, 409, { error: { code: 'released', started: true } })
  else sendJson(response, 200, { tokens })
}

/**
 * Routes for prefill in segments, their transfer and their release.
 *
 * @param parts - the engine
 * @returns the routes
 */
export const segmentRoutes = (parts: EngineParts): Routes => ({
  'POST /v1/kv/prefill': async (exchange) => await prefill(parts, exchange),
  'POST /v1/kv/export': async ({ request, response }) => {
    parts.ledger.count('exports')
    const segment = parts.segments.require(String((await readJson(request))['segment_id']))
    await transfer(parts, segment.tokens)
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'x-segment-tokens': String(segment.tokens) })
    response.end(JSON.stringify({ id: segment.id, tokens: segment.tokens }))
  },
  'POST /v1/kv/import': async ({ request, response, url }) => {
    parts.ledger.count('imports')
    const body = JSON.parse((await readBody(request)).toString()) as { tokens: number }
    await transfer(parts, body.tokens)
    const id = url.searchParams.get('segment_id') ?? ''
    const requestId = url.searchParams.get('request_id') ?? ''
    parts.segments.keep({ id, requestId, tokens: body.tokens, createdAt: performance.now(), sequence: null })
    sendJson(response, 200, { tokens: body.tokens })
  },
  'POST /v1/kv/release': async ({ request, response }) => {
    parts.ledger.count('releases')
    sendJson(response, 200, { released: parts.segments.release(String((await readJson(request))['request_id'])) })
  }
})
