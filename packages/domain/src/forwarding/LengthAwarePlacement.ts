/**
 * Chooses engines by what a prompt's length does to everyone there: long prompts are read in parts on the engines
 * where nobody's pauses suffer, and short ones share engines so that others stay free of them.
 */
import type { Millis, NodeId, Tokens } from '../types.js'
import { RESERVABLE_MEMORY_SHARE, LATE_LOSS_SHARE, MAX_HOLDERS, MAX_SHORT_PROMPT_SEGMENTS, USABLE_OBJECTIVE_SHARE, MAX_OWNERS_TRIED, HELPER_COST, SEGMENT_COUNTS, TIE_BREAK_COST, RISK_FREE_SHARE, SHORT_PROMPT_TOKENS, SLOT_WAIT, TIGHT_PAUSE_COST, WAIT_COST } from './placementConstants.js'
import { noFreeSlotProbability, tieBreakRank } from './contention.js'
import { EngineState, totalLoss, requestValue } from './EngineState.js'
import type { LossByRequest } from './EngineState.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { PlacementChoice, PlacementRequest } from './PlacementPolicy.js'
import { callerWaitTime } from './streamTimeouts.js'

interface EvaluatedChoice extends PlacementChoice {
  readonly cost: number
}

/** Chooses by predicted first events, pauses and harm. */
export class LengthAwarePlacement extends PlacementPolicy {
  readonly #node: NodeId

  /** @param node - this node */
  constructor (node: NodeId) {
    super()
    this.#node = node
  }

