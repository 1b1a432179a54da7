/** The engine's status: its load as it was a while ago, its streams and segments as they are. */
import type { Disposable } from '../Disposables.js'
import type { Load } from './BatchScheduler.js'
import type { Engine } from './Engine.js'
import type { EngineFaults } from './faults.js'
import type { ModelState } from './ModelState.js'
import type { SegmentStore } from './SegmentStore.js'
import type { EngineOptions } from './types.js'

const SAMPLES_A_LAG = 2

interface LoadSample extends Load {
  /** Wall clock, in milliseconds since 1970. */
  readonly asOf: number
}

/** Samples the load on a timer and reports the sample that is old enough. */
export class StatusReporter implements Disposable {
  private samples: LoadSample[] = []
  private readonly timer: NodeJS.Timeout
  private frozen: unknown = null

  /**
   * @param options - sizes and the lag
   * @param engine - what is reported
   * @param state - the served model
   * @param segments - held segments
   * @param faults - switches, read at each use
   */
  constructor (
    private readonly options: EngineOptions,
    private readonly engine: Engine,
    private readonly state: ModelState,
    private readonly segments: SegmentStore,
    private readonly faults: EngineFaults
  ) {
    this.sample()
    this.timer = setInterval(() => this.sample(), Math.max(1, options.loadLagMs / SAMPLES_A_LAG))
  }

  /** The status as it is sent. */
  report (): unknown {
    if (!this.faults.freezeStatus) this.frozen = null
    else this.frozen ??= this.current()
    return this.frozen ?? this.current()
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private sample (): void {
    this.samples.push({ asOf: Date.now(), ...this.engine.scheduler.load() })
    const oldEnough = Date.now() - this.options.loadLagMs
    while (this.samples.length > 1 && this.samples[1]!.asOf <= oldEnough) this.samples.shift()
  }

  private current (): unknown {
    const { memoryTokens, slots, blockTokens, chunkTokens } = this.options
    const { model, version, adapters, role } = this.state
    return {
      model,
      version,
      adapters: [...adapters],
      role,
      loading: this.loading(),
      capacity: { tokens: memoryTokens, slots, blockTokens, chunkTokens },
      load: this.samples[0],
      streams: this.streams(),
      segments: this.heldSegments()
    }
  }

  private loading (): unknown {
    if (!this.state.loading) return null
    const { model, version, startedAt } = this.state.loading
    return { model, version, remainingMs: Math.max(0, Math.round(startedAt + this.options.loadMs - performance.now())) }
  }

  private streams (): unknown[] {
    return this.engine.live.map(({ spec, sequence, startedAt }) => ({
      request_id: spec.requestId,
      promptTokens: spec.promptTokens,
      generated: sequence.generated,
      heldTokens: this.heldTokens(sequence.allocation),
      ageMs: Math.round(performance.now() - startedAt)
    }))
  }

  private heldTokens (allocation: { exclusive: number, shared: readonly string[] } | null): number {
    return allocation ? (allocation.exclusive + allocation.shared.length) * this.options.blockTokens : 0
  }

  private heldSegments (): unknown[] {
    return this.segments.all.map(({ id, requestId, tokens, createdAt }) => ({
      id, request_id: requestId, tokens, ageMs: Math.round(performance.now() - createdAt)
    }))
  }
}
