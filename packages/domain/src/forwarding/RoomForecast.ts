/** Predicts when engines have the memory for a request, from the expected ends of the requests that they have. */
import type { Millis, RunnerId, Tokens } from '../types.js'
import type { Assignment } from './assignment.js'
import { EngineState, memoryDemand, memoryUse, sharedFreeMemory } from './EngineState.js'
import type { EngineTimingModel } from './EngineTimingModel.js'
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
  readonly slots: number
  /** Time from which it can prefill another segment, which a holder has to. */
  readonly helpsFrom: Millis
  used: Tokens
  requests: number
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
    const { timing, loads, now } = request
    const demand = memoryDemand(request)
    const states = request.candidates.map((candidate) => new EngineState(candidate, loads.get(candidate.server.id), timing, now, 0))
    const rooms = new Map(states.map((state) => [state.server.id, roomOf(state)]))
    if (hasRoom([...rooms.values()], demand, timing, 0)) return 0
    const releases = expectedReleases(request, states, rooms)
    for (const { in: time, engine, tokens, requests } of releases) {
      engine.used -= tokens
      engine.requests -= requests
      if (hasRoom([...rooms.values()], demand, timing, time)) return time
    }
    return null
  }
}

const roomOf = (state: EngineState): EngineRoom =>
  ({ slots: state.server.slots, helpsFrom: state.canHelp ? 0 : state.pendingPrefill, used: state.usedMemory, requests: state.requestCount })

/** Memory on the engine that decodes a request and on its holders becomes free when the request ends. */
const expectedReleases = ({ loads, timing, now }: PlacementRequest, states: readonly EngineState[], rooms: ReadonlyMap<RunnerId, EngineRoom>): Release[] => {
  const ends = expectedEnds(states)
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

const expectedEnds = (states: readonly EngineState[]): Map<string, Millis> => {
  const prefilledIn = new Map<string, Millis>()
  for (const state of states) {
    for (const [id, time] of state.prefillEnds()) prefilledIn.set(id, Math.max(prefilledIn.get(id) ?? 0, time))
  }
  return new Map(states.flatMap((state) => [...state.expectedEnds(prefilledIn)]))
}

/** End of a request on an engine that is no candidate, as if the engine had no other load. */
const endAlone = ({ sentAt, prefillTime, answer, prompt }: Assignment, timing: EngineTimingModel, now: Millis): Millis =>
  Math.max(0, sentAt + prefillTime + timing.decodeTime(answer, 1, prompt + answer / 2) - now)

/** Whether placement would accept the demand: one engine has the memory, or several that have a free slot have it together. */
const hasRoom = (rooms: readonly EngineRoom[], demand: Tokens, { figures }: EngineTimingModel, time: Millis): boolean => {
  const free = (room: EngineRoom): Tokens => sharedFreeMemory(room.used, figures.memory)
  if (rooms.some((room) => free(room) >= demand)) return true
  if (!mayUseHolders(figures, demand)) return false
  const helping = rooms.filter(({ helpsFrom }) => helpsFrom <= time)
  const shares = helping.filter(({ requests, slots }) => requests < slots).map((room) => Math.floor(Math.max(0, free(room)) * RESERVABLE_MEMORY_SHARE))
  const engines = enginesNeeded(shares.sort((a, b) => b - a), demand)
  const segments = SEGMENT_COUNTS.find((count) => count >= engines)
  return engines <= MAX_HOLDERS + 1 && segments !== undefined && segments <= helping.length
}

/** Number of engines whose shares, the largest first, suffice for the demand; Infinity if all do not. */
const enginesNeeded = (shares: readonly Tokens[], demand: Tokens): number => {
  let remaining = Math.ceil(demand)
  for (const [index, share] of shares.entries()) {
    remaining -= share
    if (remaining <= 0) return index + 1
  }
  return Infinity
}
