/** Refuses requests for want of memory on engines, names the time at which they can be placed, and keeps the memory until they return. */
import { isMemoryBound, memoryDemand, namedTime, PromptMix, ReturnPromises, RoomForecast } from '@bluebellhill/domain'
import type { Assignment, ExpectedRoom, Millis, PlacementRequest, ReturnPromise, ServerLoads } from '@bluebellhill/domain'

import type { Log } from '../../log/index.js'
import { spreadReturn } from './spreadReturn.js'
import { PlacementRefusal } from './types.js'
import type { PlacementContext, PlacementSpec, RefusedPlacement } from './types.js'

/** Promises of one scheduler, for services whose memory runs out before their slots. */
export class PromisedRoom {
  readonly #promises = new ReturnPromises()
  readonly #forecast = new RoomForecast()
  /** By service. */
  readonly #mixes = new Map<string, PromptMix>()
  readonly #log: Log
  #loggedExpired = 0
  #madeCount = 0
  #keptCount = 0

  /** @param log - receives a line for each promise that is made, kept or run out */
  constructor (log: Log) {
    this.#log = log
  }

  /**
   * @param spec - an attempt that is to be placed
   * @param loads - load of the servers
   * @param now - current time
   * @returns the same load, with all that is kept for other requests in use
   */
  loadsFor ({ identity }: PlacementSpec, loads: ServerLoads, now: Millis): ServerLoads {
    const withheld = this.#promises.withheld(identity ?? null, now)
    this.#logExpired()
    return loads.withholding(withheld)
  }

  /**
   * @param spec - an attempt that is to be placed
   * @param now - current time
   * @returns whether memory is kept for it
   */
  isPromised ({ identity }: PlacementSpec, now: Millis): boolean {
    return this.#promises.find(identity ?? null, now) !== null
  }

  /**
   * Ends the promise to a request that is placed, and counts its prefill.
   *
   * @param spec - the attempt
   * @param assignment - where it is placed
   * @param now - current time
   */
  placed ({ request, service, identity }: PlacementSpec, { prefillTime, helpers }: Pick<Assignment, 'prefillTime' | 'helpers'>, now: Millis): void {
    this.#mixOf(service).record(prefillTime, helpers.length + 1, now)
    const kept = identity === undefined ? null : this.#promises.fulfil(identity, now)
    if (kept === null) return
    this.#keptCount += 1
    this.#log.info('promise.kept', { request, service, identity, tokens_promised: Math.round(kept.demand), late_ms: Math.round(now - kept.returnAt) })
  }

  /**
   * Refuses an attempt for which no server can be chosen.
   *
   * @param spec - the attempt
   * @param request - the same with the candidates and their load
   * @param context - whom the scheduler decides for; only a scheduler that its callers will reach again promises
   * @returns the refusal
   */
  refuse (spec: PlacementSpec, request: PlacementRequest, context: PlacementContext): RefusedPlacement {
    const { timing: { figures }, candidates, now } = request
    if (candidates.length === 0 || !isMemoryBound(figures)) return { type: 'refused', reason: PlacementRefusal.NoServer, retryAfter: null }
    const room = this.#forecast.findRoom(request)
    if (room === null) return { type: 'refused', reason: PlacementRefusal.NoRoom, retryAfter: null }
    const prefillShare = this.#mixOf(spec.service).prefillShare(candidates.length, now)
    const promise = mayPromise(spec, context) ? this.#promise(spec, request, room, prefillShare) : null
    const retryAfter = promise === null ? spreadReturn(namedTime(room, prefillShare)) : promise.returnAt - now
    const decision = promise === null ? 'promise.not_made' : 'promise.made'
    this.#log.info(decision, {
      request: spec.request, service: spec.service, identity: spec.identity, tokens_needed: Math.round(memoryDemand(request)), room_in_ms: Math.round(room.in), prefill_share: prefillShare.toFixed(2), engines_kept: [...room.shares.keys()].join(','), retry_after_ms: Math.round(retryAfter), promises: this.#promises.count(now)
    })
    return { type: 'refused', reason: PlacementRefusal.NoRoom, retryAfter, ...(promise === null ? {} : { isPromised: true }) }
  }

  /**
   * @param now - current time
   * @returns numbers of promises in force, and of those made, kept and run out since the start
   */
  counts (now: Millis): { pending: number, made: number, kept: number, expired: number } {
    return { pending: this.#promises.count(now), made: this.#madeCount, kept: this.#keptCount, expired: this.#promises.expiredCount }
  }

  #promise ({ identity, organisation, service }: PlacementSpec, request: PlacementRequest, room: ExpectedRoom, prefillShare: number): ReturnPromise | null {
    if (identity === undefined) return null
    const { objective, timeLeft, candidates, timing, now } = request
    const memory = candidates.length * timing.figures.memory
    const known = this.#promises.find(identity, now)
    const promise = this.#promises.promise({ identity, organisation: organisation ?? null, service, demand: memoryDemand(request), prefillShare, objective, timeLeft }, room, memory, now)
    if (promise !== null && promise !== known) this.#madeCount += 1
    return promise
  }

  #mixOf (service: string): PromptMix {
    const existing = this.#mixes.get(service)
    if (existing !== undefined) return existing
    const mix = new PromptMix()
    this.#mixes.set(service, mix)
    return mix
  }

  #logExpired (): void {
    const { expiredCount } = this.#promises
    if (expiredCount === this.#loggedExpired) return
    this.#log.info('promise.expired', { count: expiredCount - this.#loggedExpired })
    this.#loggedExpired = expiredCount
  }
}

/** The caller of a request that may have run does not return, and one that a group has redirected returns to its own scheduler. */
const mayPromise = ({ isFirstAttempt, isHedge, isRedirected, trialParts }: PlacementSpec, { isGroupDecision }: PlacementContext): boolean =>
  isFirstAttempt && isHedge !== true && !isRedirected && trialParts.length === 0 && isGroupDecision
