/** Spreads what each engine holds from its dispatcher to the leader of the failure domain. */
import type { PlacedRunner, RunnerId } from '@bluebellhill/domain'
import { EngineRole, acceptsNewWork, ValueScope } from '@bluebellhill/domain'
import { z } from 'zod'

import { monotonicNow } from '../clock/monotonic.js'
import type { MembershipService } from '../membership/index.js'

/** What an engine itself says of its placement. */
export type PlacedState = Omit<PlacedRunner, 'runner' | 'leaving'>

const TOPIC_PREFIX = 'placed/'

/** Time between two values of a runner that changes. */
const CHANGE_PERIOD_MS = 1_000
/** Time after which an unchanged value is sent again, for those that missed it. */
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

/** Publishes the runners of this dispatcher and reads those of all. */
export class PlacedRunners {
  readonly #membership: MembershipService
  readonly #published = new Map<RunnerId, PublishedState>()
  #refreshCount = 0

  /** @param membership - carries the values within the failure domain */
  constructor (membership: MembershipService) {
    this.#membership = membership
  }

  /**
   * Publishes a runner where something changed, and now and then where nothing did.
   *
   * @param runner - name of the engine
   * @param state - what it last said
   * @param isLeaving - whether it is leaving
   */
  publish (runner: RunnerId, state: PlacedState, isLeaving: boolean): void {
    const encoded = JSON.stringify({ ...state, leaving: isLeaving })
    const now = monotonicNow()
    const last = this.#published.get(runner)
    const period = last?.encoded === encoded ? REFRESH_PERIOD_MS : CHANGE_PERIOD_MS
    if (last !== undefined && now - last.publishedAt < period) return
    this.#published.set(runner, { encoded, publishedAt: now })
    this.#refreshCount += 1
    // Bytes that did not change would not be sent again.
    this.#publishValue(runner, Buffer.from(JSON.stringify({ ...state, leaving: isLeaving, refresh: this.#refreshCount })))
  }

  /** Takes back what was published of a runner that another node dispatches now. */
  retract (runner: RunnerId): void {
    if (!this.#published.delete(runner)) return
    this.#publishValue(runner, new Uint8Array(0))
  }

  #publishValue (runner: RunnerId, bytes: Uint8Array): void {
    this.#membership.publish(`${TOPIC_PREFIX}${runner}`, bytes, { scope: ValueScope.FailureDomain })
  }

  /** The engines of the failure domain as their live dispatchers last published them. */
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
