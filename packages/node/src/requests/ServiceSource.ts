/** Creates the attempts of one call to a plain service. */
import type { AttemptId, RequestSpec } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { Attempt, AttemptListener, AttemptSpec } from './Attempt.js'
import { AttemptSource } from './ports.js'
import { ServiceAttempt } from './ServiceAttempt.js'
import type { ServiceRequest, BufferedServiceAnswer } from './ServiceAttempt.js'

/** Receives the complete answer of a plain service. */
export interface ServiceAnswerReceiver {
  whole (answer: BufferedServiceAnswer): void
}

/** Creates the attempts of one service call and passes the complete answer to its receiver. */
export class ServiceSource extends AttemptSource {
  readonly #spec: RequestSpec
  readonly #request: ServiceRequest
  readonly #services: (address: string) => PlainService
  readonly #bodyLimit: number
  readonly #receiver: ServiceAnswerReceiver

  constructor (spec: RequestSpec, request: ServiceRequest, services: (address: string) => PlainService, bodyLimit: number, receiver: ServiceAnswerReceiver) {
    super()
    this.#spec = spec
    this.#request = request
    this.#services = services
    this.#bodyLimit = bodyLimit
    this.#receiver = receiver
  }

  create (attemptSpec: AttemptSpec, listener: AttemptListener): Attempt {
    const timeout = Math.max(1, Math.ceil(this.#spec.deadline - monotonicNow()))
    const service = this.#services(attemptSpec.address)
    return new ServiceAttempt(service, attemptSpec, this.#request, listener, timeout, this.#bodyLimit, (answer) => this.#receiver.whole(answer))
  }

  // Plain services have no cancel call; the session closes the connection itself.
  async cancel (_address: string, _attempt: AttemptId): Promise<void> {}
}
