/** Encodes the record of a claim as JSON for the key-value service and decodes it. */
import { KeyState, OutcomeKind, Ran } from '@bluebellhill/domain'
import type { ClaimToken, KeyRecord } from '@bluebellhill/domain'
import { z } from 'zod'

const recordSchema = z.object({
  token: z.string().min(1).max(64).transform((text) => text as ClaimToken),
  owner: z.string().max(128),
  claimedAt: z.number(),
  timeLimit: z.number().min(0),
  body: z.string().max(128).nullable(),
  state: z.enum(KeyState),
  outcome: z.object({
    kind: z.enum(OutcomeKind),
    ran: z.enum(Ran),
    answer: z.string().nullable()
  }).nullable()
})

/** Replaces bytes that are not a valid record: the key counts as claimed, with an unknown outcome. */
const UNREADABLE_RECORD: KeyRecord = {
  token: 'unreadable' as ClaimToken,
  owner: 'unknown',
  claimedAt: 0,
  timeLimit: 0,
  body: null,
  state: KeyState.Unknown,
  outcome: null
}

/**
 * Encodes a record.
 *
 * @param record - a claim and its outcome
 * @returns JSON bytes
 */
export const encodeRecord = (record: KeyRecord): Buffer => Buffer.from(JSON.stringify(record), 'utf8')

/**
 * Decodes a record. Bytes that are not a valid record count as a claim with an unknown outcome, so that its request is not run.
 *
 * @param bytes - bytes from the store
 * @returns the record
 */
export const decodeRecord = (bytes: Buffer): KeyRecord => {
  try {
    const parsed = recordSchema.safeParse(JSON.parse(bytes.toString('utf8')))
    return parsed.success ? parsed.data : UNREADABLE_RECORD
  } catch {
    return UNREADABLE_RECORD
  }
}
