/** Reads what another node handed on; what does not have the expected form is refused as a whole. */
import * as z from 'zod'

import { CallKind, Readiness } from '@bluebellhill/domain'
import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import { failed, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { KnowledgeSnapshot } from '../Knowledge.js'

const amount = z.number().min(0)
const name = z.string().min(1)

const route = z.object({
  name,
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum([CallKind.Safe, CallKind.Unsafe, CallKind.Stream]),
  resumable: z.boolean(),
  timeout: amount,
  objective: amount,
  pauseObjective: amount.nullable(),
  priority: z.number(),
  maxAttempts: z.number().int().min(1),
  isPublic: z.boolean(),
  services: z.array(z.object({ service: name, weight: amount }))
})

const engine = z.object({
  slots: amount,
  memory: amount,
  stepsPerPass: amount,
  step: amount,
  stepPerWriter: amount,
  stepPerThousandContext: amount,
  readTokensPerMs: amount,
  readPerMillionPairs: amount,
  usualAnswer: amount
})

const deployment = z.object({
  version: z.number().int(),
  routes: z.array(route),
  services: z.array(z.object({ name, healthPath: z.string(), maxConnections: amount, engine: engine.nullable() })),
  limits: z.object({ headerBytes: amount, bodyBytes: amount, headerTimeout: amount, idleTimeout: amount }),
  organisations: z.array(z.object({ name: z.string(), apiKeys: z.array(z.string()), priority: z.number().nullable() }))
})

const server = z.object({
  id: name.transform((id) => id as RunnerId),
  service: name,
  address: name,
  failureDomain: z.string().transform((domain) => domain as FailureDomain),
  slots: amount,
  readiness: z.enum([Readiness.Ready, Readiness.Draining]),
  startedAt: z.number().nullable()
})

const snapshot = z.object({
  deployment: deployment.nullable(),
  servers: z.object({ listed: z.array(z.object({ server, revision: amount })), revision: amount }).nullable()
})

/**
 * @param body - what another node answered
 * @returns its snapshot, or the failure `malformed`
 */
export const decodeSnapshot = (body: Buffer): Result<KnowledgeSnapshot, CallFailure> => {
  try {
    return success(snapshot.parse(JSON.parse(body.toString('utf8'))))
  } catch (error) {
    return failed({ type: 'malformed', reason: error instanceof Error ? error.message : String(error) })
  }
}
