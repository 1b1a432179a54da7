/** Refusals of the stand-in engine, as the published interface names them. */

/** A request that the engine turns down. */
export class EngineRefusal extends Error {
  /**
   * @param status - HTTP status
   * @param code - name of the error
   * @param detail - further fields of the error; `started: false` says that nothing ran
   */
  constructor (readonly status: number, readonly code: string, readonly detail: Readonly<Record<string, unknown>> = { started: false }) {
    super(code)
  }
}

export const wrongModel = () => new EngineRefusal(409, 'wrong_model')
export const noCapacity = () => new EngineRefusal(503, 'no_capacity')
export const tooLong = () => new EngineRefusal(413, 'too_long')
export const duplicateRequest = () => new EngineRefusal(409, 'duplicate_request', { started: true })
export const unknownStream = () => new EngineRefusal(404, 'unknown_stream', {})
export const missingSegment = () => new EngineRefusal(409, 'missing_segment')
export const wrongRole = () => new EngineRefusal(409, 'wrong_role')
export const staleFencing = (current: number) => new EngineRefusal(409, 'stale_fencing', { current })
