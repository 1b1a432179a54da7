import type { Millis } from '../types.js'

interface Sample {
  readonly at: Millis
  readonly runners: number
}

/** Maximum number of runners that each model's traffic needed within a time window: an increase counts at once, a decrease only after the window. */
export class TrafficWindow {
  private readonly samples = new Map<string, Sample[]>()

  /** @param windowLength - time for which reported traffic counts */
  constructor (private readonly windowLength: Millis) {}

  record (model: string, runners: number, now: Millis): void {
    // An earlier sample that is not greater can never be the maximum again.
    const kept = this.recentSamples(model, now).filter((sample) => sample.runners > runners)
    this.samples.set(model, [...kept, { at: now, runners }])
  }

  peakRunners (model: string, now: Millis): number {
    return Math.max(0, ...this.recentSamples(model, now).map(({ runners }) => runners))
  }

  private recentSamples (model: string, now: Millis): Sample[] {
    return (this.samples.get(model) ?? []).filter(({ at }) => now - at <= this.windowLength)
  }
}
