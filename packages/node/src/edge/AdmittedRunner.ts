/** Runs admitted requests, under their idempotency key where they may not run twice. */
import type { Outcome, RequestSpec } from '@bluebellhill/domain'

import type { ReplayableAnswer } from '../requests/Answer.js'
import type { KeyedRuns } from '../requests/KeyedRuns.js'
import type { AttemptSource } from '../requests/ports.js'
import type { RequestHost } from '../requests/RequestHost.js'
import { readIdempotencyKey } from './headers.js'
import type { EdgeCall } from './Route.js'

/** One admitted request with its caller. */
export interface AdmittedRequest {
  readonly spec: RequestSpec
  readonly call: EdgeCall
  readonly answer: ReplayableAnswer
  readonly source: AttemptSource
  /** Everything that makes two requests the same. */
  readonly identity: Buffer
}

/** Starts requests on behalf of the routes. */
export class AdmittedRunner {
  readonly #requests: RequestHost
  readonly #keyed: KeyedRuns

  constructor (requests: RequestHost, keyed: KeyedRuns) {
    this.#requests = requests
    this.#keyed = keyed
  }

  /**
   * Runs a request to its end.
   *
   * @throws RefusedCall where the idempotency key is malformed
   */
  async run (request: AdmittedRequest): Promise<void> {
    const { spec, call, answer, identity } = request
    const key = readIdempotencyKey(call.request.headers)
    if (key === null || spec.idempotent) {
      await this.#start(request, true)
      return
    }
    await this.#keyed.run({ spec, key, identity, answer, run: async () => await this.#start(request, false) })
  }

  /** A keyed request goes on when its caller leaves, since the caller comes back for its outcome. */
  async #start ({ spec, call, answer, source }: AdmittedRequest, endsWithCaller: boolean): Promise<Outcome> {
    const { session, finished } = this.#requests.start(spec, answer, source)
    if (endsWithCaller) call.response.on('close', () => session.tell({ type: 'caller_gone' }))
    return await finished
  }
}
