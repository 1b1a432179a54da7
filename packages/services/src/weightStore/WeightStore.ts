/** The platform's rate-limited store of model weights. */
import type { CallFailure } from '../errors.js'
import type { Readable } from 'node:stream'
import type { Result } from '../result.js'

export interface WeightStream {
  /** Bytes in all; null where the store does not say. */
  readonly size: number | null
  readonly body: Readable
}

export abstract class WeightStore {
  /**
   * Opens the weights of one version.
   *
   * @param model - the model's name
   * @param version - the version's name
   * @param signal - ends the transfer
   * @returns the stream; `not_started` with a retry time when too many transfers are open
   */
  abstract open (model: string, version: string, signal?: AbortSignal): Promise<Result<WeightStream, CallFailure>>
}
