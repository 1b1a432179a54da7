/**
 * Chooses engines by what a prompt's length does to everyone there: long prompts are read in parts on the engines
 * where nobody's pauses suffer, and short ones share engines so that others stay free of them.
 */
import type { Millis, NodeId, Tokens } from '../types.js'
import { HELD_MEMORY_SHARE, LATE_LOSS, MOST_HOLDERS, MOST_SHORT_PARTS, OBJECTIVE_SHARE, OWNERS_TRIED, PART_COST, PART_COUNTS, PREFERENCE_COST, SAFE_SHARE, SHORT_PROMPT, SLOT_WAIT, TIGHT_WRITER_COST, WAIT_COST } from './constants.js'
import { chanceOfNoPlace, preferenceOf } from './contention.js'
import { EngineState, totalOf, valueOf } from './EngineState.js'
import type { Harm } from './EngineState.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { Choice, PlacementRequest } from './PlacementPolicy.js'
import { callerWaitOf } from './silence.js'

interface Option extends Choice {
  readonly cost: number
}

/** Chooses by predicted first events, pauses and harm. */
export class LengthPlacement extends PlacementPolicy {
  readonly #node: NodeId

  /** @param node - this node */
  constructor (node: NodeId) {
    super()
    this.#node = node
  }

  choose (request: PlacementRequest): Choice | null {
    const { candidates, works, model, now } = request
    const states = candidates.map((candidate) =>
      new EngineState(candidate, works.of(candidate.server.id), model, now, preferenceOf(this.#node, candidate.server.id)))
    const demand = memoryDemand(request)
    const options = demand > model.figures.memory ? held(request, states, demand) : this.#options(request, states, demand)
    return options.reduce<Option | null>((best, option) => best === null || option.cost < best.cost ? option : best, null)
  }

  #options (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): Option[] {
    const roomy = states.filter((state) => state.freeMemory >= demand)
    const open = roomy.filter((state) => state.hasSlot)
    const owners = open.length > 0 ? open : roomy
    const alone = owners.map((owner) => weigh(request, owner, []))
    const most = Math.min(states.length, request.size.prompt < SHORT_PROMPT ? MOST_SHORT_PARTS : Infinity)
    const counts = PART_COUNTS.filter((parts) => parts > 1 && parts <= most)
    return [...alone, ...counts.flatMap((parts) => divided(request, states, owners, parts))]
  }
}

const memoryDemand = ({ size, model }: PlacementRequest): Tokens =>
  size.prompt + Math.min(size.mostAnswer, model.figures.usualAnswer)

/** A prompt that no engine can hold alone: one engine writes, the roomiest others hold what it cannot. */
const held = (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): Option[] => {
  const roomy = states.filter((state) => state.hasSlot && state.canHelp && state.freeMemory > 0).sort((a, b) => b.freeMemory - a.freeMemory)
  return roomy.slice(0, OWNERS_TRIED).flatMap((owner) => heldBy(request, states, owner, roomy, demand))
}

const heldBy = (request: PlacementRequest, states: readonly EngineState[], owner: EngineState, roomy: readonly EngineState[], demand: Tokens): Option[] => {
  const holders = holdersOf(roomy.filter((state) => state !== owner), demand - owner.freeMemory * HELD_MEMORY_SHARE)
  if (holders === null) return []
  const holding = new Set(holders.map(({ state }) => state))
  const rest = states.filter((state) => state !== owner && !holding.has(state) && state.canHelp)
  const counts = PART_COUNTS.filter((parts) => parts > holders.length && parts <= rest.length + holders.length + 1)
  return counts.map((parts) => {
    const part = request.model.reading(request.size.prompt, parts)
    const option = weigh(request, owner, [...holding, ...leastHarmed(rest, part).slice(0, parts - 1 - holders.length)])
    return { ...option, holders: holders.map(({ state, tokens }) => ({ server: state.server, tokens })) }
  })
}

/** Divides tokens among the roomiest engines; null where they have no room for them. */
const holdersOf = (states: readonly EngineState[], tokens: Tokens): Array<{ state: EngineState, tokens: Tokens }> | null => {
  const holders: Array<{ state: EngineState, tokens: Tokens }> = []
  let left = Math.ceil(tokens)
  for (const state of states) {
    if (left <= 0) break
    const share = Math.min(left, Math.floor(state.freeMemory * HELD_MEMORY_SHARE))
    holders.push({ state, tokens: share })
    left -= share
  }
  return left > 0 || holders.length > MOST_HOLDERS ? null : holders
}

/** The engines that are harmed least by reading in a number of parts, each of two of them as the one that writes. */
const divided = (request: PlacementRequest, states: readonly EngineState[], owners: readonly EngineState[], parts: number): Option[] => {
  const ranked = leastHarmed(states, request.model.reading(request.size.prompt, parts))
  const bestOwners = ranked.filter((state) => owners.includes(state)).slice(0, parts)
  const roomiest = bestOwners.reduce<EngineState | null>((best, state) => best === null || state.freeMemory > best.freeMemory ? state : best, null)
  const writers = new Set([bestOwners[0], roomiest])
  return [...writers].flatMap((owner) => {
    if (owner === undefined || owner === null) return []
    const helpers = ranked.filter((state) => state !== owner && state.canHelp).slice(0, parts - 1)
    return helpers.length === parts - 1 ? [weigh(request, owner, helpers)] : []
  })
}

/** Engines in the order of what a part would cost the requests there, then of what they have to read. */
const leastHarmed = (states: readonly EngineState[], part: Millis): EngineState[] => {
  const cost = new Map(states.map((state) => [state, partHarm(state, part)]))
  return [...states].sort((a, b) => (cost.get(a) ?? 0) - (cost.get(b) ?? 0) || a.pendingReading - b.pendingReading || a.preference - b.preference)
}

const partHarm = (state: EngineState, part: Millis): number => {
  const harm: Harm = new Map()
  state.addPartHarm(harm, part)
  return totalOf(harm)
}

const weigh = (request: PlacementRequest, owner: EngineState, helpers: readonly EngineState[]): Option => {
  const { size, model } = request
  const part = model.reading(size.prompt, helpers.length + 1)
  const pass = owner.passWith(size.prompt)
  const harm: Harm = new Map()
  if (helpers.length === 0) owner.addWholeHarm(harm, part, pass)
  else owner.addPartHarm(harm, part, pass)
  for (const helper of helpers) helper.addPartHarm(harm, part)
  const ownRead = helpers.length === 0 ? owner.wholeFinish(part) : owner.partFinish(part)
  const firstEvent = pass + helpers.reduce((latest, helper) => Math.max(latest, helper.partFinish(part)), ownRead)
  const own = valueOf(size.prompt) * (lossOf(request, firstEvent, pass) + PART_COST * helpers.length)
  const cost = totalOf(harm) + own + tightCost(request, owner) + contentionCost(request, owner)
  return { server: owner.server, helpers: helpers.map(({ server }) => server), holders: [], firstEvent, cost }
}

/** The share of its value that the request itself is expected to lose: most of it when late, all when the caller leaves. */
const lossOf = ({ objective, timeLeft, pauseObjective }: PlacementRequest, firstEvent: Millis, pass: Millis): number => {
  const leaving = (1 - LATE_LOSS) * riskOf(firstEvent / callerWaitOf(objective))
  const waiting = WAIT_COST * firstEvent / objective + leaving
  if (pass > (pauseObjective ?? Infinity) * OBJECTIVE_SHARE) return waiting + LATE_LOSS
  return waiting + LATE_LOSS * (timeLeft > 0 ? riskOf(firstEvent / timeLeft) : 1)
}

/** @returns the risk that a prediction that uses this share of the time there is comes too late */
const riskOf = (used: number): number =>
  Math.min(1, Math.max(0, (used - SAFE_SHARE) / (OBJECTIVE_SHARE - SAFE_SHARE))) ** 2

/** Short answers share as few engines as serve them well: the others stay free to read long prompts. */
const tightCost = ({ pauseObjective }: PlacementRequest, owner: EngineState): number => {
  if (pauseObjective === null) return 0
  return TIGHT_WRITER_COST * (1 - Math.min(1, owner.tightRequests(pauseObjective) / owner.server.slots))
}

/** What it may cost that other nodes choose the same engine in the same instant. */
const contentionCost = ({ size, objective, arrivalsPerSecond }: PlacementRequest, { requests, server, preference }: EngineState): number => {
  const late = valueOf(size.prompt) * LATE_LOSS * Math.min(1, SLOT_WAIT / objective)
  return late * chanceOfNoPlace(Math.max(0, server.slots - requests), arrivalsPerSecond) + PREFERENCE_COST * preference
}
