/** Tells whether memory, and not slots, is the resource of a service's engines that runs out first. */
import type { Tokens } from '../types.js'
import type { EngineFigures } from './types.js'

/** Share of an engine's KV cache memory that usual requests in all of its slots exceed if the service is memory-bound. */
const MEMORY_BOUND_SHARE = 0.5

/**
 * @param figures - figures that the service publishes
 * @returns whether usual requests in all slots take more than half of an engine's memory; false if no usual prompt is published
 */
export const isMemoryBound = ({ slots, usualPrompt, usualAnswer, memory }: EngineFigures): boolean =>
  usualPrompt !== undefined && slots * (usualPrompt + usualAnswer) > memory * MEMORY_BOUND_SHARE

/**
 * A request that needs no more than its slot's share of an engine waits for a slot and not for memory: holders would make it depend on
 * several engines, and delay the requests there, for nothing.
 *
 * @param figures - figures that the service publishes
 * @param demand - memory that a request needs
 * @returns whether other engines may hold a part of it
 */
export const mayUseHolders = (figures: EngineFigures, demand: Tokens): boolean =>
  demand > figures.memory || (isMemoryBound(figures) && demand > figures.memory / figures.slots)
