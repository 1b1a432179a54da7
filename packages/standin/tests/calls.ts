/** Calls of a caller, for tests with real processes. */
import { request } from 'undici'

import { answerSeed, answerText, DEFAULT_FLEET_PLAN, MODEL, preparePrompt } from '../src/index.js'
import type { ChildProcess, Placed } from '../src/index.js'

const API_KEY = DEFAULT_FLEET_PLAN.organisations[0]!.apiKey
const LONGEST_CALL_MS = 60_000

/** What came back. */
export interface CallResult {
  readonly status: number
  readonly headers: Readonly<Record<string, string | string[] | undefined>>
  readonly text: string
  /** The numbered error of the body or of the stream's last event. */
  readonly error: { readonly code: string, readonly number: number, readonly ran: string, readonly message: string, readonly retry_after_ms: number | null } | null
  readonly elapsed: number
}

export interface CallOptions {
  readonly method?: string
  readonly headers?: Record<string, string>
  readonly body?: string | Buffer
  readonly apiKey?: string | null
}

/** Sends any call and reads its answer whole. */
export const call = async (address: string, path: string, options: CallOptions = {}): Promise<CallResult> => {
  const started = performance.now()
  const authorization = options.apiKey === null ? {} : { authorization: `Bearer ${options.apiKey ?? API_KEY}` }
  const answer = await request(`http://${address}${path}`, {
    method: (options.method ?? 'POST') as 'POST',
    headers: { ...authorization, ...options.headers },
    body: options.body,
    signal: AbortSignal.timeout(LONGEST_CALL_MS)
  })
  const text = await answer.body.text()
  return { status: answer.statusCode, headers: answer.headers, text, error: errorOf(text), elapsed: performance.now() - started }
}

const errorOf = (text: string): CallResult['error'] => {
  const last = text.trim().split('\n\n').at(-1)?.replace(/^data: /, '') ?? ''
  try {
    return (JSON.parse(last) as { error?: CallResult['error'] }).error ?? null
  } catch {
    return null
  }
}

/** Sends a streamed completion. */
export const complete = async (address: string, prompt: string, maxTokens: number, headers: Record<string, string> = {}): Promise<CallResult> =>
  await call(address, '/v1/completions', { headers, body: JSON.stringify({ model: MODEL, prompt, max_tokens: maxTokens, stream: true }) })

/** Joins the text of a streamed completion; null where the end mark is missing. */
export const streamedText = (result: CallResult): string | null => {
  const events = result.text.trim().split('\n\n').map((event) => event.replace(/^data: /, ''))
  if (events.pop() !== '[DONE]') return null
  const chunks = events.map((event) => JSON.parse(event) as { choices: Array<{ text: string }> })
  return chunks.map((chunk) => chunk.choices[0]?.text ?? '').join('')
}

/** The only text that is a whole answer to a prompt. */
export const expectedText = (prompt: string, maxTokens: number): string => answerText(answerSeed(preparePrompt(prompt).bytes), 0, maxTokens)

/** Sends an order that must not run twice. */
export const order = async (address: string, key: string, body: object = { key }, headers: Record<string, string> = {}): Promise<CallResult> =>
  await call(address, '/services/orders/place', { headers: { 'idempotency-key': key, 'x-request-key': key, ...headers }, body: JSON.stringify(body) })

/** Reads a stand-in's ledger. */
export const ledger = async <Ledger>(process: ChildProcess): Promise<Ledger> => {
  const answer = await request(`http://${process.address('control')}/ledger`)
  return await answer.body.json() as Ledger
}

/** Executions of a key over all plain services. */
export const executions = async (plains: readonly Placed[], key: string): Promise<number> => {
  const ledgers = await Promise.all(plains.filter(({ process }) => process.isRunning).map(async ({ process }) => await ledger<{ executions: Record<string, number> }>(process)))
  return ledgers.reduce((sum, { executions: counts }) => sum + (counts[key] ?? 0), 0)
}

/** Tokens of memory that all engines hold. */
export const heldTokens = async (engines: readonly Placed[]): Promise<number> => {
  const ledgers = await Promise.all(engines.filter(({ process }) => process.isRunning).map(async ({ process }) => await ledger<{ heldTokens: number }>(process)))
  return ledgers.reduce((sum, each) => sum + each.heldTokens, 0)
}

/** Waits for a condition; gives the time that it took, or throws. */
export const until = async (what: string, limit: number, condition: () => Promise<boolean>): Promise<number> => {
  const started = performance.now()
  while (!(await condition())) {
    if (performance.now() - started > limit) throw new Error(`${what}: not within ${limit} ms`)
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  return performance.now() - started
}
