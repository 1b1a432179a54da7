/** Calls to the nodes' admin addresses. */
import type { AdminPath } from '@bluebellhill/protocol'

import { ActionError, ExitCode } from '../terminal/index.js'
import { ADMIN_SECRET_VARIABLE } from './nodes.js'

/** How long a node may take to answer, in milliseconds. */
export const DEFAULT_TIMEOUT = 5_000

/** Nodes asked at the same time. */
const PARALLEL_CALLS = 32

/** A node that did not answer, and why. */
export interface UnresponsiveNode {
  readonly address: string
  readonly reason: string
}

export interface NodeAnswer<Reply> {
  readonly address: string
  readonly reply: Reply
}

/** What the nodes answered, in the order of their addresses. */
export interface FleetAnswer<Reply> {
  readonly answers: ReadonlyArray<NodeAnswer<Reply>>
  readonly silent: readonly UnresponsiveNode[]
}

export interface AdminCall {
  readonly path: AdminPath
  readonly query?: URLSearchParams
  readonly method?: 'GET' | 'POST'
  readonly timeout?: number
}

const causeOf = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  if (error.name === 'TimeoutError') return 'no answer in time'
  const cause = error.cause
  if (!(cause instanceof Error)) return error.message
  if ('code' in cause && cause.code === 'ECONNREFUSED') return 'connection refused: no daemon listens there'
  return cause.message
}

const headersOf = (): Record<string, string> => {
  const secret = process.env[ADMIN_SECRET_VARIABLE]
  return secret ? { authorization: `Bearer ${secret}` } : {}
}

const messageOf = (body: string): string => {
  try {
    return String(JSON.parse(body).error.message)
  } catch {
    return 'the answer is not that of an admin address'
  }
}

const callNode = async <Reply>(address: string, call: AdminCall): Promise<NodeAnswer<Reply> | UnresponsiveNode> => {
  try {
    const query = call.query === undefined ? '' : `?${call.query.toString()}`
    const response = await fetch(`http://${address}${call.path}${query}`, {
      method: call.method ?? 'GET',
      headers: headersOf(),
      signal: AbortSignal.timeout(call.timeout ?? DEFAULT_TIMEOUT)
    })
    const body = await response.text()
    if (!response.ok) return { address, reason: `status ${response.status}: ${messageOf(body)}` }
    return { address, reply: JSON.parse(body) as Reply }
  } catch (error) {
    return { address, reason: causeOf(error) }
  }
}

/**
 * Asks all nodes the same.
 *
 * @param addresses - the admin addresses
 * @param call - path, query and method
 * @returns the answers, and which nodes did not answer
 * @throws ActionError where no node answered
 */
export const callNodes = async <Reply>(addresses: readonly string[], call: AdminCall): Promise<FleetAnswer<Reply>> => {
  const results: Array<NodeAnswer<Reply> | UnresponsiveNode> = []
  for (let start = 0; start < addresses.length; start += PARALLEL_CALLS) {
    const batch = addresses.slice(start, start + PARALLEL_CALLS)
    results.push(...await Promise.all(batch.map((address) => callNode<Reply>(address, call))))
  }
  const answers = results.filter((result): result is NodeAnswer<Reply> => 'reply' in result)
  const silent = results.filter((result): result is UnresponsiveNode => 'reason' in result)
  if (answers.length === 0) {
    const reasons = silent.map((node) => `${node.address} (${node.reason})`).join(', ')
    throw new ActionError(ExitCode.Unreachable, `no node answered: ${reasons}`, 'check the addresses, and on the VMs that the daemon runs; the log says why it stopped')
  }
  return { answers, silent }
}

/**
 * Writes to standard error which nodes did not answer.
 *
 * @param silent - the nodes
 */
export const warnOfUnresponsiveNodes = (silent: readonly UnresponsiveNode[]): void => {
  for (const node of silent) process.stderr.write(`warning: ${node.address} did not answer: ${node.reason}\n`)
}
