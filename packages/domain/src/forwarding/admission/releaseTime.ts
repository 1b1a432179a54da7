/** Estimates how fast the engines of a service free memory while requests wait for it. */
import type { Millis, Tokens } from '../../types.js'
import type { PlacementRequest } from '../PlacementPolicy.js'

/** Part of an engine's slots and memory that is assumed to be in use while an answer is decoded. */
const TYPICAL_USE = 1 / 2

/**
 * Assumes that the memory of each request on the engines is given to another one like it as soon as it is free.
 *
 * @param tokens - memory that the requests before another one need together
 * @param request - the engines with their loads
 * @returns time until the engines have freed this memory; 0 if nothing is in use on them
 */
export const releaseTime = (tokens: Tokens, { candidates, loads, timing }: Pick<PlacementRequest, 'candidates' | 'loads' | 'timing'>): Millis => {
  const { slots, memory } = timing.figures
  const engines = new Set(candidates.map(({ server }) => server.id))
  let tokensPerMs = 0
  for (const { server, prompt, answer, prefillTime } of loads.assignments()) {
    if (!engines.has(server)) continue
    const occupation = prefillTime + timing.decodeTime(answer, slots * TYPICAL_USE, memory * TYPICAL_USE)
    tokensPerMs += (prompt + answer) / Math.max(1, occupation)
  }
  return tokensPerMs === 0 ? 0 : tokens / tokensPerMs
}
