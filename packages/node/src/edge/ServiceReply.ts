/** Sends the answer of a plain service to its caller and records it for repeated calls. */
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

/** Stores the answer of a service until `end` is called, then sends it. */
export class ServiceReply extends ReplayableAnswer {
  readonly #response: ServerResponse
  readonly #requestId: string
  #answer: BufferedServiceAnswer | null = null

  constructor (response: ServerResponse, requestId: string) {
    super()
    this.#response = response
    this.#requestId = requestId
  }

  /** Stores the complete answer, which `end` sends. */
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
