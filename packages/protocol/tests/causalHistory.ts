/** Generates runs of several processes that exchange messages, with clocks that are off and step. */
import fc from 'fast-check'

import { HybridClock } from '../src/index.js'
import type { Stamp } from '../src/index.js'

export interface Step {
  readonly actor: number
  readonly peer: number
  readonly elapsed: number
  readonly clockStep: number
  readonly receives: boolean
}

export interface StampedEvent {
  readonly actor: number
  readonly stamp: Stamp
  /** Index of the event that caused this one, in another process or the same; -1 for the first. */
  readonly causes: readonly number[]
}

const PROCESSES = 5

/**
 * @param maxSkew - how far a clock may be off, in milliseconds
 */
export const historyOf = (maxSkew: number) => fc.record({
  skews: fc.array(fc.integer({ min: -maxSkew, max: maxSkew }), { minLength: PROCESSES, maxLength: PROCESSES }),
  steps: fc.array(fc.record<Step>({
    actor: fc.nat(PROCESSES - 1),
    peer: fc.nat(PROCESSES - 1),
    elapsed: fc.nat(3),
    clockStep: fc.oneof({ weight: 9, arbitrary: fc.constant(0) }, fc.integer({ min: -maxSkew, max: 0 })),
    receives: fc.boolean()
  }), { maxLength: 120 })
})

export interface History {
  readonly skews: readonly number[]
  readonly steps: readonly Step[]
}

const START = 1_800_000_000_000

/** Runs a history; a step either sends or receives the oldest message under way from its peer. */
export const runHistory = (history: History, maxDrift: number): StampedEvent[] => {
  let time = START
  const offsets = [...history.skews]
  const clocks = offsets.map((_, index) => new HybridClock(() => time + (offsets[index] ?? 0), maxDrift))
  const lastOf = offsets.map(() => -1)
  const underWay: Array<{ to: number, index: number, stamp: Stamp }> = []
  const events: StampedEvent[] = []
  for (const step of history.steps) {
    time += step.elapsed
    offsets[step.actor] = (offsets[step.actor] ?? 0) + step.clockStep
    const clock = clocks[step.actor]
    if (clock === undefined) continue
    const previous = lastOf[step.actor] ?? -1
    const found = step.receives ? underWay.findIndex((message) => message.to === step.actor) : -1
    const [message] = found < 0 ? [] : underWay.splice(found, 1)
    const stamp = message === undefined ? clock.now() : clock.receive(message.stamp).stamp
    const causes = [previous, message?.index ?? -1].filter((index) => index >= 0)
    events.push({ actor: step.actor, stamp, causes })
    lastOf[step.actor] = events.length - 1
    if (message === undefined) underWay.push({ to: step.peer, index: events.length - 1, stamp })
  }
  return events
}
