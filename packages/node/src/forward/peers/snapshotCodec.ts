/** Decodes a fleet state snapshot of another node; a snapshot with any invalid field is refused as a whole. */
import * as z from 'zod'

import { CallKind, Readiness } from '@bluebellhill/domain'
import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import { failed, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { FleetStateSnapshot } from '../FleetState.js'

const nonNegative = z.number().min(0)
const nonEmpty = z.string().min(1)

const routeSchema = z.object({
  name: nonEmpty,
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum([CallKind.Safe, CallKind.Unsafe, CallKind.Stream]),
  resumable: z.boolean(),
  timeout: nonNegative,
  objective: nonNegative,
  pauseObjective: nonNegative.nullable(),
  priority: z.number(),
  maxAttempts: z.number().int().min(1),
  isPublic: z.boolean(),
  services: z.array(z.object({ service: nonEmpty, weight: nonNegative }))
})

const engineSchema = z.object({
  slots: nonNegative,
  memory: nonNegative,
  stepsPerPass: nonNegative,
  step: nonNegative,
  stepPerWriter: nonNegative,
  stepPerThousandContext: nonNegative,
  readTokensPerMs: nonNegative,
  readPerMillionPairs: nonNegative,
  usualAnswer: nonNegative
})

const deploymentSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(z.object({ name: nonEmpty, healthPath: z.string(), maxConnections: nonNegative, engine: engineSchema.nullable() })),
  limits: z.object({ headerBytes: nonNegative, bodyBytes: nonNegative, headerTimeout: nonNegative, idleTimeout: nonNegative }),
  organisations: z.array(z.object({ name: z.string(), apiKeys: z.array(z.string()), priority: z.number().nullable() }))
})

const serverSchema = z.object({
  id: nonEmpty.transform((id) => id as RunnerId),
  service: nonEmpty,
  address: nonEmpty,
  failureDomain: z.string().transform((domain) => domain as FailureDomain),
  slots: nonNegative,
  readiness: z.enum([Readiness.Ready, Readiness.Draining]),
  startedAt: z.number().nullable()
})

const snapshotSchema = z.object({
  deployment: deploymentSchema.nullable(),
  servers: z.object({
    listed: z.array(z.object({ server: serverSchema, revision: nonNegative, isLapsed: z.boolean().optional() })),
    unchanged: z.array(nonEmpty.transform((id) => id as RunnerId)).optional(),
    revision: nonNegative
  }).nullable()
})

/**
 * @param body - JSON text that another node sent
 * @returns the snapshot, or the failure `malformed`
 */
export const decodeSnapshot = (body: Buffer): Result<FleetStateSnapshot, CallFailure> => {
  try {
    return success(snapshotSchema.parse(JSON.parse(body.toString('utf8'))))
  } catch (error) {
    return failed({ type: 'malformed', reason: error instanceof Error ? error.message : String(error) })
  }
}
