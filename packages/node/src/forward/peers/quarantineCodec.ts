/** Encodes the evidence on what crashes backend servers for other nodes, and decodes it. */
import { isRequest } from '@bluebellhill/domain'
import type { CrashReport, Millis, NodeId, Trial, QuarantineFacts, RunnerId, ServerSurvival, SoundAnswer, Suspect } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

import { toAge, toUint32, toUint64 } from './wireNumbers.js'

/** Longest id of a suspect that is accepted from another node. */
const MAX_PART_LENGTH = 64

/** Bytes of the parts in one crash report; those that matter most come first. */
const MAX_PART_BYTES = 480

/** Bytes of the requests in one crash report, in the same way; they take no room from the parts. */
const MAX_REQUEST_BYTES = 240

/** Bytes of the tag and the length in front of each part on the wire. */
const PART_FRAMING_BYTES = 2

/**
 * @param facts - the evidence
 * @param now - current time
 * @returns its wire form, with ages in place of times
 */
export const encodeFacts = ({ crashes, survivals, sounds, trials, recurrences = [] }: QuarantineFacts, now: Millis): fleetWire.QuarantineFacts => ({
  crashes: crashes.map((crash) => encodeCrash(crash, now)),
  survivals: survivals.map(({ server, startedAt, at }) => ({ server, serverStartedAt: toUint64(startedAt ?? 0), agoMs: toAge(at, now) })),
  sound: sounds.map(({ part, at, service }) => ({ part, agoMs: toAge(at, now), service: service ?? '' })),
  trials: trials.map(({ part, at, grantedBy }) => ({ part, agoMs: toAge(at, now), grantedBy })),
  recurrences: recurrences.map(({ part, at }) => ({ part, agoMs: toAge(at, now) }))
})

/**
 * @param wire - received evidence; undefined from nodes of earlier builds
 * @param now - time of its arrival
 * @returns the evidence, on the clock of this node; facts that name nothing are left out
 */
export const decodeFacts = (wire: fleetWire.QuarantineFacts | undefined, now: Millis): QuarantineFacts => ({
  crashes: (wire?.crashes ?? []).filter(({ server, reportedBy }) => server !== '' && reportedBy !== '').map((crash) => decodeCrash(crash, now)),
  survivals: (wire?.survivals ?? []).filter(({ server }) => server !== '').map((survival): ServerSurvival =>
    ({ server: survival.server as RunnerId, startedAt: startTimeOf(survival.serverStartedAt), at: now - survival.agoMs })),
  sounds: (wire?.sound ?? []).filter(({ part, service }) => isSuspect(part) || (part === '' && service !== '')).map(({ part, agoMs, service }): SoundAnswer =>
    ({ part, at: now - agoMs, ...serviceOf(service) })),
  trials: (wire?.trials ?? []).filter(({ part }) => isSuspect(part)).map(({ part, agoMs, grantedBy }): Trial => ({ part, at: now - agoMs, grantedBy: grantedBy as NodeId })),
  ...recurrencesOf(wire, now)
})

const recurrencesOf = (wire: fleetWire.QuarantineFacts | undefined, now: Millis): Pick<QuarantineFacts, 'recurrences'> => {
  const known = (wire?.recurrences ?? []).filter(({ part }) => isSuspect(part))
  return known.length === 0 ? {} : { recurrences: known.map(({ part, agoMs }) => ({ part, at: now - agoMs })) }
}

/**
 * @param facts - evidence in wire form
 * @returns whether it contains nothing
 */
export const isEmptyWire = ({ crashes, survivals, sound, trials, recurrences }: fleetWire.QuarantineFacts): boolean =>
  crashes.length + survivals.length + sound.length + trials.length + recurrences.length === 0

const encodeCrash = ({ server, startedAt, service, reportedBy, at, suspects, parts }: CrashReport, now: Millis): fleetWire.EngineCrash => ({
  server,
  serverStartedAt: toUint64(startedAt ?? 0),
  service: service ?? '',
  reportedBy,
  agoMs: toAge(at, now),
  suspects: toUint32(suspects),
  parts: [...withinBytes(parts.filter((part) => !isRequest(part)), MAX_PART_BYTES), ...withinBytes(parts.filter(isRequest), MAX_REQUEST_BYTES)]
})

const decodeCrash = ({ server, serverStartedAt, service, reportedBy, agoMs, suspects, parts }: fleetWire.EngineCrash, now: Millis): CrashReport => ({
  server: server as RunnerId,
  startedAt: startTimeOf(serverStartedAt),
  ...serviceOf(service),
  reportedBy: reportedBy as NodeId,
  at: now - agoMs,
  suspects,
  parts: parts.filter(isSuspect)
})

const serviceOf = (service: string): Pick<SoundAnswer, 'service'> => service === '' ? {} : { service }

const withinBytes = (suspects: readonly Suspect[], limit: number): Suspect[] => {
  let bytes = 0
  return suspects.filter((suspect) => {
    bytes += suspect.length + PART_FRAMING_BYTES
    return bytes <= limit
  })
}

const isSuspect = (part: string): boolean => part !== '' && part.length <= MAX_PART_LENGTH

const startTimeOf = (wire: bigint): number | null => wire === 0n ? null : Number(wire)
