/** Packs updates and values into datagrams. */
import { ENVELOPE_BYTES, MAX_DATAGRAM_BYTES } from './constants.js'
import { updateBytes, valueBytes } from './messageSize.js'
import type { GossipBody, GossipValue, Member } from './types.js'

/** Bytes of a datagram that are available for updates and values. */
export const CONTENT_CAPACITY_BYTES = MAX_DATAGRAM_BYTES - ENVELOPE_BYTES

const DIGEST_WORD_BYTES = 4

/** Updates and values of one datagram. */
export interface Batch {
  readonly updates: Member[]
  readonly values: GossipValue[]
}

/**
 * @param body - body of a message
 * @returns bytes that the body takes in addition to the envelope
 */
export const bodyBytes = (body: GossipBody): number =>
  body.type === 'digest' ? DIGEST_WORD_BYTES * (body.members.length + body.values.length) : 0

/**
 * @param members - members to send
 * @param values - values to send
 * @returns the contents of as few datagrams as can carry them all in order
 */
export const packDatagrams = (members: readonly Member[], values: readonly GossipValue[]): Batch[] => {
  const batches: Batch[] = []
  let remainingBytes = 0
  let batch: Batch = { updates: [], values: [] }
  const batchWithRoom = (size: number): Batch => {
    if (size > remainingBytes) {
      batch = { updates: [], values: [] }
      batches.push(batch)
      remainingBytes = CONTENT_CAPACITY_BYTES
    }
    remainingBytes -= size
    return batch
  }
  for (const member of members) batchWithRoom(updateBytes(member)).updates.push(member)
  for (const value of values) batchWithRoom(valueBytes(value)).values.push(value)
  return batches
}
