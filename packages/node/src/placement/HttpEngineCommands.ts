/** Sends the placement leader's commands to engines over HTTP. */
import type { EngineCommand, EngineCommandResult, RunnerId } from '@bluebellhill/domain'
import { describeFailure } from '@bluebellhill/services'
import type { ModelEngine } from '@bluebellhill/services'

import type { RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import { EngineCommands } from './ports.js'

/** Looks up the address of each engine in the runner directory. */
export class HttpEngineCommands extends EngineCommands {
  readonly #directory: RunnerDirectory
  readonly #engineAt: (address: string) => ModelEngine

  /**
   * @param directory - addresses of the runners
   * @param engineAt - returns the client of the engine at an address
   */
  constructor (directory: RunnerDirectory, engineAt: (address: string) => ModelEngine) {
    super()
    this.#directory = directory
    this.#engineAt = engineAt
  }

  async send (runner: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult> {
    const backend = this.#directory.find(runner)
    if (backend === undefined) return { kind: 'failed', reason: 'the runner is not in the directory of this node' }
    const response = await this.#engineAt(backend.address).sendCommand(fencing, command)
    if (!response.ok) return { kind: 'failed', reason: describeFailure(response.failure) }
    return response.value.accepted ? { kind: 'accepted' } : { kind: 'stale_fencing', current: response.value.currentFencing }
  }
}
