/** Computes upper bounds of encoded sizes, so that a datagram can be filled without encoding it. */
import type { GossipValue, Member } from './types.js'

const UPDATE_FIXED_BYTES = 28
const VALUE_FIXED_BYTES = 26

/**
 * @param member - update to send
 * @returns maximum number of bytes that the update takes in a datagram
 */
export const updateBytes = (member: Member): number =>
  UPDATE_FIXED_BYTES + member.node.length + member.failureDomain.length + member.peerAddress.length + member.gossipAddress.length

/**
 * @param value - value to send
 * @returns maximum number of bytes that the value takes in a datagram
 */
export const valueBytes = (value: GossipValue): number =>
  VALUE_FIXED_BYTES + value.node.length + value.topic.length + value.bytes.length
