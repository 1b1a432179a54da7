/**
 * Placement policy that accounts for prompt length. Long prompts are divided into segments, which are prefilled on engines
 * where this makes no answer's pauses too long; short prompts share few engines, so that the others stay free for long prompts.
 * The owner of a request is the engine that decodes its answer.
 */
import type { Millis, NodeId, Tokens } from '../types.js'
import { RESERVABLE_MEMORY_SHARE, LATE_LOSS_SHARE, MAX_HOLDERS, MAX_SHORT_PROMPT_SEGMENTS, USABLE_OBJECTIVE_SHARE, MAX_OWNERS_TRIED, HELPER_COST, SEGMENT_COUNTS, TIE_BREAK_COST, RISK_FREE_SHARE, SHORT_PROMPT_TOKENS, SLOT_WAIT, TIGHT_PAUSE_COST, WAIT_COST } from './placementConstants.js'
import { noFreeSlotProbability, tieBreakRank } from './contention.js'
import { EngineState, memoryDemand, totalLoss, requestValue } from './EngineState.js'
import type { LossByRequest } from './EngineState.js'
import { isMemoryBound, mayUseHolders } from './memoryBound.js'
import { PlacementPolicy } from './PlacementPolicy.js'
import type { PlacementChoice, PlacementRequest } from './PlacementPolicy.js'
import { callerPauseTolerance, callerWaitTime } from './streamTimeouts.js'

interface EvaluatedChoice extends PlacementChoice {
  readonly cost: number
}

/** Chooses the engines with the least cost, from predicted times to first event, pauses and losses of other requests. */
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
    const options = demand > timing.figures.memory ? optionsWithHolders(request, states, demand) : this.#optionsWithinEngine(request, states, demand)
    return options.reduce<EvaluatedChoice | null>((best, option) => best === null || option.cost < best.cost ? option : best, null)
  }

  /** Where memory runs out first, a prompt that fits an engine, but none at the moment, is divided over holders too. */
  #optionsWithinEngine (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): EvaluatedChoice[] {
    const options = this.#options(request, states, demand)
    const isEngineFree = states.some((state) => state.hasFreeSlot && state.freeMemory >= demand)
    return isEngineFree || !mayUseHolders(request.timing.figures, demand) ? options : [...options, ...optionsWithHolders(request, states, demand)]
  }

  #options (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): EvaluatedChoice[] {
    const withMemory = states.filter((state) => state.freeMemory >= demand)
    const withSlot = withMemory.filter((state) => state.hasFreeSlot)
    const owners = withSlot.length > 0 ? withSlot : withMemory
    const undivided = owners.map((owner) => evaluate(request, owner, []))
    const maxSegments = Math.min(states.length, request.size.prompt < SHORT_PROMPT_TOKENS ? MAX_SHORT_PROMPT_SEGMENTS : Infinity)
    const segmentCounts = SEGMENT_COUNTS.filter((segments) => segments > 1 && segments <= maxSegments)
    return [...undivided, ...segmentCounts.flatMap((segments) => optionsWithHelpers(request, states, owners, segments))]
  }
}

/** Options for a prompt that exceeds the free memory of one engine: holders keep what the owner cannot. */
const optionsWithHolders = (request: PlacementRequest, states: readonly EngineState[], demand: Tokens): EvaluatedChoice[] => {
  const withMemory = states.filter((state) => state.hasFreeSlot && state.canHelp && state.freeMemory > 0).sort((a, b) => b.freeMemory - a.freeMemory)
  return withMemory.slice(0, MAX_OWNERS_TRIED).flatMap((owner) => optionsForOwner(request, states, owner, withMemory, demand))
}

const optionsForOwner = (request: PlacementRequest, states: readonly EngineState[], owner: EngineState, withMemory: readonly EngineState[], demand: Tokens): EvaluatedChoice[] => {
  const others = withMemory.filter((state) => state !== owner)
  const isLastSmallest = isMemoryBound(request.timing.figures)
  const holders = assignHolders(others, demand - owner.freeMemory * RESERVABLE_MEMORY_SHARE, isLastSmallest)
  if (holders === null) return []
  const holderStates = new Set(holders.map(({ state }) => state))
  const helpers = states.filter((state) => state !== owner && !holderStates.has(state) && state.canHelp)
  const segmentCounts = SEGMENT_COUNTS.filter((segments) => segments > holders.length && segments <= helpers.length + holders.length + 1)
  return segmentCounts.map((segments) => {
    const segmentTime = request.timing.prefillTime(request.size.prompt, segments)
    const option = evaluate(request, owner, [...holderStates, ...sortBySegmentLoss(helpers, segmentTime).slice(0, segments - 1 - holders.length)])
    return { ...option, holders: holders.map(({ state, tokens }) => ({ server: state.server, tokens })) }
  })
}

/**
 * Divides tokens among the engines with the most free memory; null if they lack it or would be too many. Where memory runs out
 * first, the last share goes to the engine with the least memory that suffices, so that the others stay free for later long prompts.
 */
