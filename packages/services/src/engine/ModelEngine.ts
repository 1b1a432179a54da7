/** Interface of a model engine: completions, status, commands to load models or change the role, and transfer of KV cache segments. */
import type { CallFailure } from '../errors.js'
import type { Millis } from '@bluebellhill/domain'
import type { Result } from '../result.js'
import type { CompletionCall, CompletionStream, EngineCacheEvents, EngineCommand, EngineStatus, ExportedSegment, CommandResult, SegmentPrefill } from './types.js'

export abstract class ModelEngine {
  /** `ip:port` of the engine */
  abstract readonly address: string

  /**
   * Starts a completion.
   *
   * @param call - request body, timeouts and abort signal
   * @returns the raw event stream after the engine responded with status 200; otherwise a failure, from which `deriveRan` derives whether the completion ran
   */
  abstract complete (call: CompletionCall): Promise<Result<CompletionStream, CallFailure>>

  /**
   * Cancels a completion and frees its KV cache memory.
   *
   * @param requestId - id of the attempt
   * @returns whether the engine had a stream with this id
   */
  abstract cancel (requestId: string): Promise<Result<boolean, CallFailure>>

  /** @returns the engine's status, whose load is that of an earlier time (`load.asOf`) */
  abstract status (): Promise<Result<EngineStatus, CallFailure>>

  /**
   * Reads events of the engine's KV cache: blocks that were stored or removed.
   *
   * @param after - `next` of the previous response; 0 for the first call
   * @param wait - longest time that the engine may delay its response until there is an event (long polling)
   * @returns events; their sequence numbers may have gaps
   */
  abstract cacheEvents (after: number, wait: Millis): Promise<Result<EngineCacheEvents, CallFailure>>

  /**
   * Sends an idempotent command.
   *
   * @param fencing - fencing number of the lease under which the command is sent
   * @param command - the command
   * @returns acceptance, or the newer fencing number because of which the engine rejected the command
   */
  abstract sendCommand (fencing: number, command: EngineCommand): Promise<Result<CommandResult, CallFailure>>

  /**
   * Prefills one segment of a long prompt; the engine stores it until the attempt's segments are released.
   *
   * @param prefill - the segment and the segments before it
   * @returns number of tokens in the segment
   */
  abstract prefill (prefill: SegmentPrefill): Promise<Result<number, CallFailure>>

  /**
   * Reads a segment that the engine has stored.
   *
   * @param segmentId - id of the segment
   * @param signal - aborts the transfer
   * @returns the segment's content and number of tokens
   */
  abstract exportSegment (segmentId: string, signal?: AbortSignal): Promise<Result<ExportedSegment, CallFailure>>

  /**
   * Writes a segment that another engine exported into this engine.
   *
   * @param segmentId - id of the segment on this engine
   * @param requestId - id of the attempt that owns the segment
   * @param bytes - exported content
   * @param signal - aborts the transfer
   */
  abstract importSegment (segmentId: string, requestId: string, bytes: Buffer, signal?: AbortSignal): Promise<Result<void, CallFailure>>

  /**
   * Frees all segments of an attempt.
   *
   * @param requestId - id of the attempt
   */
  abstract releaseSegments (requestId: string): Promise<Result<void, CallFailure>>

  /** @returns whether the engine passes its health check */
  abstract isHealthy (): Promise<boolean>
}
