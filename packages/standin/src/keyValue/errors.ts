/** Refusals of the stand-in key-value service. */

/** A call that the service turns down. */
export class KeyValueRefusal extends Error {
  /**
   * @param status - HTTP status
   * @param code - gRPC status number, as the JSON form carries it
   * @param message - a sentence
   */
  constructor (readonly status: number, readonly code: number, message: string) {
    super(message)
  }
}

export const leaseNotFound = () => new KeyValueRefusal(404, 5, 'requested lease not found')
export const valueTooLarge = () => new KeyValueRefusal(413, 3, 'request is too large')
export const futureRevision = () => new KeyValueRefusal(400, 11, 'required revision is a future revision')
