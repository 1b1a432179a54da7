/** Runs admitted requests, under their idempotency key where they may not run twice. */
import { Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'

import type { ReplayableAnswer } from '../requests/Answer.js'
import type { KeyedRuns } from '../requests/KeyedRuns.js'
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
export class AdmittedRequestExecutor {
  readonly #requests: RequestHost
  readonly #keyedRequestRunner: KeyedRuns

  constructor (requests: RequestHost, keyedRequestRunner: KeyedRuns) {
    this.#requests = requests
    this.#keyedRequestRunner = keyedRequestRunner
  }

  /**
   * Runs a request to its end.
   *
   * @throws RefusedCall where the idempotency key is malformed
   */
  async run (request: AdmittedRequest): Promise<void> {
    let usedTokens = 0
    const start = async (cancelOnDisconnect: boolean): Promise<Outcome> => {
      const { session, finished } = this.#start(request, cancelOnDisconnect)
      const outcome = await finished
      usedTokens = outcome.ran === Ran.No ? 0 : request.spec.promptTokens + session.generated
      return outcome
    }
    try {
      await this.#runOrReplay(request, start)
    } finally {
      request.limitedRequest.release(Math.max(0, request.spec.promptTokens + request.spec.maxTokens - usedTokens))
    }
  }

  async #runOrReplay ({ spec, call, answer, identity }: AdmittedRequest, start: (cancelOnDisconnect: boolean) => Promise<Outcome>): Promise<void> {
    const key = readIdempotencyKey(call.request.headers)
    if (key === null || spec.idempotent) await start(true)
    else await this.#keyedRequestRunner.run({ spec, key, identity, answer, run: async () => await start(false) })
  }

  /** A keyed request goes on when its caller leaves, since the caller comes back for its outcome. */
  #start ({ spec, call, answer, source }: AdmittedRequest, cancelOnDisconnect: boolean): StartedRequest {
    const started = this.#requests.start(spec, answer, source)
    if (cancelOnDisconnect) call.response.on('close', () => started.session.tell({ type: 'caller_gone' }))
    return started
  }
}
