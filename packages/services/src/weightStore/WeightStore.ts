/** Interface of the platform's rate-limited store of model weights. */
import type { CallFailure } from '../errors.js'
import type { Readable } from 'node:stream'
import type { Result } from '../result.js'

export interface WeightStream {
  /** Total size in bytes; null if the store does not report it. */
  readonly size: number | null
  readonly body: Readable
}

export abstract class WeightStore {
  /**
   * Opens a stream of the weights of one model version.
   *
   * @param model - name of the model
   * @param version - name of the version
   * @param signal - aborts the transfer
   * @returns the stream; the failure `not_started` with a retry time if too many transfers are open
   */
  abstract open (model: string, version: string, signal?: AbortSignal): Promise<Result<WeightStream, CallFailure>>
}
