/** The way of a plain service's answer back to its caller. */
import type { ServerResponse } from 'node:http'

import type { Outcome } from '@bluebellhill/domain'
import { z } from 'zod'

import { ReplayableAnswer } from '../requests/Answer.js'
import type { BufferedServiceAnswer } from '../requests/ServiceAttempt.js'
import { writeFailure } from './response.js'

const recordSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.string()
})

/** Holds a service's answer until its request counts as answered. */
export class ServiceReply extends ReplayableAnswer {
  readonly #response: ServerResponse
  readonly #requestId: string
  #answer: BufferedServiceAnswer | null = null

  constructor (response: ServerResponse, requestId: string) {
    super()
    this.#response = response
    this.#requestId = requestId
  }

  /** Takes the answer; it leaves with `end`. */
  whole (answer: BufferedServiceAnswer): void {
    this.#answer = answer
  }

  writeText (): boolean {
    return true
  }

  async drained (): Promise<void> {}

  end (): void {
    if (this.#answer === null || this.#response.destroyed) return
    const { status, headers, body } = this.#answer
    this.#response.writeHead(status, { ...headers, 'content-length': body.length })
    this.#response.end(body)
  }

  recorded (): string | null {
    if (this.#answer === null) return null
    const { status, headers, body } = this.#answer
    return JSON.stringify({ status, headers, body: body.toString('base64') })
  }

  replay (recorded: string): void {
    const { status, headers, body } = recordSchema.parse(JSON.parse(recorded))
    this.whole({ status, headers, body: Buffer.from(body, 'base64') })
    this.end()
  }

  fail (outcome: Outcome): void {
    writeFailure(this.#response, outcome, this.#requestId)
  }
}
