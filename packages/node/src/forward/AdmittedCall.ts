/** A caller's request that has been read whole and may be sent to a backend server. */
import type { Millis, PromptSize, Route, Service } from '@bluebellhill/domain'

export interface AdmittedCall {
  /** Id that the caller gave this attempt of its own. */
  readonly id: string
  readonly method: string
  /** With the query, as it came. */
  readonly path: string
  /** Names and values by turns, as they came. */
  readonly headers: readonly string[]
  readonly body: Buffer
  readonly route: Route
  readonly service: Service
  readonly organisation: string | null
  readonly urgency: number
  readonly size: PromptSize
  /** Last event that the caller has of a stream that it resumes; null at its start. */
  readonly lastEventId: string | null
  readonly arrivedAt: Millis
  /** When the answer, or the first event, is due. */
  readonly dueAt: Millis
  /** When the request is given up. */
  readonly deadlineAt: Millis
}
