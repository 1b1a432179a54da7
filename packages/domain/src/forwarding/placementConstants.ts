/** Weights and limits for the placement of requests on engines. */
import type { Millis } from '../types.js'

/** Maximum number of helpers for one prompt; engines accept no more. */
export const MAX_HELPERS = 16

/** Numbers of segments into which a prompt may be divided. */
export const SEGMENT_COUNTS: readonly number[] = [1, 2, 3, 4, 6, 8, 12, MAX_HELPERS + 1]

/** Share of an objective that a prediction may use, so that a prediction error does not make the answer late. */
export const USABLE_OBJECTIVE_SHARE = 0.85

/** Share of an objective up to which a prediction carries no risk of being late. */
export const RISK_FREE_SHARE = 0.45

/** Share of a request's value that is lost if it is late. */
export const LATE_LOSS_SHARE = 0.75

/**
 * Loss of a caller who disconnects because an answer stalls, in addition to the value of the request. It does not depend on the
 * prompt: a caller without an answer is worse off than one with a late answer, however short the prompt.
 */
export const DISCONNECT_LOSS = 1

/** Exponent of the value of a prompt as a function of its length. */
export const VALUE_EXPONENT = 0.75

/** Length of a prompt whose value is 1. */
export const VALUE_UNIT_TOKENS = 5_000

/** Cost, as a share of the request's value, of a time to first event as long as its objective. */
export const WAIT_COST = 0.06

/** Cost of each helper, as a share of the request's value: the prompt depends on every one of them. */
export const HELPER_COST = 0.004

/**
 * Cost of placing a request with a tight pause objective on an engine without such requests, since long prompts can then no
 * longer be prefilled there without loss. The cost falls to 0 as such requests fill the engine's slots.
 */
export const TIGHT_PAUSE_COST = 0.1

/** Loss of a request that is late already or whose pauses are too long already, as a share of its value per second of further delay. */
export const FURTHER_LOSS_PER_SECOND = 0.5

/** Length below which a prompt is short: its time to first event is mostly the pass, not its prefill. */
export const SHORT_PROMPT_TOKENS = 8_000

/** Maximum number of segments of a short prompt. */
export const MAX_SHORT_PROMPT_SEGMENTS = 2

/** Maximum number of engines that are evaluated as the owner of a prompt that needs holders. */
export const MAX_OWNERS_TRIED = 4

/** Share of an engine's KV cache memory that several requests may use together. */
export const SHARED_MEMORY_SHARE = 0.85

/** Share of an engine's free memory that a prompt with holders may use, since assignments of other nodes arrive with a delay. */
export const RESERVABLE_MEMORY_SHARE = 0.95

/** Maximum number of holders of one prompt; each must stay available until the answer ends. */
export const MAX_HOLDERS = 4

/**
 * Cost of an engine with the tie-breaking rank 1. Nodes rank engines differently, so that nodes which decide at the same moment
 * choose different ones.
 */
export const TIE_BREAK_COST = 0.025

/** Time until an assignment is known to the other nodes. */
export const ASSIGNMENT_DELAY: Millis = 10

/** Number of engines over which assignments that are not known yet are assumed to spread. */
export const CONTENDED_ENGINES = 4

/** Typical wait for a slot on an engine that turns out to be full. */
export const SLOT_WAIT: Millis = 500
