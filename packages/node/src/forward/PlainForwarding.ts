import { mayRunAgain } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'
import { encodeReturnedHeaders } from '@bluebellhill/platform'

import { withoutLength } from './answers.js'
import { Forwarding } from './Forwarding.js'
import type { OpenAttempt } from './types.js'

/** Share of the time left that a server may be silent while another attempt is allowed. */
const SHARE_OF_TIME_LEFT = 0.5

/** A request with a single answer, which the caller gets when it is whole. */
export class PlainForwarding extends Forwarding {
  #body: Buffer[] = []

  protected get lastEventId (): null {
    return null
  }

  protected patience (): Millis | null {
    const { route, endsAt } = this.call
    if (!mayRunAgain(route) || this.history.isExhausted) return null
    return Math.max(route.objective, SHARE_OF_TIME_LEFT * (endsAt - this.context.clock()))
  }

  protected begun (): void {
    this.#body = []
  }

  protected piece (_: OpenAttempt, piece: Buffer): void {
    this.#body.push(piece)
  }

  protected complete (attempt: OpenAttempt): boolean {
    const { head } = attempt
    if (head === null) return false
    const body = Buffer.concat(this.#body)
    this.response.writeHead(head.status, withoutLength(encodeReturnedHeaders(head.rawHeaders), body.length))
    this.response.end(body)
    this.answered(attempt)
    return true
  }

  protected summary (): Record<string, unknown> {
    return {}
  }
}
