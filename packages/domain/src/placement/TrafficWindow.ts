import type { Millis } from '../types.js'

interface Sample {
  readonly at: Millis
  readonly runners: number
}

/** Runners that each model's traffic needed at most within the last while: grows at once, shrinks late. */
export class TrafficWindow {
  private readonly samples = new Map<string, Sample[]>()

  /** @param windowLength - time for which traffic is remembered */
  constructor (private readonly windowLength: Millis) {}

  record (model: string, runners: number, now: Millis): void {
    // A smaller earlier sample can never be the greatest again.
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