const assignHolders = (states: readonly EngineState[], demand: Tokens, isLastSmallest: boolean): Array<{ state: EngineState, tokens: Tokens }> | null => {
  const holders: Array<{ state: EngineState, tokens: Tokens }> = []
  let remaining = Math.ceil(demand)
  for (const [index, state] of states.entries()) {
    if (remaining <= 0) break
    const share = Math.min(remaining, reservableMemory(state))
    const isLast = share === remaining
    const smallest = isLastSmallest && isLast ? states.slice(index).findLast((other) => reservableMemory(other) >= remaining) : undefined
    holders.push({ state: smallest ?? state, tokens: share })
    remaining -= share
  }
  return remaining > 0 || holders.length > MAX_HOLDERS ? null : holders
}

const reservableMemory = ({ freeMemory }: EngineState): Tokens => Math.floor(freeMemory * RESERVABLE_MEMORY_SHARE)

/**
 * Options for a prompt divided into a number of segments, on the engines where a segment causes the least loss. Two owners
 * are tried: the one with the least loss and the one with the most free memory.
 */
const optionsWithHelpers = (request: PlacementRequest, states: readonly EngineState[], owners: readonly EngineState[], segments: number): EvaluatedChoice[] => {
  const ranked = sortBySegmentLoss(states, request.timing.prefillTime(request.size.prompt, segments))
  const bestOwners = ranked.filter((state) => owners.includes(state)).slice(0, segments)
  const ownerWithMostMemory = bestOwners.reduce<EngineState | null>((best, state) => best === null || state.freeMemory > best.freeMemory ? state : best, null)
  const ownersTried = new Set([bestOwners[0], ownerWithMostMemory])
  return [...ownersTried].flatMap((owner) => {
    if (owner === undefined || owner === null) return []
    const helpers = ranked.filter((state) => state !== owner && state.canHelp).slice(0, segments - 1)
    return helpers.length === segments - 1 ? [evaluate(request, owner, helpers)] : []
  })
}

/** Sorts engines by the loss that a segment would cause to the requests there, then by pending prefill. */
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
  const prefillDone = passTime + helpers.reduce((latest, helper) => Math.max(latest, helper.timeUntilSegmentDone(prefillTime)), ownPrefillDone)
  const isDeferred = owner.slotWait > 0 && owner.slotWait + prefillDone > request.timeLeft
  const timeToFirstEvent = prefillDone + (isDeferred ? owner.deferredSlotWait : owner.slotWait)
  // A segment overtakes whole prompts, but the first pass that decodes its request also prefills them.
  const longestPause = passTime + (helpers.length === 0 ? 0 : owner.pendingPrefill)
  const ownCost = requestValue(size.prompt) * (ownLossShare(request, timeToFirstEvent, longestPause) + HELPER_COST * helpers.length)
  const cost = totalLoss(losses) + ownCost + tightPauseCost(request, owner) + contentionCost(request, owner)
  return { server: owner.server, helpers: helpers.map(({ server }) => server), holders: [], timeToFirstEvent, isDeferred, cost }
}

/** Share of its value that the request itself is expected to lose: most of it if late, all of it if the caller disconnects. */
const ownLossShare = ({ objective, timeLeft, pauseObjective }: PlacementRequest, timeToFirstEvent: Millis, longestPause: Millis): number => {
  const waitShare = Math.max(timeToFirstEvent / callerWaitTime(objective), longestPause / callerPauseTolerance(pauseObjective))
  const disconnectLoss = (1 - LATE_LOSS_SHARE) * lateRisk(waitShare)
  const baseLoss = WAIT_COST * timeToFirstEvent / objective + disconnectLoss
  if (longestPause > (pauseObjective ?? Infinity) * USABLE_OBJECTIVE_SHARE) return baseLoss + LATE_LOSS_SHARE
  return baseLoss + LATE_LOSS_SHARE * (timeLeft > 0 ? lateRisk(timeToFirstEvent / timeLeft) : 1)
}

/** Risk of being late if the predicted duration uses this share of the available time. */
const lateRisk = (usedShare: number): number =>
  Math.min(1, Math.max(0, (usedShare - RISK_FREE_SHARE) / (USABLE_OBJECTIVE_SHARE - RISK_FREE_SHARE))) ** 2

/** Makes requests with tight pause objectives share few engines, so that the others stay free to prefill long prompts. */
const tightPauseCost = ({ pauseObjective }: PlacementRequest, owner: EngineState): number => {
  if (pauseObjective === null) return 0
  return TIGHT_PAUSE_COST * (1 - Math.min(1, owner.tightPauseCount(pauseObjective) / owner.server.slots))
}

/** Expected cost of other nodes choosing the same engine at the same moment, plus the cost that breaks ties. */
const contentionCost = ({ size, objective, arrivalsPerSecond }: PlacementRequest, { requestCount, server, tieBreakRank }: EngineState): number => {
  const lateCost = requestValue(size.prompt) * LATE_LOSS_SHARE * Math.min(1, SLOT_WAIT / objective)
  return lateCost * noFreeSlotProbability(Math.max(0, server.slots - requestCount), arrivalsPerSecond) + TIE_BREAK_COST * tieBreakRank
}
