/** Runs admitted requests, under their idempotency key where they may not run twice. */
import { Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'

import type { ReplayableAnswer } from '../requests/Answer.js'
import type { KeyedRequestRunner } from '../requests/KeyedRequestRunner.js'
import type { AttemptSource } from '../requests/ports.js'
import type { RequestHost, StartedRequest } from '../requests/RequestHost.js'
import type { AdmittedCall } from './Admission.js'
import { readIdempotencyKey } from './headers.js'
import type { EdgeCall } from './Route.js'

/** One admitted request with its caller. */
export interface AdmittedRequest extends AdmittedCall {
  readonly call: EdgeCall
  readonly answer: ReplayableAnswer
  readonly source: AttemptSource
  /** Everything that makes two requests the same. */
  readonly identity: Buffer
}

/** Starts requests on behalf of the routes. */
export class AdmittedRunner {
  readonly #requests: RequestHost
  readonly #keyed: KeyedRequestRunner

  constructor (requests: RequestHost, keyed: KeyedRequestRunner) {
    this.#requests = requests
    this.#keyed = keyed
  }

  /**
   * Runs a request to its end.
   *
   * @throws RefusedCall where the idempotency key is malformed
   */
  async run (request: AdmittedRequest): Promise<void> {
    let used = 0
    const start = async (endsWithCaller: boolean): Promise<Outcome> => {
      const { session, finished } = this.#start(request, endsWithCaller)
      const outcome = await finished
      used = outcome.ran === Ran.No ? 0 : request.spec.promptTokens + session.generated
      return outcome
    }
    try {
      await this.#runOnce(request, start)
    } finally {
      request.limited.release(Math.max(0, request.spec.promptTokens + request.spec.maxTokens - used))
    }
  }

  async #runOnce ({ spec, call, answer, identity }: AdmittedRequest, start: (endsWithCaller: boolean) => Promise<Outcome>): Promise<void> {
    const key = readIdempotencyKey(call.request.headers)
    if (key === null || spec.idempotent) await start(true)
    else await this.#keyed.run({ spec, key, identity, answer, run: async () => await start(false) })
  }

  /** A keyed request goes on when its caller leaves, since the caller comes back for its outcome. */
  #start ({ spec, call, answer, source }: AdmittedRequest, endsWithCaller: boolean): StartedRequest {
    const started = this.#requests.start(spec, answer, source)
    if (endsWithCaller) call.response.on('close', () => started.session.post({ type: 'caller_gone' }))
    return started
  }
}
