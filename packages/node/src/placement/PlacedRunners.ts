/** Publishes over gossip which models each engine has loaded; the placement leader of the failure domain reads it. */
import type { PlacedRunner, RunnerId } from '@bluebellhill/domain'
import { EngineRole, acceptsNewWork, ValueScope } from '@bluebellhill/domain'
import { z } from 'zod'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService } from '../membership/index.js'

/** The part of a runner's placement state that its engine reports. */
export type PlacedState = Omit<PlacedRunner, 'runner' | 'leaving'>

const TOPIC_PREFIX = 'placed/'

/** Minimum time between two published values of a runner whose state changes. */
const CHANGE_PERIOD_MS = 1_000
/** Time after which an unchanged value is published again, for nodes that missed it. */
const REFRESH_PERIOD_MS = 10_000

interface PublishedState {
  readonly encoded: string
  readonly publishedAt: number
}

const loadedSchema = z.object({ model: z.string(), version: z.string() }).nullable()

const placedSchema = z.object({
  loaded: loadedSchema,
  loading: loadedSchema,
  adapters: z.array(z.string()),
  role: z.enum(EngineRole),
  streams: z.number().int().min(0),
  leaving: z.boolean()
})

/** Publishes the runners of this dispatcher and reads those of all dispatchers in the failure domain. */
export class PlacedRunners {
  readonly #membership: MembershipService
  readonly #published = new Map<RunnerId, PublishedState>()
  #refreshCount = 0

  /** @param membership - publishes the values within the failure domain */
  constructor (membership: MembershipService) {
    this.#membership = membership
  }

  /**
   * Publishes the state of a runner after a change, and periodically without a change.
   *
   * @param runner - the engine
   * @param state - state that the engine last reported
   * @param isLeaving - whether the runner is leaving the fleet
   */
  publish (runner: RunnerId, state: PlacedState, isLeaving: boolean): void {
    const encoded = JSON.stringify({ ...state, leaving: isLeaving })
    const now = monotonicNow()
    const last = this.#published.get(runner)
    const period = last?.encoded === encoded ? REFRESH_PERIOD_MS : CHANGE_PERIOD_MS
    if (last !== undefined && now - last.publishedAt < period) return
    this.#published.set(runner, { encoded, publishedAt: now })
    this.#refreshCount += 1
    // Gossip does not send a value again if its bytes are unchanged; the counter makes them differ.
    this.#publishValue(runner, Buffer.from(JSON.stringify({ ...state, leaving: isLeaving, refresh: this.#refreshCount })))
  }

  /** Withdraws the published value of a runner for which another node is the dispatcher now. */
  retract (runner: RunnerId): void {
    if (!this.#published.delete(runner)) return
    this.#publishValue(runner, new Uint8Array(0))
  }

  #publishValue (runner: RunnerId, bytes: Uint8Array): void {
    this.#membership.publish(`${TOPIC_PREFIX}${runner}`, bytes, { scope: ValueScope.FailureDomain })
  }

  /** The engines of the failure domain as last published by those dispatchers that accept new work. */
  all (): PlacedRunner[] {
    const acceptingNodes = new Set(this.#membership.members().filter(acceptsNewWork).map((member) => member.node))
    return this.#membership.valuesUnder(TOPIC_PREFIX)
      .filter((value) => acceptingNodes.has(value.node) && value.bytes.length > 0)
      .flatMap((value) => decodePlacedRunner(value.topic.slice(TOPIC_PREFIX.length) as RunnerId, value.bytes))
  }
}

const decodePlacedRunner = (runner: RunnerId, bytes: Uint8Array): PlacedRunner[] => {
  try {
    const placed = placedSchema.safeParse(JSON.parse(Buffer.from(bytes).toString('utf8')))
    return placed.success ? [{ runner, ...placed.data }] : []
  } catch {
    return []
  }
}
