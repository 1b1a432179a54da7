/** Starts the tries of one service call. */
import type { AttemptId, RequestSpec } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/services'

import { monotonicNow } from '../clock/monotonic.js'
import type { Attempt, AttemptListener, AttemptOrder } from './Attempt.js'
import { AttemptSource } from './ports.js'
import { ServiceAttempt } from './ServiceAttempt.js'
import type { ServiceCallBody, WholeServiceAnswer } from './ServiceAttempt.js'

/** Takes a service's whole answer. */
export interface WholeAnswerTaker {
  whole (answer: WholeServiceAnswer): void
}

/** Knows a service call and where its answer goes. */
export class ServiceSource extends AttemptSource {
  readonly #spec: RequestSpec
  readonly #body: ServiceCallBody
  readonly #services: (address: string) => PlainService
  readonly #bodyLimit: number
  readonly #reply: WholeAnswerTaker

  constructor (spec: RequestSpec, body: ServiceCallBody, services: (address: string) => PlainService, bodyLimit: number, reply: WholeAnswerTaker) {
    super()
    this.#spec = spec
    this.#body = body
    this.#services = services
    this.#bodyLimit = bodyLimit
    this.#reply = reply
  }

  create (order: AttemptOrder, listener: AttemptListener): Attempt {
    const timeout = Math.max(1, Math.ceil(this.#spec.deadline - monotonicNow()))
    const service = this.#services(order.address)
    return new ServiceAttempt(service, order, this.#body, listener, timeout, this.#bodyLimit, (answer) => this.#reply.whole(answer))
  }

  // A plain service has no call to cancel; its connection was dropped already.
  async cancel (_address: string, _attempt: AttemptId): Promise<void> {}
}
