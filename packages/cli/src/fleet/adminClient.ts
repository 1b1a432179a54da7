/** HTTP client for the admin addresses of nodes. */
import type { AdminPath } from '@bluebellhill/protocol'

import { ActionError, ExitCode } from '../terminal/index.js'
import { ADMIN_SECRET_VARIABLE } from './nodes.js'

/** Default timeout of a call to a node, in milliseconds. */
export const DEFAULT_TIMEOUT = 5_000

/** Number of nodes that are called at the same time. */
const PARALLEL_CALLS = 32

/** A node that did not answer, and why. */
export interface UnresponsiveNode {
  readonly address: string
  readonly reason: string
}

/** The reply of one node. */
export interface NodeAnswer<Reply> {
  readonly address: string
  readonly reply: Reply
}

/** Replies of the nodes, and the nodes that did not answer, each in the order of the addresses. */
export interface FleetAnswer<Reply> {
  readonly answers: ReadonlyArray<NodeAnswer<Reply>>
  readonly silent: readonly UnresponsiveNode[]
}

/** A request to an admin address. */
export interface AdminCall {
  readonly path: AdminPath
  readonly query?: URLSearchParams
  readonly method?: 'GET' | 'POST'
  /** Timeout for each node, in milliseconds. */
  readonly timeout?: number
}

const causeOf = (error: unknown): string => {
  if (!(error instanceof Error)) return String(error)
  if (error.name === 'TimeoutError') return 'no answer in time'
  const cause = error.cause
  if (!(cause instanceof Error)) return error.message
  if ('code' in cause && cause.code === 'ECONNREFUSED') return 'connection refused: no daemon listens at this address'
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
    return 'the response has no error message in JSON; this may not be an admin address'
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
 * Sends the same request to all nodes.
 *
 * @param addresses - the admin addresses
 * @param call - the request
 * @returns the replies, and the nodes that did not answer
 * @throws ActionError if no node answered
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
 * Writes a warning to standard error for each node that did not answer.
 *
 * @param silent - the nodes
 */
export const warnOfUnresponsiveNodes = (silent: readonly UnresponsiveNode[]): void => {
  for (const node of silent) process.stderr.write(`warning: ${node.address} did not answer: ${node.reason}\n`)
}
