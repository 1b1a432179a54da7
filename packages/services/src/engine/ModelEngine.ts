/** A model engine: streams completions, reports its state, takes orders, hands KV segments on. */
import type { CallFailure } from '../errors.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'
import type { CompletionCall, CompletionStream, EngineCacheEvents, EngineCommand, EngineStatus, ExportedSegment, CommandResult, SegmentPrefill } from './types.js'

export abstract class ModelEngine {
  /** `ip:port` */
  abstract readonly address: string

  /**
   * Starts a completion.
   *
   * @param call - the body and its limits
   * @returns the raw event stream once the engine answered 200; otherwise a failure that tells whether it ran
   */
  abstract complete (call: CompletionCall): Promise<Result<CompletionStream, CallFailure>>

  /**
   * Stops a stream and frees its memory.
   *
   * @param requestId - the attempt
   * @returns whether the engine had such a stream
   */
  abstract cancel (requestId: string): Promise<Result<boolean, CallFailure>>

  /** @returns the engine's state; its load lags */
  abstract status (): Promise<Result<EngineStatus, CallFailure>>

  /**
   * Reads cache events.
   *
   * @param after - the `next` of the answer before; 0 at first
   * @param wait - time that the engine may hold the call until there is an event
   * @returns events, possibly with gaps in their sequence numbers
   */
  abstract cacheEvents (after: number, wait: Millis): Promise<Result<EngineCacheEvents, CallFailure>>

  /**
   * Gives an idempotent order.
   *
   * @param fencing - fencing number of the lease that the order rests on
   * @param command - what the engine shall do
   * @returns whether it was accepted, or the newer fencing number that the engine knows
   */
  abstract sendCommand (fencing: number, command: EngineCommand): Promise<Result<CommandResult, CallFailure>>

  /**
   * Prefills one segment of a long prompt and keeps it.
   *
   * @param prefill - the segment with its context
   * @returns the segment's tokens
   */
  abstract prefill (prefill: SegmentPrefill): Promise<Result<number, CallFailure>>

  /**
   * Exports a segment that the engine holds.
   *
   * @param segmentId - the segment
   * @param signal - ends the transfer
   * @returns its bytes
   */
  abstract exportSegment (segmentId: string, signal?: AbortSignal): Promise<Result<ExportedSegment, CallFailure>>

  /**
   * Imports a segment.
   *
   * @param segmentId - name of the segment here
   * @param requestId - the attempt that owns it
   * @param bytes - as another engine exported them
   * @param signal - ends the transfer
   */
  abstract importSegment (segmentId: string, requestId: string, bytes: Buffer, signal?: AbortSignal): Promise<Result<void, CallFailure>>

  /**
   * Frees all segments of an attempt.
   *
   * @param requestId - the attempt
   */
  abstract releaseSegments (requestId: string): Promise<Result<void, CallFailure>>

  /** @returns whether the engine answers its health check */
  abstract isHealthy (): Promise<boolean>
}
