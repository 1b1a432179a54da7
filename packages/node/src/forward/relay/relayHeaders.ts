/** Names and codes the headers of requests that one node passes on to another, on the port that only nodes reach. */
import type { IncomingHttpHeaders } from 'node:http'

import type { NodeId, RunnerId } from '@bluebellhill/domain'
import { encodeRelayedHeaders } from '@bluebellhill/platform'

import type { AdmittedCall } from '../AdmittedCall.js'

/** In a request, the node that passes it on; in each answer to it, what the answer is. Callers cannot set it: it is removed from what they send. */
export const RELAY_HEADER = 'x-bluebellhill-node-relay'

/** In a request, the backend servers that have received it before. */
const TRIED_HEADER = 'x-bluebellhill-node-tried'

const RELAY_HEADERS: ReadonlySet<string> = new Set([RELAY_HEADER, TRIED_HEADER])

/** Value of the header in an answer that a backend server has given; an answer of the other node itself names its cause. */
export const SERVER_ANSWER = 'server'

/** What a node tells of a request that it passes on. */
export interface RelayedRequest {
  readonly call: AdmittedCall
  readonly from: NodeId
  /** Time left until the deadline of the request, in milliseconds. */
  readonly timeLeft: number
  readonly lastEventId: string | null
  readonly tried: readonly RunnerId[]
}

/**
 * @param relayed - the request
 * @returns alternating names and values of its headers: the caller's own ones, with what the other node needs
 */
export const encodeRelayRequest = ({ call, from, timeLeft, lastEventId, tried }: RelayedRequest): string[] => {
  const headers = encodeRelayedHeaders(withoutRelayHeaders(call.headers), { deadline: timeLeft, lastEventId })
  headers.push(RELAY_HEADER, from)
  if (tried.length > 0) headers.push(TRIED_HEADER, tried.join(','))
  return headers
}

/**
 * @param headers - headers of a request on the port for nodes
 * @returns whether another node passes a caller's request on
 */
export const isRelayed = (headers: IncomingHttpHeaders): boolean => headers[RELAY_HEADER] !== undefined

/**
 * @param headers - headers of a request that another node passes on
 * @returns the backend servers that have received it before
 */
export const decodeTried = (headers: IncomingHttpHeaders): RunnerId[] =>
  String(headers[TRIED_HEADER] ?? '').split(',').filter((id) => id !== '') as RunnerId[]

/**
 * @param headers - headers of the answer of another node
 * @returns what the answer is; null from a node of an earlier build, which passes nothing on
 */
export const decodeRelayAnswer = (headers: IncomingHttpHeaders): string | null => {
  const value = headers[RELAY_HEADER]
  return value === undefined ? null : String(value)
}

/**
 * @param rawHeaders - alternating names and values
 * @returns the headers without those that are only meant for nodes
 */
export const withoutRelayHeaders = (rawHeaders: readonly string[]): string[] =>
  rawHeaders.filter((_, index) => !RELAY_HEADERS.has(rawHeaders[index - index % 2]?.toLowerCase() ?? ''))
