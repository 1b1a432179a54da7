/** Weights and bounds of the choice of engines. */
import type { Millis } from '../types.js'

/** Engines that may help one prompt; the engines accept no more. */
export const MAX_HELPERS = 16

/** Numbers of engines among which the reading of a prompt may be divided. */
export const SEGMENT_COUNTS: readonly number[] = [1, 2, 3, 4, 6, 8, 12, MAX_HELPERS + 1]

/** Share of an objective that a prediction may use, so that its error does not make the answer late. */
export const USABLE_OBJECTIVE_SHARE = 0.85

/** Share of an objective up to which a prediction bears no risk. */
export const RISK_FREE_SHARE = 0.45

/** Share of a request's value that is lost when it is late. */
export const LATE_LOSS_SHARE = 0.75

/** The value of a prompt grows with its length to this power. */
export const VALUE_EXPONENT = 0.75

/** Prompt tokens whose value is 1. */
export const VALUE_UNIT_TOKENS = 5_000

/** Cost, in shares of the request's value, of a first event that takes its whole objective. */
export const WAIT_COST = 0.06

/** Cost, in shares of the request's value, of each engine that its prompt depends on. */
export const HELPER_COST = 0.004

/** Cost of the first answer with tight pauses on an engine: long prompts cannot be read there without harm. */
export const TIGHT_PAUSE_COST = 0.1

/** Cost of harming an answer whose pauses are too long already, for each second that is added. */
export const FURTHER_LOSS_PER_SECOND = 0.5

/** Prompt tokens below which a prompt is short: it waits for the pass, not for the reading. */
export const SHORT_PROMPT_TOKENS = 8_000

/** Engines that read a short prompt at most. */
export const MAX_SHORT_PROMPT_SEGMENTS = 2

/** Engines that are tried as the one that writes for a prompt that several hold. */
export const MAX_OWNERS_TRIED = 4

/** Share of an engine's memory that several requests may use together. */
export const SHARED_MEMORY_SHARE = 0.85

/** Share of an engine's free memory that a divided prompt uses, since accounts of other nodes may be a moment old. */
export const RESERVABLE_MEMORY_SHARE = 0.95

/** Engines that hold parts of one prompt at most; each must live until the answer ends. */
export const MAX_HOLDERS = 4

/** Cost of the engine that a node likes least: nodes that decide in the same instant prefer different ones. */
export const TIE_BREAK_COST = 0.025

/** Time until a node's choice is known to the others. */
export const ASSIGNMENT_DELAY: Millis = 10

/** Engines among which the other nodes' unseen choices are assumed to spread. */
export const CONTENDED_ENGINES = 4

/** Usual wait for a place on an engine that turns out to be full. */
export const SLOT_WAIT: Millis = 500
