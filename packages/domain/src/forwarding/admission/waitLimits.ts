/** Computes until when a request may wait for its placement. */
import type { Millis, Tokens } from '../../types.js'
import type { EngineTimingModel } from '../EngineTimingModel.js'
import { MAX_HELPERS, SHORT_PROMPT_TOKENS } from '../placementConstants.js'
import { callerWaitTime } from '../streamTimeouts.js'
import type { PromptSize, Route } from '../types.js'

/** Part of the engines that are assumed to share the prefill of a long prompt. */
const HELPING_ENGINES_SHARE = 1 / 4

/** Times at which the first event is due and the caller stops waiting. */
export interface WaitingRequest {
  readonly size: PromptSize
  readonly objective: Millis
  readonly dueAt: Millis
}

export interface WaitLimits {
  /** Latest time at which it has to be placed so that its first event is on time. */
  readonly latestStart: Millis
  /** Latest time at which it has to be placed so that its caller gets an answer. */
  readonly giveUpAt: Millis
}

/**
 * @param request - a request
 * @param timeout - longest total duration of a request of its route
 * @param timing - timing model of its engines
 * @param engines - number of engines
 * @returns until when it may wait
 */
export const waitLimits = ({ size, objective, dueAt }: WaitingRequest, timeout: Millis, timing: EngineTimingModel, engines: number): WaitLimits => {
  const prefill = timing.prefillTime(size.prompt, prefillSegments(size.prompt, engines))
  const arrivedAt = dueAt - objective
  return { latestStart: dueAt - prefill, giveUpAt: arrivedAt + Math.min(callerWaitTime(objective), timeout) - prefill }
}

const prefillSegments = (prompt: Tokens, engines: number): number =>
  prompt < SHORT_PROMPT_TOKENS ? 1 : Math.min(MAX_HELPERS + 1, Math.max(1, Math.floor(engines * HELPING_ENGINES_SHARE)))

/**
 * The node that asks does not state the timeout of its route, so the shortest one of the routes with the same objective counts.
 *
 * @param routes - routes of the configuration
 * @param service - service of a request
 * @param objective - objective of the request
 * @returns the longest total duration of the request
 */
export const routeTimeout = (routes: readonly Route[], service: string, objective: Millis): Millis =>
  Math.min(...routes.filter((route) => route.objective === objective && route.services.some((weighted) => weighted.service === service)).map(({ timeout }) => timeout))
