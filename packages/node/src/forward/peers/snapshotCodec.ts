/** Encodes fleet state snapshots for other nodes, and decodes theirs; a snapshot with any invalid field is refused as a whole. */
import * as z from 'zod'

import { CallKind, eraOf, isStoreRevision, MAX_TIMER, Readiness, revisionInEra, storeRevision } from '@bluebellhill/domain'
import type { Deployment, FailureDomain, OrganisationKeys, Region, RunnerId, StoreRevision } from '@bluebellhill/domain'
import { failed, isSocketAddress, success } from '@bluebellhill/services'
import type { CallFailure, Result } from '@bluebellhill/services'

import type { FleetStateSnapshot } from '../FleetState.js'

const nonNegative = z.number().min(0)
/** In milliseconds, as in the configuration; nodes of earlier builds bound it by nothing. */
const duration = nonNegative.transform((time) => Math.min(time, MAX_TIMER))

const nonEmpty = z.string().min(1)

/** Nodes of earlier builds send none. */
const regionsSchema = z.array(z.string().transform((region) => region as Region)).optional()

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  pathPrefix: z.string(),
  kind: z.enum([CallKind.Safe, CallKind.Unsafe, CallKind.Stream]),
  resumable: z.boolean(),
  timeout: duration,
  objective: duration,
  pauseObjective: duration.nullable(),
  priority: z.number(),
  maxAttempts: z.number().int().min(1),
  isPublic: z.boolean(),
  services: z.array(z.object({ service: z.string(), weight: nonNegative })),
  regions: regionsSchema
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
  usualPrompt: nonNegative.optional(),
  usualAnswer: nonNegative
})

const warmUpSchema = z.object({ period: nonNegative, requestsPerSecond: nonNegative }).optional()

const organisationSchema = z.object({ name: z.string(), apiKeys: z.array(z.string()), priority: z.number().nullable(), regions: regionsSchema })

const deploymentSchema = z.object({
  version: nonNegative.refine(Number.isInteger),
  routes: z.array(routeSchema),
  services: z.array(z.object({ name: z.string(), healthPath: z.string(), maxConnections: nonNegative, engine: engineSchema.nullable(), warmUp: warmUpSchema })),
  limits: z.object({ headerBytes: nonNegative, bodyBytes: nonNegative, headerTimeout: duration, idleTimeout: duration }),
  organisations: z.array(organisationSchema),
  /** Length of the configuration's list; null if it has none. Nodes of earlier builds do not send it, and send no organisations in either case. */
  organisationCount: z.number().nullable().optional()
})

/** Stands for an empty list, by which nodes of earlier builds would let every caller in. */
const NOBODY: OrganisationKeys = { name: '', apiKeys: [], priority: null }

const serverSchema = z.object({
  id: nonEmpty.transform((id) => id as RunnerId),
  service: nonEmpty,
  address: nonEmpty,
  failureDomain: z.string().transform((domain) => domain as FailureDomain),
  slots: nonNegative,
  readiness: z.enum([Readiness.Ready, Readiness.Draining]),
  startedAt: z.number().nullable(),
  warmUpLeft: nonNegative.optional()
})

/** Revision of the store; nodes of earlier builds send no era. */
const revisionFields = { revision: nonNegative, era: nonNegative.optional() }

const snapshotSchema = z.object({
  deployment: deploymentSchema.nullable(),
  servers: z.object({
    listed: z.array(z.object({ server: serverSchema, isLapsed: z.boolean().optional(), keptFor: nonNegative.optional(), ...revisionFields })),
    unchanged: z.array(nonEmpty.transform((id) => id as RunnerId)).optional(),
    ...revisionFields
  }).nullable()
})

interface WireRevision {
  readonly revision: number
  readonly era?: number
}

/**
 * @param snapshot - state for another node
 * @returns JSON text
 */
export const encodeSnapshot = ({ deployment, servers }: FleetStateSnapshot): string => JSON.stringify({
  deployment: deployment === null ? null : encodeDeployment(deployment),
  servers: servers === null
    ? null
    : { ...servers, ...encodeRevision(servers.revision), listed: servers.listed.map((entry) => ({ ...entry, ...encodeRevision(entry.revision) })) }
})

/** What a node of an earlier build leaves unsaid is assumed to be as this node knows it. */
export interface AssumedState {
  /** Era of the store. */
  readonly era: number
  /** Whether callers need an API key. */
  readonly isKeyRequired: boolean
}

/**
 * @param body - JSON text that another node sent
 * @param own - what is assumed if the other node does not say it
 * @returns the snapshot, or the failure `malformed`
 */
export const decodeSnapshot = (body: Buffer, own: AssumedState): Result<FleetStateSnapshot, CallFailure> => {
  const ownEra = own.era
  try {
    const { deployment: wire, servers } = snapshotSchema.parse(JSON.parse(body.toString('utf8')))
    const deployment = wire === null ? null : decodeDeployment(wire, own)
    if (servers === null) return success({ deployment, servers })
    // A node of an earlier build keeps entries whose address cannot be used.
    const listed = servers.listed.filter(({ server }) => isSocketAddress(server.address)).map(({ era, ...entry }) => ({ ...entry, revision: decodeRevision({ revision: entry.revision, era }, ownEra) }))
    const unchanged = servers.unchanged === undefined ? {} : { unchanged: servers.unchanged }
    return success({ deployment, servers: { ...unchanged, listed, revision: decodeRevision(servers, ownEra) } })
  } catch (error) {
    return failed({ type: 'malformed', reason: error instanceof Error ? error.message : String(error) })
  }
}

const encodeDeployment = ({ organisations, ...rest }: Deployment): object =>
  ({ ...rest, organisations: organisations?.length === 0 ? [NOBODY] : organisations ?? [], organisationCount: organisations?.length ?? null })

const decodeDeployment = ({ organisationCount, organisations, ...rest }: z.output<typeof deploymentSchema>, { isKeyRequired }: AssumedState): Deployment => {
  const isListed = organisationCount === undefined ? organisations.length > 0 || isKeyRequired : organisationCount !== null
  return { ...rest, organisations: isListed ? organisations.slice(0, organisationCount ?? organisations.length) : null }
}

const encodeRevision = (revision: StoreRevision): Required<WireRevision> => ({ revision: revisionInEra(revision), era: eraOf(revision) })

const decodeRevision = ({ revision, era }: WireRevision, ownEra: number): StoreRevision => {
  const statedEra = era ?? ownEra
  if (!isStoreRevision(statedEra, revision)) throw new Error(`${statedEra}.${revision} is no revision of a store`)
  return storeRevision(statedEra, revision)
}
