/** Describes a caller's request that has been read completely and may be sent to a backend server. */
import type { Millis, PromptPart, PromptSize, Region, Route, RunnerId, Service } from '@bluebellhill/domain'

export interface AdmittedCall {
  /** Attempt id that the caller sent with the request. */
  readonly id: string
  readonly method: string
  /** Path and query, unchanged. */
  readonly path: string
  /** Alternating names and values, unchanged. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly route: Route
  readonly service: Service
  readonly organisation: string | null
  readonly urgency: number
  /** The only regions that it may reach, by its route and its organisation; absent if it may reach all. */
  readonly regions?: readonly Region[]
  readonly size: PromptSize
  /** Parts of its prompt in order; other requests may have all of them but the last. */
  readonly parts: readonly PromptPart[]
  /** Whether another node has passed it on: it is not passed on again. */
  readonly isRelayed: boolean
  /** Backend servers that have received it from that node. */
  readonly triedServers: readonly RunnerId[]
  /** Id of the last event that the caller has of a stream that it resumes; null if it does not resume one. */
  readonly lastEventId: string | null
  readonly arrivedAt: Millis
  /** Time at which the answer, or the first event of a stream, is due. */
  readonly dueAt: Millis
  /** Time at which the node gives the request up. */
  readonly deadlineAt: Millis
}