  choose (request: PlacementRequest): PlacementChoice | null {
    const { candidates, loads, timing, now } = request
    const states = candidates.map((candidate) =>
      new EngineState(candidate, loads.get(candidate.server.id), timing, now, tieBreakRank(this.#node, candidate.server.id)))
    const demand = memoryDemand(request)
    const options = demand > timing.figures.memory ? optionsWithHolders(request, states, demand) : this.#options(request, states, demand)
    return options.reduce<EvaluatedChoice | null>((best, option) => best === null || option.cost < best.cost ? option : best, null)
  }

  #options (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): EvaluatedChoice[] {
    const withMemory = states.filter((state) => state.freeMemory >= demand)
    const withSlot = withMemory.filter((state) => state.hasFreeSlot)
    const owners = withSlot.length > 0 ? withSlot : withMemory
    const undivided = owners.map((owner) => evaluate(request, owner, []))
    const maxSegments = Math.min(states.length, request.size.prompt < SHORT_PROMPT_TOKENS ? MAX_SHORT_PROMPT_SEGMENTS : Infinity)
    const segmentCounts = SEGMENT_COUNTS.filter((segments) => segments > 1 && segments <= maxSegments)
    return [...undivided, ...segmentCounts.flatMap((parts) => optionsWithHelpers(request, states, owners, parts))]
  }
}

const memoryDemand = ({ size, timing }: PlacementRequest): Tokens =>
  size.prompt + Math.min(size.mostAnswer, timing.figures.usualAnswer)

/** A prompt that no engine can hold alone: one engine writes, the roomiest others hold what it cannot. */
const optionsWithHolders = (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): EvaluatedChoice[] => {
  const withMemory = states.filter((state) => state.hasFreeSlot && state.canHelp && state.freeMemory > 0).sort((a, b) => b.freeMemory - a.freeMemory)
  return withMemory.slice(0, MAX_OWNERS_TRIED).flatMap((owner) => optionsForOwner(request, states, owner, withMemory, demand))
}

const optionsForOwner = (request: PlacementRequest, states: readonly EngineState[], owner: EngineState, withMemory: readonly EngineState[], demand: Tokens): EvaluatedChoice[] => {
  const holders = assignHolders(withMemory.filter((state) => state !== owner), demand - owner.freeMemory * RESERVABLE_MEMORY_SHARE)
  if (holders === null) return []
  const holderStates = new Set(holders.map(({ state }) => state))
  const others = states.filter((state) => state !== owner && !holderStates.has(state) && state.canHelp)
  const segmentCounts = SEGMENT_COUNTS.filter((parts) => parts > holders.length && parts <= others.length + holders.length + 1)
  return segmentCounts.map((segments) => {
    const segmentTime = request.timing.prefillTime(request.size.prompt, segments)
    const option = evaluate(request, owner, [...holderStates, ...sortBySegmentLoss(others, segmentTime).slice(0, segments - 1 - holders.length)])
    return { ...option, holders: holders.map(({ state, tokens }) => ({ server: state.server, tokens })) }
  })
}

/** Divides tokens among the roomiest engines; null where they have no room for them. */
const assignHolders = (states: readonly EngineState[], demand: Tokens): Array<{ state: EngineState, tokens: Tokens }> | null => {
  const holders: Array<{ state: EngineState, tokens: Tokens }> = []
  let remaining = Math.ceil(demand)
  for (const state of states) {
    if (remaining <= 0) break
    const share = Math.min(remaining, Math.floor(state.freeMemory * RESERVABLE_MEMORY_SHARE))
    holders.push({ state, tokens: share })
    remaining -= share
  }
  return remaining > 0 || holders.length > MAX_HOLDERS ? null : holders
}

/** The engines that are harmed least by reading in a number of parts, each of two of them as the one that writes. */
const optionsWithHelpers = (request: PlacementRequest, states: readonly EngineState[], owners: readonly EngineState[], segments: number): EvaluatedChoice[] => {
  const ranked = sortBySegmentLoss(states, request.timing.prefillTime(request.size.prompt, segments))
  const bestOwners = ranked.filter((state) => owners.includes(state)).slice(0, segments)
  const roomiest = bestOwners.reduce<EngineState | null>((best, state) => best === null || state.freeMemory > best.freeMemory ? state : best, null)
  const ownersTried = new Set([bestOwners[0], roomiest])
  return [...ownersTried].flatMap((owner) => {
    if (owner === undefined || owner === null) return []
    const helpers = ranked.filter((state) => state !== owner && state.canHelp).slice(0, segments - 1)
    return helpers.length === segments - 1 ? [evaluate(request, owner, helpers)] : []
  })
}

/** Engines in the order of what a part would cost the requests there, then of what they have to read. */
const sortBySegmentLoss = (states: readonly EngineState[], segmentTime: Millis): EngineState[] => {
  const losses = new Map(states.map((state) => [state, segmentLoss(state, segmentTime)]))
  return [...states].sort((a, b) => (losses.get(a) ?? 0) - (losses.get(b) ?? 0) || a.pendingPrefill - b.pendingPrefill || a.tieBreakRank - b.tieBreakRank)
}

const segmentLoss = (state: EngineState, segmentTime: Millis): number => {
  const losses: LossByRequest = new Map()
  state.addSegmentLoss(losses, segmentTime)
  return totalLoss(losses)
}

const evaluate = (request: PlacementRequest, owner: EngineState, helpers: readonly EngineState[]): EvaluatedChoice => {
  const { size, timing } = request
  const prefillTime = timing.prefillTime(size.prompt, helpers.length + 1)
  const passTime = owner.passTimeWith(size.prompt)
  const losses: LossByRequest = new Map()
  if (helpers.length === 0) owner.addPromptLoss(losses, prefillTime, passTime)
  else owner.addSegmentLoss(losses, prefillTime, passTime)
  for (const helper of helpers) helper.addSegmentLoss(losses, prefillTime)
  const ownPrefillDone = helpers.length === 0 ? owner.timeUntilPromptDone(prefillTime) : owner.timeUntilSegmentDone(prefillTime)
  const timeToFirstEvent = passTime + helpers.reduce((latest, helper) => Math.max(latest, helper.timeUntilSegmentDone(prefillTime)), ownPrefillDone)
  const ownCost = requestValue(size.prompt) * (ownLossShare(request, timeToFirstEvent, passTime) + HELPER_COST * helpers.length)
  const cost = totalLoss(losses) + ownCost + tightPauseCost(request, owner) + contentionCost(request, owner)
  return { server: owner.server, helpers: helpers.map(({ server }) => server), holders: [], timeToFirstEvent, cost }
}

/** The share of its value that the request itself is expected to lose: most of it when late, all when the caller leaves. */
const ownLossShare = ({ objective, timeLeft, pauseObjective }: PlacementRequest, timeToFirstEvent: Millis, passTime: Millis): number => {
  const disconnectLoss = (1 - LATE_LOSS_SHARE) * lateRisk(timeToFirstEvent / callerWaitTime(objective))
  const baseLoss = WAIT_COST * timeToFirstEvent / objective + disconnectLoss
  if (passTime > (pauseObjective ?? Infinity) * USABLE_OBJECTIVE_SHARE) return baseLoss + LATE_LOSS_SHARE
  return baseLoss + LATE_LOSS_SHARE * (timeLeft > 0 ? lateRisk(timeToFirstEvent / timeLeft) : 1)
}

/** @returns the risk that a prediction that uses this share of the time there is comes too late */
const lateRisk = (usedShare: number): number =>
  Math.min(1, Math.max(0, (usedShare - RISK_FREE_SHARE) / (USABLE_OBJECTIVE_SHARE - RISK_FREE_SHARE))) ** 2

/** Short answers share as few engines as serve them well: the others stay free to read long prompts. */
const tightPauseCost = ({ pauseObjective }: PlacementRequest, owner: EngineState): number => {
  if (pauseObjective === null) return 0
  return TIGHT_PAUSE_COST * (1 - Math.min(1, owner.tightPauseCount(pauseObjective) / owner.server.slots))
}

/** What it may cost that other nodes choose the same engine in the same instant. */
const contentionCost = ({ size, objective, arrivalsPerSecond }: PlacementRequest, { requestCount: requests, server, tieBreakRank }: EngineState): number => {
  const lateCost = requestValue(size.prompt) * LATE_LOSS_SHARE * Math.min(1, SLOT_WAIT / objective)
  return lateCost * noFreeSlotProbability(Math.max(0, server.slots - requests), arrivalsPerSecond) + TIE_BREAK_COST * tieBreakRank
}
