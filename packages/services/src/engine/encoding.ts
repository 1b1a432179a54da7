/** Schemas of the responses of a model engine. */
import { z } from 'zod'

import { EngineRole } from './types.js'

const count = z.number().min(0)

export const statusSchema = z.object({
  model: z.string().nullable(),
  version: z.string().nullable(),
  adapters: z.array(z.string()),
  role: z.enum(EngineRole),
  loading: z.object({ model: z.string(), version: z.string(), remainingMs: count })
    .transform(({ model, version, remainingMs }) => ({ model, version, remaining: remainingMs }))
    .nullable(),
  capacity: z.object({ tokens: count, slots: count, blockTokens: z.number().min(1), chunkTokens: z.number().min(1) }),
  load: z.object({
    asOf: z.number(),
    running: count,
    waiting: count,
    freeTokens: z.number(),
    pendingPrefillTokens: count,
    prefillTokensPerSecond: count,
    decodeTokensPerSecond: count
  }),
  streams: z.array(z.object({ request_id: z.string(), promptTokens: count, generated: count, heldTokens: count, ageMs: count })
    .transform(({ request_id: requestId, promptTokens, generated, heldTokens, ageMs }) => ({ requestId, promptTokens, generated, heldTokens, age: ageMs }))),
  segments: z.array(z.object({ id: z.string(), request_id: z.string(), tokens: count, ageMs: count })
    .transform(({ id, request_id: requestId, tokens, ageMs }) => ({ id, requestId, tokens, age: ageMs })))
})

export const cacheEventsSchema = z.object({
  from: z.number().int(),
  next: z.number().int(),
  events: z.array(z.object({
    seq: z.number().int(),
    kind: z.enum(['stored', 'removed', 'cleared']),
    blocks: z.array(z.string()).default([])
  }))
})

export const cancelSchema = z.object({ cancelled: z.boolean() })

export const tokensSchema = z.object({ tokens: count })

export const staleFencingSchema = z.object({
  error: z.object({ code: z.literal('stale_fencing'), current: z.number() })
})
