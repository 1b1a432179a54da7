/** Places the requests of one memory-bound service in the order of admission, and lets those wait that cannot be placed yet. */
import { AdmissionQueue, EngineState, releaseTime, RENEWAL_PERIOD, RoomForecast, routeTimeout, waitLimits } from '@bluebellhill/domain'
import type { AdmissionEntry, AdmissionKey, Candidate, Millis, PlacementRequest, RunnerId, Service } from '@bluebellhill/domain'

import type { AdmissionControlOptions } from './admissionTypes.js'
import { findRestriction } from './findRestriction.js'
import { GROUP_CONTEXT, PlacementRefusal } from './types.js'
import type { AssignmentOwner, PlacementResult, PlacementSpec, PlacementWaiter, RefusedPlacement } from './types.js'

/** Waiting requests that are looked at in one round, in order. */
const MAX_CONSIDERED = 32

/** Full evaluations of engines in one round: with 100 rounds a second, 400 beside those of arriving requests. */
const MAX_EVALUATED = 4

/** Time after which a request that did not fit, although the free memory seemed enough, is evaluated again. */
const EVALUATION_INTERVAL: Millis = 20

/** Share of the engines that may be held for requests which need much memory, so that the others still serve smaller ones. */
const MAX_HELD_SHARE = 1 / 2

/** Share of an engine's memory above which a request needs it nearly empty. Below, one of the requests in turn holds an engine; the next soon follows there. */
const ENGINE_SHARE = 1 / 2

/** Engines that may keep one prompt: its owner and four holders. */
const MAX_ENGINES_PER_PROMPT = 5

/** Refusals for want of memory, a slot or time, which waiting may change. */
const ROOM_REFUSALS: ReadonlySet<string> = new Set([PlacementRefusal.NoServer, PlacementRefusal.NoRoom, PlacementRefusal.TooLate, PlacementRefusal.RequestLimit, PlacementRefusal.ServersCold])

const NO_ROOM: RefusedPlacement = { type: 'refused', reason: PlacementRefusal.NoRoom, retryAfter: null }

/** Refusals for want of memory, which name the time at which there will be some. */
const MEMORY_REFUSALS: ReadonlySet<string> = new Set([PlacementRefusal.NoServer, PlacementRefusal.NoRoom])

/** Urgency of requests whose nodes do not state it. */
const LEAST_URGENT = 9

/** Urgency of a request that returns while memory is kept for it: before all others. */
const PROMISED_URGENCY = -1

/** An attempt of a node that is to be placed. */
export interface AdmissionRequest extends Pick<PlacementWaiter, 'deliver'> {
  readonly spec: PlacementSpec
  readonly owner: AssignmentOwner
  readonly key: AdmissionKey
  /** Whether it has been counted and taken from the retry budget before. */
  readonly isCounted: boolean
}

interface WaitingRequest extends AdmissionEntry {
  readonly request: AdmissionRequest
  /** Whether it needs more than a slot's part of an engine's memory. */
  readonly needsMuchMemory: boolean
  /** Whether it needs more than half of an engine's memory. */
  readonly needsEngine: boolean
  /** Whether memory was kept for it when it returned. */
  readonly isPromised: boolean
  readonly enteredAt: Millis
  /** Time of its last evaluation without a result. */
  evaluatedAt: Millis
  /** Whether it was not placed although there was memory for a request like it, because it may only use some engines: others need not wait for it. */
  isUnlikeOthers: boolean
}

/** Free memory of the engines at one moment. */
interface FreeRoom {
  /** A request that may use all engines. */
  readonly request: PlacementRequest
  /** Engines with a free slot, that with the most free memory first. */
  readonly engines: readonly EngineState[]
}

/** Order of admission of one service. */
export class ServiceAdmission {
  readonly queue = new AdmissionQueue<WaitingRequest>()
  /** The service as it is configured now. */
  service: Service
  readonly #options: AdmissionControlOptions
  readonly #forecast = new RoomForecast()

  /**
   * @param service - the service, which is memory-bound
   * @param options - the scheduler that places the requests
   */
  constructor (service: Service, options: AdmissionControlOptions) {
    this.service = service
    this.#options = options
  }

  /**
   * Places a request, or lets it wait.
   *
   * @param request - the request, which does not wait yet
   * @returns the decision
   */
  place (request: AdmissionRequest): PlacementResult {
    const { scheduler, clock } = this.#options
    const entry = this.#entryOf(request, clock())
    const mayWait = isQueueable(request.spec)
    if (mayWait && this.#isBehindOthers(entry)) {
      const isAllowed = request.isCounted || scheduler.count(request.spec)
      return isAllowed ? this.#letWait(entry, NO_ROOM) : { type: 'refused', reason: PlacementRefusal.RetryBudgetSpent, retryAfter: null }
    }
    const result = this.#tryPlace(entry, request.isCounted, mayWait)
    if (!isRoomRefusal(result)) return result
    return mayWait ? this.#letWait(entry, result) : this.#finalRefusal(entry, result)
  }

