/** Routes of the engine that answer prompts. */
import { readJson, sendJson, cutHalfway } from '../http/messages.js'
import type { Exchange, Routes } from '../http/types.js'
import { takeFault } from '../faults.js'
import { answerSeed, answerText, blockHashes, preparePrompt } from '../text.js'
import { AnswerSink, EventStreamSink } from './AnswerSink.js'
import type { AnswerStream } from './AnswerStream.js'
import { readCompletion } from './completionBody.js'
import type { CompletionBody } from './completionBody.js'
import type { EngineParts } from './EngineParts.js'
import { RunState } from './EngineLedger.js'
import { duplicateRequest, noCapacity, tooLong, unknownStream, wrongModel, wrongRole } from './errors.js'
import { Role, Submission } from './types.js'
import type { SequenceSpec } from './types.js'

/** Waits for the whole answer and sends it as one JSON object. */
class WholeAnswerSink extends AnswerSink {
  override readonly ready = true

  constructor (private readonly exchange: Exchange, private readonly stream: AnswerStream) {
    super()
  }

  override write (): void {}

  override end (): void {
    const { spec } = this.stream
    const text = answerText(spec.seed, 0, spec.maxTokens)
    const usage = { prompt_tokens: spec.promptTokens, completion_tokens: spec.maxTokens }
    const choices = [{ index: 0, text, finish_reason: 'length' }]
    sendJson(this.exchange.response, 200, { id: spec.requestId, object: 'text_completion', model: spec.model, offset: 0, choices, usage })
  }

  override cut (): void {
    this.dispose()
  }

  override dispose (): void {
    this.exchange.response.destroy()
  }
}

const sequenceSpec = (parts: EngineParts, body: CompletionBody, bytes: Uint8Array, promptTokens: number): SequenceSpec => {
  const common = { id: body.requestId, maxTokens: body.maxTokens, priority: body.priority }
  if (body.groupSegments) {
    const outsideTokens = parts.segments.requireGroup(body.groupSegments, promptTokens)
    return { ...common, promptTokens: 1, hashes: [], readyTokens: 0, outsideTokens, isResident: true }
  }
  const readyTokens = body.kvSegment === null ? 0 : parts.segments.require(body.kvSegment).tokens
  const hashes = typeof body.prompt === 'string' ? blockHashes(bytes, parts.options.blockTokens) : []
  return { ...common, promptTokens, hashes, readyTokens, outsideTokens: 0, isResident: false }
}

const open = (parts: EngineParts, body: CompletionBody, requestKey: string | null): AnswerStream => {
  if (!parts.state.serves(body)) throw wrongModel()
  if (parts.state.role === Role.Idle || parts.state.role === Role.Prefill) throw wrongRole()
  if (parts.engine.find(body.requestId)) throw duplicateRequest()
  const { bytes, tokens } = preparePrompt(body.prompt)
  const seed = answerSeed(bytes)
  const spec = { requestId: body.requestId, model: parts.state.model!, seed, promptTokens: tokens, maxTokens: body.maxTokens }
  const stream = parts.engine.open(spec, sequenceSpec(parts, body, bytes, tokens))
  if (stream === Submission.TooLong) throw tooLong()
  if (stream === Submission.NoCapacity) throw noCapacity()
  parts.ledger.start({ requestId: body.requestId, requestKey, digest: seed.digest, promptTokens: tokens, firstToken: seed.first, generated: 0, state: RunState.Running })
  return stream
}

const armFaults = (parts: EngineParts, stream: AnswerStream): void => {
  if (takeFault(parts.faults, 'cutMidStream')) stream.cutAt = stream.sent + parts.faults.cutAfterTokens
  if (takeFault(parts.faults, 'stallStreams')) stream.stalled = true
}

const follow = (parts: EngineParts, exchange: Exchange, stream: AnswerStream, body: CompletionBody): void => {
  const { response } = exchange
  const sink = body.stream ? new EventStreamSink(response) : new WholeAnswerSink(exchange, stream)
  armFaults(parts, stream)
  response.on('close', () => parts.engine.detach(stream, sink))
  response.on('drain', () => parts.engine.flush(stream))
  parts.engine.attach(stream, sink, body.resumeOffset ?? 0)
  if (takeFault(parts.faults, 'closeAfterHeaders')) sink.dispose()
}

const complete = async (parts: EngineParts, exchange: Exchange): Promise<void> => {
  const { request } = exchange
  parts.ledger.count('completions')
  if (takeFault(parts.faults, 'cutHalfBody')) return await cutHalfway(request)
  const body = readCompletion(await readJson(request))
  if (takeFault(parts.faults, 'closeBeforeHeaders')) {
    request.socket.destroy()
    return
  }
  const requestKey = request.headers['x-request-key']
  const stream = body.resumeOffset === null
    ? open(parts, body, typeof requestKey === 'string' ? requestKey : null)
    : parts.engine.find(body.requestId)
  if (!stream || (body.resumeOffset ?? 0) > stream.sequence.generated) throw unknownStream()
  follow(parts, exchange, stream, body)
}

/**
 * Routes for completions and their cancelling.
 *
 * @param parts - the engine
 * @returns the routes
 */
export const completionRoutes = (parts: EngineParts): Routes => ({
  'POST /v1/completions': async (exchange) => await complete(parts, exchange),
  'POST /v1/cancel': async ({ request, response }) => {
    const body = await readJson(request)
    parts.ledger.count('cancels')
    const cancelled = parts.faults.loseCancel || parts.engine.cancel(String(body['request_id']))
    sendJson(response, 200, { cancelled })
  }
})
