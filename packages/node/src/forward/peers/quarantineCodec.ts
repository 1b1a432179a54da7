/** Encodes the evidence on prompt parts that crash engines for other nodes, and decodes it. */
import type { CrashReport, Millis, NodeId, PartTrial, PromptPart, QuarantineFacts, RunnerId, ServerSurvival, SoundPart } from '@bluebellhill/domain'
import type { fleetWire } from '@bluebellhill/protocol'

/** Longest id of a part that is accepted from another node. */
const MAX_PART_LENGTH = 64

/** Bytes of the parts in one crash report; those that matter most come first. */
const MAX_PART_BYTES = 480

/** Bytes of the tag and the length in front of each part on the wire. */
const PART_FRAMING_BYTES = 2

/**
 * @param facts - the evidence
 * @param now - current time
 * @returns its wire form, with ages in place of times
 */
export const encodeFacts = ({ crashes, survivals, sounds, trials }: QuarantineFacts, now: Millis): fleetWire.QuarantineFacts => ({
  crashes: crashes.map((crash) => encodeCrash(crash, now)),
  survivals: survivals.map(({ server, startedAt, at }) => ({ server, serverStartedAt: BigInt(startedAt ?? 0), agoMs: ageOf(at, now) })),
  sound: sounds.map(({ part, at }) => ({ part, agoMs: ageOf(at, now) })),
  trials: trials.map(({ part, at, grantedBy }) => ({ part, agoMs: ageOf(at, now), grantedBy }))
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
  sounds: (wire?.sound ?? []).filter(({ part }) => isPart(part)).map(({ part, agoMs }): SoundPart => ({ part, at: now - agoMs })),
  trials: (wire?.trials ?? []).filter(({ part }) => isPart(part)).map(({ part, agoMs, grantedBy }): PartTrial => ({ part, at: now - agoMs, grantedBy: grantedBy as NodeId }))
})

/**
 * @param facts - evidence in wire form
 * @returns whether it contains nothing
 */
export const isEmptyWire = ({ crashes, survivals, sound, trials }: fleetWire.QuarantineFacts): boolean =>
  crashes.length + survivals.length + sound.length + trials.length === 0

const encodeCrash = ({ server, startedAt, reportedBy, at, suspects, parts }: CrashReport, now: Millis): fleetWire.EngineCrash =>
  ({ server, serverStartedAt: BigInt(startedAt ?? 0), reportedBy, agoMs: ageOf(at, now), suspects, parts: withinBytes(parts) })

const decodeCrash = ({ server, serverStartedAt, reportedBy, agoMs, suspects, parts }: fleetWire.EngineCrash, now: Millis): CrashReport =>
  ({ server: server as RunnerId, startedAt: startTimeOf(serverStartedAt), reportedBy: reportedBy as NodeId, at: now - agoMs, suspects, parts: parts.filter(isPart) })

const withinBytes = (parts: readonly PromptPart[]): PromptPart[] => {
  let bytes = 0
  return parts.filter((part) => {
    bytes += part.length + PART_FRAMING_BYTES
    return bytes <= MAX_PART_BYTES
  })
}

const isPart = (part: string): boolean => part !== '' && part.length <= MAX_PART_LENGTH

const startTimeOf = (wire: bigint): number | null => wire === 0n ? null : Number(wire)

const ageOf = (at: Millis, now: Millis): number => Math.max(0, Math.round(now - at))
