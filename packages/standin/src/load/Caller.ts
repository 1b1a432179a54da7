/** A caller of the nodes: sends one call, reads its answer and judges it. */
import { Agent } from 'undici'
import type { Dispatcher } from 'undici'

import type { Disposable } from '../Disposables.js'
import type { CallOutcome } from './types.js'

const CONNECT_TIMEOUT_MS = 2_000
const NOT_RUN = 'no'
const END_MARK = '[DONE]'
const DATA = 'data: '

/** One completion to send. */
export interface CompletionCall {
  readonly apiKey: string
  readonly model: string
  readonly prompt: string
  readonly maxTokens: number
  /** The whole text that has to come back. */
  readonly expected: string
}

/** One order to send. */
export interface OrderCall {
  readonly apiKey: string
  readonly service: string
  readonly key: string
}

interface NodeError {
  readonly code?: string
  readonly ran?: string
  readonly retry_after_ms?: number | null
}

interface StreamEvent {
  readonly error?: NodeError
  readonly choices?: readonly { readonly text?: string, readonly finish_reason?: string | null }[]
}

/** State of a stream that is being read. */
interface Reading {
  text: string
  firstTokenMs: number | null
  error: NodeError | null
  finished: boolean
  ended: boolean
}

type Answer = Dispatcher.ResponseData

/** Thrown before any byte was sent, so that a balancer may take another node. */
export class NotConnected extends Error {}

const isNotConnected = (error: unknown): boolean => {
  const { code } = error as { code?: string }
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
}

/** Sends calls over kept connections. */
export class Caller implements Disposable {
  private readonly agent = new Agent({
    connections: null,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: { timeout: CONNECT_TIMEOUT_MS }
  })

  /**
   * @param deadlineMs - time limit told to the node
   * @param graceMs - further time until a call counts as late
   */
  constructor (private readonly deadlineMs: number, private readonly graceMs: number) {}

  /**
   * Sends a completion and reads its stream.
   *
   * @param target - the node
   * @param call - what is asked
   * @returns how it ended
   * @throws NotConnected where no connection came about
   */
  async complete (target: string, call: CompletionCall): Promise<CallOutcome> {
    const body = JSON.stringify({ model: call.model, prompt: call.prompt, max_tokens: call.maxTokens, stream: true })
    return await this.judge(async (elapsed, signal) => {
      const answer = await this.send(target, '/v1/completions', call.apiKey, body, {}, signal)
      if (answer.statusCode !== 200) return await this.refusal(answer, elapsed)
      return await this.readStream(answer, call, elapsed)
    })
  }

  /**
   * Sends an order with its key.
   *
   * @param target - the node
   * @param call - what is ordered
   * @returns how it ended
   * @throws NotConnected where no connection came about
   */
  async order (target: string, call: OrderCall): Promise<CallOutcome> {
    const headers = { 'idempotency-key': call.key, 'x-request-key': call.key }
    const body = JSON.stringify({ key: call.key })
    return await this.judge(async (elapsed, signal) => {
      const answer = await this.send(target, `/services/${call.service}/orders`, call.apiKey, body, headers, signal)
      if (answer.statusCode !== 200) return await this.refusal(answer, elapsed)
      const { key } = await answer.body.json() as { key?: string }
      if (key !== call.key) return { type: 'wrong', reason: `answer for key ${String(key)}`, totalMs: elapsed() }
      return { type: 'answered', firstTokenMs: elapsed(), totalMs: elapsed(), tokens: 0 }
    })
  }

  async dispose (): Promise<void> {
    await this.agent.destroy()
  }

  private async judge (run: (elapsed: () => number, signal: AbortSignal) => Promise<CallOutcome>): Promise<CallOutcome> {
    const startedAt = performance.now()
    const elapsed = (): number => performance.now() - startedAt
    const signal = AbortSignal.timeout(this.deadlineMs + this.graceMs)
    try {
      return await run(elapsed, signal)
    } catch (error) {
      if (signal.aborted) return { type: 'late', totalMs: elapsed() }
      if (isNotConnected(error)) throw new NotConnected(String(error))
      return { type: 'broken', reason: String(error), totalMs: elapsed() }
    }
  }

  private async send (target: string, path: string, apiKey: string, body: string, headers: Record<string, string>, signal: AbortSignal): Promise<Answer> {
    return await this.agent.request({
      origin: `http://${target}`,
      path,
      method: 'POST',
      body,
      signal,
      headers: {
        ...headers,
        authorization: `Bearer ${apiKey}`,
        'content-type': 'application/json',
        'x-deadline-ms': String(this.deadlineMs)
      }
    })
  }

  private async refusal (answer: Answer, elapsed: () => number): Promise<CallOutcome> {
    const { error } = await answer.body.json() as { error?: NodeError }
    if (!error?.code) return { type: 'wrong', reason: `status ${answer.statusCode} without a code`, totalMs: elapsed() }
    return errorOutcome(error, elapsed())
  }

  private async readStream (answer: Answer, call: CompletionCall, elapsed: () => number): Promise<CallOutcome> {
    const reading: Reading = { text: '', firstTokenMs: null, error: null, finished: false, ended: false }
    let rest = ''
    answer.body.setEncoding('utf8')
    for await (const part of answer.body) {
      const events = (rest + (part as string)).split('\n\n')
      rest = events.pop()!
      for (const event of events) readEvent(event, reading, elapsed)
    }
    return judgeReading(reading, call, elapsed())
  }
}

const errorOutcome = (error: NodeError, totalMs: number): CallOutcome => {
  const code = error.code ?? 'unnamed'
  if (error.ran === NOT_RUN) return { type: 'refused', code, retryAfterMs: error.retry_after_ms ?? null, totalMs }
  return { type: 'failed', code, ran: error.ran ?? 'unknown', totalMs }
}

const readEvent = (event: string, reading: Reading, elapsed: () => number): void => {
  const start = event.startsWith(DATA) ? 0 : event.indexOf(`\n${DATA}`) + 1
  const data = event.slice(start + DATA.length)
  if (!event.startsWith(DATA, start)) return
  if (data === END_MARK) {
    reading.ended = true
    return
  }
  const { error, choices } = JSON.parse(data) as StreamEvent
  if (error) reading.error = error
  const choice = choices?.[0]
  if (choice?.text) {
    reading.firstTokenMs ??= elapsed()
    reading.text += choice.text
  }
  if (choice?.finish_reason) reading.finished = true
}

const judgeReading = (reading: Reading, call: CompletionCall, totalMs: number): CallOutcome => {
  const { text, error, finished, ended } = reading
  if (!call.expected.startsWith(text)) return { type: 'wrong', reason: 'text of another answer or out of order', totalMs }
  if (error) return errorOutcome(error, totalMs)
  if (!ended) return { type: 'broken', reason: 'the stream ended without its end mark', totalMs }
  if (!finished || text !== call.expected) return { type: 'wrong', reason: 'the end mark came before the whole answer', totalMs }
  return { type: 'answered', firstTokenMs: reading.firstTokenMs ?? totalMs, totalMs, tokens: call.maxTokens }
}
