/** Runs admitted requests; a request that is not idempotent runs under its idempotency key, if it has one. */
import { Ran } from '@bluebellhill/domain'
import type { Outcome } from '@bluebellhill/domain'

import type { Answer, ReplayableAnswer } from '../requests/Answer.js'
import type { KeyedRequestRunner } from '../requests/KeyedRequestRunner.js'
import type { AttemptSource } from '../requests/ports.js'
import type { RequestHost, StartedRequest } from '../requests/RequestHost.js'
import type { AdmittedCall } from './Admission.js'
import { readIdempotencyKey } from './headers.js'
import type { EdgeCall } from './Route.js'

/** One admitted request, the call that it came with and the destination of its answer. */
export interface AdmittedRequest extends AdmittedCall {
  readonly call: EdgeCall
  readonly answer: ReplayableAnswer
  readonly source: AttemptSource
  /** Content of the request. A repeated request with the same idempotency key is refused if its content differs. */
  readonly identity: Buffer
}

/** Runs the admitted requests of all routes. */
export class AdmittedRequestExecutor {
  readonly #requests: RequestHost
  readonly #keyedRequestRunner: KeyedRequestRunner

  constructor (requests: RequestHost, keyedRequestRunner: KeyedRequestRunner) {
    this.#requests = requests
    this.#keyedRequestRunner = keyedRequestRunner
  }

  /**
   * Runs a request until it ends, then releases its entry in the limits of its organisation with the tokens that were not
   * used.
   *
   * @throws RefusedCall if the idempotency key is malformed
   */
  async run (request: AdmittedRequest): Promise<void> {
    let usedTokens = 0
    const start = async (answer: Answer, cancelOnDisconnect: boolean): Promise<Outcome> => {
      const { session, finished } = this.#start(request, answer, cancelOnDisconnect)
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

  async #runOrReplay ({ spec, call, answer, identity }: AdmittedRequest, start: (answer: Answer, cancelOnDisconnect: boolean) => Promise<Outcome>): Promise<void> {
    const key = readIdempotencyKey(call.request.headers)
    if (key === null || spec.idempotent) await start(answer, true)
    else await this.#keyedRequestRunner.run({ spec, key, identity, answer, run: async (receiver) => await start(receiver, false) })
  }

  /**
   * Starts a request. A request that runs under an idempotency key continues when the caller disconnects, since the caller can
   * repeat the call and get the result. Any other request is cancelled.
   */
  #start ({ spec, call, source }: AdmittedRequest, answer: Answer, cancelOnDisconnect: boolean): StartedRequest {
    const started = this.#requests.start(spec, answer, source)
    if (cancelOnDisconnect) call.response.on('close', () => started.session.post({ type: 'caller_gone' }))
    return started
  }
}
