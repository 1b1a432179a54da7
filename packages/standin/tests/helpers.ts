/** Helpers of the stand-ins' tests. */
import type { ExecutionContext } from 'ava'
import { request } from 'undici'

import { DEFAULT_ENGINE_OPTIONS } from '../src/engine/constants.js'
import { createEngine } from '../src/engine/createEngine.js'
import type { StandinEngine } from '../src/engine/createEngine.js'
import type { EngineOptions } from '../src/engine/types.js'

const LOCAL = '127.0.0.1:0'
const POLL_MS = 5
const PATIENCE_MS = 20_000

/** An engine that listens, and its address. */
export interface RunningEngine {
  readonly engine: StandinEngine
  readonly address: string
}

export const startEngine = async (t: ExecutionContext, options: Partial<EngineOptions> = {}): Promise<RunningEngine> => {
  const engine = createEngine({ ...DEFAULT_ENGINE_OPTIONS, model: 'm', version: '1', stepMs: 1, ...options }, LOCAL)
  t.teardown(async () => await engine.dispose())
  const { address } = await engine.server.start()
  return { engine, address }
}

export interface Reply {
  readonly status: number
  readonly json: Record<string, unknown>
}

export const post = async (address: string, path: string, body: unknown, headers: Record<string, string> = {}): Promise<Reply> => {
  const answer = await request(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body), headers })
  return { status: answer.statusCode, json: await answer.body.json() as Record<string, unknown> }
}

export const get = async (address: string, path: string): Promise<Reply> => {
  const answer = await request(`http://${address}${path}`)
  return { status: answer.statusCode, json: await answer.body.json() as Record<string, unknown> }
}

/** Events of a stream, as far as it got. */
export interface Received {
  text: string
  ids: string[]
  done: boolean
  broken: boolean
}

export const stream = async (address: string, body: Record<string, unknown>): Promise<Received> => {
  const received: Received = { text: '', ids: [], done: false, broken: false }
  try {
    const answer = await request(`http://${address}/v1/completions`, { method: 'POST', body: JSON.stringify({ stream: true, model: 'm', ...body }) })
    let raw = ''
    try {
      for await (const part of answer.body) raw += String(part)
    } catch {
      received.broken = true
    }
    for (const event of raw.split('\n\n')) readEvent(event, received)
  } catch {
    received.broken = true
  }
  return received
}

const readEvent = (event: string, received: Received): void => {
  if (event === 'data: [DONE]') received.done = true
  else if (event.startsWith('data: {')) {
    const parsed = JSON.parse(event.slice('data: '.length)) as { id: string, choices: [{ text: string }] }
    received.text += parsed.choices[0].text
    received.ids.push(parsed.id)
  }
}

export const until = async (condition: () => boolean | Promise<boolean>): Promise<void> => {
  const end = Date.now() + PATIENCE_MS
  while (!(await condition())) {
    if (Date.now() > end) throw new Error('the condition did not come about')
    await new Promise((resolve) => setTimeout(resolve, POLL_MS))
  }
}
