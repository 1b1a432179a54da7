/**
 * Chooses engines by what a prompt's length does to everyone there: long prompts are read in parts on the engines
 * where nobody's pauses suffer, and short ones share engines so that others stay free of them.
 */
import type { Millis, Tokens } from '../types.js'
import { FIRST_TIGHT_WRITER_COST, LATE_LOSS, OBJECTIVE_SHARE, PART_COST, PART_COUNTS, SHORTEST_DIVIDED_PROMPT, WAIT_COST } from './constants.js'
import { EngineState, valueOf } from './EngineState.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { Choice, PlacementRequest } from './PlacementPolicy.js'

interface Option extends Choice {
  readonly cost: number
}

/** Chooses by predicted first events, pauses and harm. */
export class LengthPlacement extends PlacementPolicy {
  choose (placement: PlacementRequest): Choice | null {
    const { candidates, works, model, now } = placement
    const states = candidates.map((candidate) => new EngineState(candidate, works.of(candidate.server.id), model, now))
    const demand = memoryDemand(placement)
    const owners = states.filter((state) => state.freeMemory >= demand)
    const open = owners.filter((state) => state.hasSlot)
    const options = this.#options(placement, states, open.length > 0 ? open : owners)
    return options.reduce<Option | null>((best, option) => best === null || option.cost < best.cost ? option : best, null)
  }

  #options (placement: PlacementRequest, states: readonly EngineState[], owners: readonly EngineState[]): Option[] {
    const alone = owners.map((owner) => weigh(placement, owner, []))
    if (placement.size.prompt < SHORTEST_DIVIDED_PROMPT) return alone
    const counts = PART_COUNTS.filter((parts) => parts > 1 && parts <= states.length)
    return [...alone, ...counts.flatMap((parts) => divided(placement, states, owners, parts))]
  }
}

const memoryDemand = ({ size, model }: PlacementRequest): Tokens =>
  size.prompt + Math.min(size.mostAnswer, model.figures.usualAnswer)

/** The best engines for reading in a number of parts, each of two of them as the one that writes. */
const divided = (placement: PlacementRequest, states: readonly EngineState[], owners: readonly EngineState[], parts: number): Option[] => {
  const part = placement.model.reading(placement.size.prompt, parts)
  const cost = new Map(states.map((state) => [state, state.harmOf(part) + state.finishOf(part) / placement.objective]))
  const ranked = [...states].sort((a, b) => (cost.get(a) ?? 0) - (cost.get(b) ?? 0))
  const bestOwners = ranked.filter((state) => owners.includes(state)).slice(0, parts)
  const roomiest = bestOwners.reduce<EngineState | null>((best, state) => best === null || state.freeMemory > best.freeMemory ? state : best, null)
  const writers = new Set([bestOwners[0], roomiest])
  return [...writers].flatMap((owner) => {
    if (owner === undefined || owner === null) return []
    const helpers = ranked.filter((state) => state !== owner && state.canHelp).slice(0, parts - 1)
    return helpers.length === parts - 1 ? [weigh(placement, owner, helpers)] : []
  })
}

const weigh = (placement: PlacementRequest, owner: EngineState, helpers: readonly EngineState[]): Option => {
  const { size, model } = placement
  const part = model.reading(size.prompt, helpers.length + 1)
  const pass = owner.passWith(size.prompt)
  const read = helpers.reduce((latest, helper) => Math.max(latest, helper.finishOf(part)), owner.finishOf(part))
  const firstEvent = read + pass
  const harm = helpers.reduce((sum, helper) => sum + helper.harmOf(part), owner.harmOf(part, pass))
  const value = valueOf(size.prompt)
  const cost = harm + value * (lateness(placement, firstEvent, pass) + PART_COST * helpers.length) + tightCost(placement, owner)
  return { server: owner.server, helpers: helpers.map(({ server }) => server), firstEvent, cost }
}

const lateness = ({ objective, pauseObjective }: PlacementRequest, firstEvent: Millis, pass: Millis): number => {
  const allowed = Math.max(1, objective)
  const late = firstEvent > allowed * OBJECTIVE_SHARE || pass > (pauseObjective ?? Infinity) * OBJECTIVE_SHARE
  return WAIT_COST * firstEvent / allowed + (late ? LATE_LOSS : 0)
}

const tightCost = ({ pauseObjective }: PlacementRequest, owner: EngineState): number =>
  pauseObjective !== null && pauseObjective < owner.tightestPause ? FIRST_TIGHT_WRITER_COST : 0
