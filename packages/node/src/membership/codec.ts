/** Encodes gossip messages as Protocol Buffers and decodes them. */
import { gossipWire } from '@bluebellhill/protocol'
import { assertNever, MemberState, ValueScope } from '@bluebellhill/domain'
import type { FailureDomain, GossipBody, GossipMessage, GossipValue, Member, NodeId } from '@bluebellhill/domain'

/** The index of a state is its number in the encoded message. */
const STATES_BY_WIRE_NUMBER: readonly MemberState[] = [MemberState.Alive, MemberState.Suspect, MemberState.Unreachable, MemberState.Left]

/** The index of a scope is its number in the encoded message. */
const SCOPES_BY_WIRE_NUMBER: readonly ValueScope[] = [ValueScope.Subscribers, ValueScope.FailureDomain, ValueScope.Fleet]

type WireBody = gossipWire.GossipDatagram['body']

const encodeBody = (body: GossipBody): WireBody => {
  switch (body.type) {
    case 'ping': return { $case: 'ping', value: { sequence: body.sequence, target: body.target } }
    case 'ping_request': return { $case: 'pingRequest', value: { sequence: body.sequence, target: body.target } }
    case 'ack': return { $case: 'ack', value: { sequence: body.sequence } }
    case 'nack': return { $case: 'nack', value: { sequence: body.sequence } }
    case 'push': return { $case: 'push', value: {} }
    case 'sync': return { $case: 'sync', value: {} }
    case 'join': return { $case: 'join', value: {} }
    case 'digest': return { $case: 'digest', value: { members: [...body.members], values: [...body.values], reply: body.reply } }
    default: return assertNever(body)
  }
}

const decodeBody = (body: WireBody): GossipBody => {
  switch (body?.$case) {
    case 'ping': return { type: 'ping', sequence: body.value.sequence, target: body.value.target as NodeId }
    case 'pingRequest': return { type: 'ping_request', sequence: body.value.sequence, target: body.value.target as NodeId }
    case 'ack': return { type: 'ack', sequence: body.value.sequence }
    case 'nack': return { type: 'nack', sequence: body.value.sequence }
    case 'push': return { type: 'push' }
    case 'sync': return { type: 'sync' }
    case 'join': return { type: 'join' }
    case 'digest': return { type: 'digest', members: body.value.members, values: body.value.values, reply: body.value.reply }
    case undefined: throw new RangeError('gossip datagram has no body')
    default: return assertNever(body)
  }
}

const encodeMember = (member: Member): gossipWire.MemberUpdate => ({
  node: member.node,
  failureDomain: member.failureDomain,
  peerAddress: member.peerAddress,
  gossipAddress: member.gossipAddress,
  state: STATES_BY_WIRE_NUMBER.indexOf(member.state),
  leaving: member.leaving,
  incarnation: member.incarnation,
  startedAt: BigInt(member.startedAt)
})

const decodeMember = (update: gossipWire.MemberUpdate): Member => {
  const state = STATES_BY_WIRE_NUMBER[update.state]
  if (state === undefined || update.node === '') throw new RangeError(`member update has an empty node name or an unknown state: node "${update.node}", state ${update.state}`)
  return {
    node: update.node as NodeId,
    failureDomain: update.failureDomain as FailureDomain,
    peerAddress: update.peerAddress,
    gossipAddress: update.gossipAddress,
    state,
    leaving: update.leaving,
    incarnation: update.incarnation,
    startedAt: Number(update.startedAt)
  }
}

const encodeValue = (value: GossipValue): gossipWire.GossipValue => ({
  node: value.node,
  topic: value.topic,
  scope: SCOPES_BY_WIRE_NUMBER.indexOf(value.scope),
  durable: value.durable,
  startedAt: BigInt(value.startedAt),
  version: value.version,
  contents: value.bytes
})

const decodeValue = (value: gossipWire.GossipValue): GossipValue => {
  const scope = SCOPES_BY_WIRE_NUMBER[value.scope]
  if (scope === undefined || value.node === '') throw new RangeError(`gossip value has an empty node name or an unknown scope: node "${value.node}", scope ${value.scope}`)
  return {
    node: value.node as NodeId,
    topic: value.topic,
    scope,
    durable: value.durable,
    startedAt: Number(value.startedAt),
    version: value.version,
    bytes: new Uint8Array(value.contents)
  }
}

/**
 * @param message - message to send
 * @returns the encoded message, without an authentication tag
 */
export const encodeGossip = (message: GossipMessage): Uint8Array =>
  gossipWire.GossipDatagram.encode({
    sender: message.sender,
    body: encodeBody(message.body),
    updates: message.updates.map(encodeMember),
    values: message.values.map(encodeValue)
  }).finish()

/**
 * @param bytes - contents of a datagram whose tag was verified
 * @returns the message
 * @throws Error if the contents are not a gossip message
 */
export const decodeGossip = (bytes: Uint8Array): GossipMessage => {
  const datagram = gossipWire.GossipDatagram.decode(bytes)
  return {
    sender: datagram.sender as NodeId,
    body: decodeBody(datagram.body),
    updates: datagram.updates.map(decodeMember),
    values: datagram.values.map(decodeValue)
  }
}
