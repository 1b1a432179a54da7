/** Gives the leader's orders to engines. */
import type { EngineCommand, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { ModelEngine } from '@bluebellhill/services'

import type { RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import { EngineOrders } from './ports.js'

/** Reaches engines over HTTP. */
export class HttpEngineOrders extends EngineOrders {
  readonly #directory: RunnerDirectory
  readonly #engines: (address: string) => ModelEngine

  constructor (directory: RunnerDirectory, engines: (address: string) => ModelEngine) {
    super()
    this.#directory = directory
    this.#engines = engines
  }

  async give (runner: RunnerId, fencing: number, order: EngineCommand): Promise<EngineCommandResult> {
    const backend = this.#directory.find(runner)
    if (backend === undefined) return { kind: 'failed', reason: 'the runner is not known any more' }
    const answer = await this.#engines(backend.address).sendCommand(fencing, order)
    if (!answer.ok) return { kind: 'failed', reason: describeFailure(answer.failure) }
    return answer.value.accepted ? { kind: 'accepted' } : { kind: 'stale_fencing', current: answer.value.currentFencing }
  }
}
