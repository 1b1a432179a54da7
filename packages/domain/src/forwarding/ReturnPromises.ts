/** Keeps memory for refused requests until their callers return at the time that the refusal has named. */
import type { Millis, RunnerId, Tokens } from '../types.js'
import type { WithheldRoom } from './FleetAssignments.js'
import type { ExpectedRoom } from './RoomForecast.js'
import { callerWaitTime } from './streamTimeouts.js'

/** Time after the named one for which a promise holds: a caller needs a timer, a new connection and the messages of a placement. */
const RETURN_GRACE: Millis = 500

/** Longest part of the time that it has left after which a refused caller still returns. */
const MAX_RETURN_SHARE = 1 / 3

/** Longest time that a refusal names; a forecast further ahead knows too little of what arrives until then. */
const MAX_RETURN_TIME: Millis = 3_000

/** Time that is added to a forecast for each engine: about two passes, since requests end with a pass, and each engine's may end one later. */
const PASS_MARGIN: Millis = 100

const NOTHING_WITHHELD: WithheldRoom = { tokens: 0, slots: 0 }

/** A request to which a time is promised. */
export interface PromisedRequest {
  /** Digest that the request has each time its caller sends it. */
  readonly identity: string
  /** Null if its caller has none: all such callers count as one. */
  readonly organisation: string | null
  readonly service: string
  /** KV cache memory that it needs. */
  readonly demand: Tokens
  readonly objective: Millis
  /** Share of the engines' time that prefills of other requests are expected to take until then. */
  readonly prefillShare: number
  /** Time left until its first event is due; negative once it is late. */
  readonly timeLeft: Millis
}

/** Memory that is kept for one request. */
export interface ReturnPromise extends Pick<PromisedRequest, 'identity' | 'organisation' | 'service' | 'demand'> {
  /** Time at which the request is to return. */
  readonly returnAt: Millis
  /** Time from which the promise no longer holds. */
  readonly expiresAt: Millis
  /** Engines that are expected to have the memory at `returnAt`, with the part that is kept free on each. */
  readonly shares: ReadonlyMap<RunnerId, Tokens>
}

/**
 * Promises of one scheduler. They are lost with it: the request is then placed like any other when it returns.
 * Every method discards those that have run out first, so that a process that was held up acts on none of them.
 */
export class ReturnPromises {
  /** By identity, the oldest first. */
  readonly #promises = new Map<string, ReturnPromise>()
  #expiredCount = 0

  /** Number of promises that have run out without a return. */
  get expiredCount (): number {
    return this.#expiredCount
  }

  /**
   * Promises memory to a request. A promise to it whose time has not come yet stays as it is; one whose time has come without the memory is replaced.
   *
   * @param request - the request that is refused
   * @param room - where and when memory is expected for it, with all that is withheld for others in use
   * @param memory - KV cache memory of all engines of its service
   * @param now - current time
   * @returns the promise; null if the caller would not return, or if too much is promised already
   */
  promise (request: PromisedRequest, room: ExpectedRoom, memory: Tokens, now: Millis): ReturnPromise | null {
    this.#discardExpired(now)
    const existing = this.#promises.get(request.identity)
    if (existing !== undefined && existing.returnAt > now) return existing
    this.#promises.delete(request.identity)
    const returnTime = namedTime(room, request.prefillShare)
    if (returnTime > longestReturnTime(request) || !this.#isWithinBounds(request, memory)) return null
    const { identity, organisation, service, demand } = request
    const returnAt = now + returnTime
    const promise = { identity, organisation, service, demand, returnAt, expiresAt: returnAt + RETURN_GRACE, shares: room.shares }
    this.#promises.set(identity, promise)
    return promise
  }

  /**
   * @param identity - digest of a request; null if it is not stated
   * @param now - current time
   * @returns the promise to the request; null if there is none
   */
  find (identity: string | null, now: Millis): ReturnPromise | null {
    this.#discardExpired(now)
    return identity === null ? null : this.#promises.get(identity) ?? null
  }

  /**
   * Ends the promise to a request that is placed.
   *
   * @param identity - digest of the request
   * @param now - current time
   * @returns the promise; null if there was none
   */
  fulfil (identity: string, now: Millis): ReturnPromise | null {
    const promise = this.find(identity, now)
    this.#promises.delete(identity)
    return promise
  }

  /**
   * On the engines that are kept for the request itself, later promises are made on top of what is kept for it, so that it need not leave them free.
   *
   * @param identity - digest of the request that is to be placed; null if it is not stated
   * @param now - current time
   * @returns what the request must leave free for others, by engine
   */
  withheld (identity: string | null, now: Millis): Map<RunnerId, WithheldRoom> {
    const own = this.find(identity, now)
    const withheld = new Map<RunnerId, WithheldRoom>()
    let isLater = false
    for (const promise of this.#promises.values()) {
      if (promise === own) {
        isLater = true
        continue
      }
      for (const [engine, share] of promise.shares) {
        if (isLater && own?.shares.has(engine) === true) continue
        const { tokens, slots } = withheld.get(engine) ?? NOTHING_WITHHELD
        withheld.set(engine, { tokens: tokens + share, slots: slots + 1 })
      }
    }
    return withheld
  }

  /**
   * @param now - current time
   * @returns number of promises in force
   */
  count (now: Millis): number {
    this.#discardExpired(now)
    return this.#promises.size
  }

  /**
   * All promises together need no more memory than the engines have, and those of one organisation no more than its part if one more organisation asked
   * for the same. Its first promise is not bounded by that part, which is less than a long prompt where engines are few.
   */
  #isWithinBounds ({ organisation, service, demand }: PromisedRequest, memory: Tokens): boolean {
    const inService = [...this.#promises.values()].filter((promise) => promise.service === service)
    if (demandOf(inService) + demand > memory) return false
    const own = inService.filter((promise) => promise.organisation === organisation)
    const organisations = new Set([organisation, ...inService.map((promise) => promise.organisation)])
    return own.length === 0 || demandOf(own) + demand <= memory / (organisations.size + 1)
  }

  #discardExpired (now: Millis): void {
    for (const [identity, { expiresAt }] of this.#promises) {
      if (expiresAt > now) continue
      this.#promises.delete(identity)
      this.#expiredCount += 1
    }
  }
}

/**
 * @param request - a request that is refused
 * @returns longest time after which its caller returns
 */
export const longestReturnTime = ({ objective, timeLeft }: Pick<PromisedRequest, 'objective' | 'timeLeft'>): Millis => {
  const callerTimeLeft = timeLeft + callerWaitTime(objective) - objective
  return Math.min(MAX_RETURN_TIME, Math.max(0, callerTimeLeft) * MAX_RETURN_SHARE)
}

/**
 * Requests decode more slowly than the forecast assumes, since prefills of later ones interrupt them.
 *
 * @param room - memory that is expected for a request if nothing else is placed
 * @param prefillShare - share of the engines' time that prefills of later requests take
 * @returns time that is named to its caller
 */
export const namedTime = ({ in: time, shares }: ExpectedRoom, prefillShare: number): Millis =>
  time / (1 - prefillShare) + PASS_MARGIN * shares.size

const demandOf = (promises: readonly ReturnPromise[]): Tokens => promises.reduce((sum, { demand }) => sum + demand, 0)
