/** Predicts when engines have the memory for a request, from the expected ends of the requests that they have. */
import type { Millis, RunnerId, Tokens } from '../types.js'
import type { Assignment } from './assignment.js'
import { EngineState, memoryDemand, memoryUse, sharedFreeMemory } from './EngineState.js'
import type { EngineTimingModel } from './EngineTimingModel.js'
import type { ServerLoads } from './FleetAssignments.js'
import { mayUseHolders } from './memoryBound.js'
import { MAX_HOLDERS, RESERVABLE_MEMORY_SHARE, SEGMENT_COUNTS } from './placementConstants.js'
import type { PlacementRequest } from './PlacementPolicy.js'

/** Memory and slot that become free on an engine. */
interface Release {
  readonly in: Millis
  readonly engine: EngineRoom
  readonly tokens: Tokens
  readonly requests: number
}

/** What is in use on one engine at one moment of the forecast. */
interface EngineRoom {
  readonly id: RunnerId
  readonly slots: number
  /** Time from which it can prefill another segment, which a holder has to. */
  readonly helpsFrom: Millis
  used: Tokens
  requests: number
}

/** Memory that engines are expected to have for a request. */
export interface ExpectedRoom {
  /** Time until they have it; 0 if they have it now. */
  readonly in: Millis
  /** The engines, with the memory on each that has to stay free until the request comes. */
  readonly shares: ReadonlyMap<RunnerId, Tokens>
}

/** Time until a request can be placed, by the assignments on the engines. */
export class RoomForecast {
  /**
   * Assumes that nothing else is placed until then.
   *
   * @param request - the request with its candidates and their load
   * @returns time until an engine, or an owner with holders, has the memory for it; 0 if it has it now, null if the engines are too few or too small
   */
  timeUntilRoom (request: PlacementRequest): Millis | null {
    return this.findRoom(request)?.in ?? null
  }

  /**
   * Assumes that nothing else is placed until then.
   *
   * @param request - the request with its candidates and their load
   * @returns the earliest memory for it, on one engine or on an owner with holders; null if the engines are too few or too small
   */
  findRoom (request: PlacementRequest): ExpectedRoom | null {
    const { timing, loads, now } = request
    const demand = memoryDemand(request)
    const states = request.candidates.map((candidate) => new EngineState(candidate, loads.get(candidate.server.id), timing, now, 0))
    const rooms = new Map(states.map((state) => [state.server.id, roomOf(state)]))
    const room = sharesAt([...rooms.values()], demand, timing, 0)
    if (room !== null) return { in: 0, shares: room }
    const releases = expectedReleases(request, states, rooms)
    for (const { in: time, engine, tokens, requests } of releases) {
      engine.used -= tokens
      engine.requests -= requests
      const shares = sharesAt([...rooms.values()], demand, timing, time)
      if (shares !== null) return { in: time, shares }
    }
    return null
  }
}

const roomOf = (state: EngineState): EngineRoom =>
  ({ id: state.server.id, slots: state.server.slots, helpsFrom: state.canHelp ? 0 : state.pendingPrefill, used: state.usedMemory, requests: state.requestCount })

/** Memory on the engine that decodes a request and on its holders becomes free when the request ends. */
const expectedReleases = ({ loads, timing, now }: PlacementRequest, states: readonly EngineState[], rooms: ReadonlyMap<RunnerId, EngineRoom>): Release[] => {
  const ends = expectedEnds(states, helpedRequests(loads))
  const releases = [...rooms.values()].map((engine) => ({ in: engine.helpsFrom, engine, tokens: 0, requests: 0 }))
  for (const assignment of loads.assignments()) {
    const end = ends.get(assignment.id) ?? endAlone(assignment, timing, now)
    const owner = rooms.get(assignment.server)
    if (owner !== undefined) releases.push({ in: end, engine: owner, tokens: memoryUse(assignment), requests: 1 })
    for (const { runner, tokens } of assignment.reservations) {
      const holder = rooms.get(runner)
      if (holder !== undefined) releases.push({ in: end, engine: holder, tokens, requests: 0 })
    }
  }
  return releases.sort((a, b) => a.in - b.in)
}

const expectedEnds = (states: readonly EngineState[], helped: ReadonlyMap<RunnerId, readonly Assignment[]>): Map<string, Millis> => {
  const prefilledIn = new Map<string, Millis>()
  for (const state of states) {
    for (const [id, time] of state.prefillEnds()) prefilledIn.set(id, Math.max(prefilledIn.get(id) ?? 0, time))
  }
  return new Map(states.flatMap((state) => [...state.expectedEnds(prefilledIn, helped.get(state.server.id))]))
}

/** Requests whose prompts are prefilled, by the engines that have prefilled a segment for the one that decodes them. */
const helpedRequests = (loads: ServerLoads): Map<RunnerId, Assignment[]> => {
  const helped = new Map<RunnerId, Assignment[]>()
  for (const assignment of loads.assignments()) {
    if (!assignment.isPrefilled) continue
    for (const helper of assignment.helpers) helped.set(helper, [...helped.get(helper) ?? [], assignment])
  }
  return helped
}

/** End of a request on an engine that is no candidate, as if the engine had no other load. */
const endAlone = ({ sentAt, prefillTime, answer, prompt }: Assignment, timing: EngineTimingModel, now: Millis): Millis =>
  Math.max(0, sentAt + prefillTime + timing.decodeTime(answer, 1, prompt + answer / 2) - now)

/** Engines on which placement would accept the demand: one that has the memory, or several with a free slot that have it together. */
const sharesAt = (rooms: readonly EngineRoom[], demand: Tokens, { figures }: EngineTimingModel, time: Millis): Map<RunnerId, Tokens> | null => {
  const free = (room: EngineRoom): Tokens => sharedFreeMemory(room.used, figures.memory)
  const [smallest] = rooms.filter((room) => free(room) >= demand).sort((a, b) => free(a) - free(b))
  if (smallest !== undefined) return new Map([[smallest.id, demand]])
  if (!mayUseHolders(figures, demand)) return null
  const helping = rooms.filter(({ helpsFrom }) => helpsFrom <= time)
  const largest = helping.filter(({ requests, slots }) => requests < slots).sort((a, b) => free(b) - free(a)).slice(0, MAX_HOLDERS + 1)
  const shares = divideDemand(largest.map((room) => [room.id, Math.max(0, free(room))]), demand)
  const segments = SEGMENT_COUNTS.find((count) => count >= (shares?.size ?? Infinity))
  return segments !== undefined && segments <= helping.length ? shares : null
}

/** Memory that has to stay free on each engine, the one with the most first; null if all do not suffice for the demand. */
const divideDemand = (free: ReadonlyArray<readonly [RunnerId, Tokens]>, demand: Tokens): Map<RunnerId, Tokens> | null => {
  const shares = new Map<RunnerId, Tokens>()
  let remaining = Math.ceil(demand)
  for (const [engine, tokens] of free) {
    if (remaining <= 0) break
    const usable = Math.min(remaining, Math.floor(tokens * RESERVABLE_MEMORY_SHARE))
    shares.set(engine, Math.min(tokens, usable / RESERVABLE_MEMORY_SHARE))
    remaining -= usable
  }
  return remaining > 0 ? null : shares
}