  /**
   * Removes a request whose node has given it up.
   *
   * @param key - the request
   * @returns whether it was waiting
   */
  withdraw (key: AdmissionKey): boolean {
    const entry = this.queue.remove(key)
    if (entry !== null) this.#logEnd(entry, 'withdrawn')
    return entry !== null
  }

  /**
   * Places the waiting requests that can be placed now, as far as the limits of one round allow, and refuses those that cannot be served any more.
   *
   * @returns whether more might be placed in another round
   */
  serve (): boolean {
    const { clock, runningClock } = this.#options
    for (const entry of this.queue.removeExpired(runningClock())) this.#logEnd(entry, 'expired')
    for (const entry of this.queue.removeOverdue(clock())) this.#refuse(entry, PlacementRefusal.TooLate, this.#forecastOf(entry))
    return this.queue.length > 0 && this.#serveInOrder(this.queue.first(MAX_CONSIDERED, clock()), clock())
  }

  /** Refuses the requests to which the operator has left no engine. */
  #refuseRestricted (entries: readonly WaitingRequest[]): void {
    for (const entry of entries) {
      const restriction = findRestriction(this.#options.fleetState, this.service.name, entry.request.spec.regions)
      if (restriction !== null) this.#deliver(entry, restriction)
    }
  }

  /** @returns whether the limit of evaluations was reached before the end */
  #serveInOrder (entries: readonly WaitingRequest[], now: Millis): boolean {
    let evaluations = 0
    let room = this.#freeRoom(entries)
    if (room === null) return false
    if (room.request.candidates.length === 0) {
      this.#refuseRestricted(entries)
      return false
    }
    let isSmallBlocked = false
    let isLargeBlocked = false
    for (const entry of entries) {
      const isLarge = entry.needsMuchMemory
      if (this.queue.heldBy(entry.key).length === 0 && (isSmallBlocked || (isLarge && isLargeBlocked))) continue
      const ownRoom = this.#roomFor(entry, room)
      const mayFit = this.#mayFit(entry, ownRoom)
      if (mayFit && now - entry.evaluatedAt >= EVALUATION_INTERVAL) {
        if (evaluations >= MAX_EVALUATED) return true
        evaluations += 1
        const result = this.#tryPlace(entry, true, true)
        if (!isRoomRefusal(result)) {
          this.#deliver(entry, result)
          room = this.#freeRoom(entries) ?? room
          continue
        }
        entry.evaluatedAt = now
      }
      entry.isUnlikeOthers = mayFit
      if (!isLarge) isSmallBlocked ||= !mayFit
      else if (!this.#keepsHold(entry, ownRoom)) {
        evaluations += 1
        isLargeBlocked = !this.#hold(entry, ownRoom)
      }
    }
    return false
  }

  /** Places a request on an engine that is not held for another one. A more urgent request takes held memory if nothing else is free. */
  #tryPlace ({ urgency, key, work, organisation, request }: WaitingRequest, isCounted: boolean, needsFreeSlot: boolean): PlacementResult {
    const { scheduler } = this.#options
    const held = this.queue.heldAgainst(key)
    const heldAgainst = this.queue.heldAgainst(key, urgency)
    const placeBeside = (engines: ReadonlySet<RunnerId>, isRepeated: boolean): PlacementResult =>
      scheduler.place(request.spec, request.owner, GROUP_CONTEXT, { held: engines, needsFreeSlot, isCounted: isCounted || isRepeated })
    const first = placeBeside(held, false)
    const result = isRoomRefusal(first) && heldAgainst.size < held.size ? placeBeside(heldAgainst, true) : first
    if (result.type === 'placed' && !this.queue.has(key)) this.queue.shares.charge(organisation, work)
    return result
  }

  /** Lets a request wait if it can be placed in time. */
  #letWait (entry: WaitingRequest, refusal: RefusedPlacement): PlacementResult {
    const { clock, runningClock, log } = this.#options
    const now = clock()
    const forecast = this.#forecastOf(entry)
    if (forecast === null) return this.#finalRefusal(entry, refusal)
    if (now + forecast > entry.giveUpAt) return this.#finalRefusal(entry, { ...NO_ROOM, retryAfter: forecast })
    const displaced = this.queue.add(entry, now, runningClock())
    if (displaced === entry) return this.#finalRefusal(entry, { ...NO_ROOM, retryAfter: forecast })
    if (displaced !== null) this.#refuse(displaced, PlacementRefusal.NoRoom, forecast)
    const { request: { spec, owner }, urgency, organisation, tokens } = entry
    log.info('placement.queued', {
      request: spec.request,
      node: owner.node,
      service: spec.service,
      urgency,
      organisation,
      tokens,
      forecast_ms: Math.round(forecast),
      give_up_ms: Math.round(entry.giveUpAt - now),
      waited_ms: Math.round(spec.waited ?? 0),
      waiting: this.queue.length
    })
    return { type: 'queued', renewAfter: RENEWAL_PERIOD }
  }

  /** Time until the request finds room behind those that wait for the same; null if it never does. */
  #forecastOf (entry: WaitingRequest): Millis | null {
    const described = this.#options.scheduler.placementRequest(entry.request.spec)
    if (described === null) return null
    const held = this.queue.heldAgainst(entry.key, entry.urgency)
    const open = described.candidates.filter(({ server }) => !held.has(server.id))
    const room = this.#forecast.timeUntilRoom({ ...described, candidates: open }) ?? this.#forecast.timeUntilRoom(described)
    if (room === null) return null
    const tokensBefore = this.queue.before(entry).reduce((sum, { tokens }) => sum + tokens, 0)
    return room + releaseTime(tokensBefore, described)
  }

  /** Whether requests before it wait for the same memory. A request that needs much memory and holds engines, or could not hold any, lets smaller ones past. */
  #isBehindOthers (entry: WaitingRequest): boolean {
    return this.queue.before(entry).some((other) => !other.isUnlikeOthers && (entry.needsMuchMemory || !other.needsMuchMemory))
  }

  #deliver (entry: WaitingRequest, result: PlacementResult): void {
    if (result.type === 'placed') this.queue.placed(entry.key)
    else this.queue.remove(entry.key)
    this.#logEnd(entry, result.type === 'refused' ? result.reason : result.type)
    entry.request.deliver(result)
  }

  /** Refuses a request that is no longer in the queue. */
  #refuse (entry: WaitingRequest, reason: PlacementRefusal, retryAfter: Millis | null): void {
    this.#logEnd(entry, reason)
    entry.request.deliver(this.#nameReturn(entry, { type: 'refused', reason, retryAfter }))
  }

  /** A refusal for another reason than memory stays as it is. */
  #finalRefusal (entry: WaitingRequest, refusal: RefusedPlacement): RefusedPlacement {
    return MEMORY_REFUSALS.has(refusal.reason) ? this.#nameReturn(entry, refusal) : refusal
  }

  /** Names the time at which there will be memory for a request that is refused, and keeps the memory if its caller can return by then. */
  #nameReturn ({ request: { spec } }: WaitingRequest, refusal: RefusedPlacement): RefusedPlacement {
    const { scheduler } = this.#options
    const described = scheduler.placementRequest(spec)
    if (described === null) return refusal
    const named = scheduler.promisedRoom.refuse(spec, described, GROUP_CONTEXT)
    // Nodes of an earlier build state no identity, and know the reason that was given before there were promises.
    const reason = spec.identity === undefined || refusal.reason === PlacementRefusal.TooLate ? refusal.reason : named.reason
    if (named.isPromised === true || refusal.retryAfter === null) return { ...named, reason }
    // Without a promise, the requests that wait before it come first when it returns.
    return { ...named, reason, retryAfter: Math.max(named.retryAfter ?? 0, refusal.retryAfter) }
  }

  /** Logs that a request no longer waits. */
  #logEnd ({ request: { spec, owner }, enteredAt }: WaitingRequest, outcome: string): void {
    const { log, clock } = this.#options
    log.info('placement.dequeued', {
      request: spec.request,
      node: owner.node,
      service: spec.service,
      outcome,
      queued_ms: Math.round(clock() - enteredAt),
      waiting: this.queue.length
    })
  }

  /** Holds the engines that will have enough free memory soonest for a request that needs much of it. Returns whether further engines may be held. */
  #hold (entry: WaitingRequest, { request }: FreeRoom): boolean {
    this.queue.hold(entry.key, [])
    if (!entry.needsEngine && this.queue.holders().some(({ needsEngine }) => !needsEngine)) return false
    const minCount = Math.ceil(entry.tokens / request.timing.figures.memory)
    const maxCount = Math.min(MAX_ENGINES_PER_PROMPT, Math.floor(request.candidates.length * MAX_HELD_SHARE) - this.queue.heldCount)
    if (minCount > maxCount) return false
    const described = { ...request, size: entry.request.spec.size }
    const soonest = this.#soonestFree(described, request.candidates.filter(({ server }) => !this.queue.isHeldForOther(server.id, entry.key)))
    for (let count = minCount; count <= Math.min(maxCount, soonest.length); count += 1) {
      const engines = soonest.slice(0, count)
      if (this.#forecast.timeUntilRoom({ ...described, candidates: engines }) === null) continue
      this.queue.hold(entry.key, engines.map(({ server }) => server.id))
      return true
    }
    return false
  }

  /** Sorts engines by the time until they have the memory, or all of theirs if it needs more. */
  #soonestFree (request: PlacementRequest, candidates: readonly Candidate[]): Candidate[] {
    const { memory, usualAnswer } = request.timing.figures
    const size = { ...request.size, prompt: Math.min(request.size.prompt, memory - usualAnswer) }
    const times = candidates.map((candidate) => ({ candidate, time: this.#forecast.timeUntilRoom({ ...request, size, candidates: [candidate] }) ?? Infinity }))
    return times.sort((a, b) => a.time - b.time).map(({ candidate }) => candidate)
  }

  /** Whether a request holds engines that can all still serve it. */
  #keepsHold ({ key }: WaitingRequest, { request: { candidates } }: FreeRoom): boolean {
    const held = this.queue.heldBy(key)
    const usable = new Set(candidates.map(({ server }) => server.id))
    return held.length > 0 && held.every((engine) => usable.has(engine))
  }

  /** Free memory of the engines for one request, with what is kept for it. */
  #roomFor (entry: WaitingRequest, room: FreeRoom): FreeRoom {
    return entry.isPromised ? this.#freeRoom([entry], entry.request.spec.identity) ?? room : room
  }

  /** Free memory of the engines, as far as all requests may use them, or one with the identity. */
  #freeRoom ([first]: readonly WaitingRequest[], identity?: string): FreeRoom | null {
    const { scheduler } = this.#options
    const request = first === undefined ? null : scheduler.placementRequest({ ...first.request.spec, excluded: [], allowed: null, regions: undefined, identity })
    if (request === null) return null
    const { candidates, loads, timing, now } = request
    const states = candidates.map((candidate) => new EngineState(candidate, loads.get(candidate.server.id), timing, now, 0)).filter(({ hasFreeSlot }) => hasFreeSlot)
    return { request, engines: states.sort((a, b) => b.freeMemory - a.freeMemory) }
  }

  /** Whether the free memory may be enough for a request, on one engine or on an owner and its holders. */
  #mayFit ({ urgency, key, tokens, needsMuchMemory }: WaitingRequest, { engines }: FreeRoom): boolean {
    const held = this.queue.heldAgainst(key, urgency)
    let [missing, count] = [tokens, needsMuchMemory ? MAX_ENGINES_PER_PROMPT : 1]
    for (const { server, freeMemory } of engines) {
      if (missing <= 0 || count === 0) break
      if (held.has(server.id)) continue
      missing -= freeMemory
      count -= 1
    }
    return missing <= 0
  }

  #entryOf (request: AdmissionRequest, now: Millis): WaitingRequest {
    const { fleetState, scheduler } = this.#options
    const { spec, key } = request
    const { size, objective, organisation = '', urgency = LEAST_URGENT } = spec
    const isPromised = scheduler.promisedRoom.isPromised(spec, now)
    const timing = scheduler.modelOf(this.service)
    const { memory, slots, usualAnswer } = timing.figures
    const tokens = size.prompt + Math.min(size.mostAnswer, usualAnswer)
    const timeout = routeTimeout(fleetState.routeTable?.deployment.routes ?? [], this.service.name, objective)
    return {
      key,
      request,
      urgency: isPromised ? PROMISED_URGENCY : urgency,
      organisation,
      tokens,
      isPromised,
      needsMuchMemory: tokens > memory / slots,
      needsEngine: tokens > memory * ENGINE_SHARE,
      work: timing.prefillTime(size.prompt),
      enteredAt: now,
      evaluatedAt: -Infinity,
      isUnlikeOthers: false,
      ...waitLimits(spec, timeout, timing, fleetState.servers.ready(this.service.name).length)
    }
  }
}

const isRoomRefusal = (result: PlacementResult): result is RefusedPlacement => result.type === 'refused' && ROOM_REFUSALS.has(result.reason)

/** A request that has to run apart from others, or beside an attempt in progress, is placed at once or not at all. */
const isQueueable = ({ acceptsQueueing, isHedge, isSuspected, isolatedAs, trialParts, isRedirected }: PlacementSpec): boolean =>
  acceptsQueueing === true && isHedge !== true && !isSuspected && isolatedAs === undefined && trialParts.length === 0 && !isRedirected
