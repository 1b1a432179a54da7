/** Orders at a dispatcher that accepts connections and answers nothing, as a paused process does. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo, Socket } from 'node:net'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { MemberState } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, FailureDomain, Member, NodeId, OrganisationId, RequestId, Router } from '@bluebellhill/domain'
import { HybridClock } from '@bluebellhill/protocol'

import { TimeLine } from '../src/index.js'
import { RoutedDispatchClient } from '../src/dispatch/RoutedDispatchClient.js'
import type { DispatchClientDependencies } from '../src/dispatch/RoutedDispatchClient.js'
import type { MembershipListener, MembershipService } from '../src/membership/index.js'
import { PeerAuthenticator } from '../src/peers/PeerAuthenticator.js'
import { PeerClients } from '../src/peers/PeerClients.js'

const OWN = 'n1' as NodeId
const DISPATCHER = 'n2' as NodeId
const DOMAIN = 'd1' as FailureDomain

/** Time until the deadline of the order; long after the end of a call to a dispatcher that is known to be lost. */
const REMAINING_MS = 5_000

const ORDER: DispatchOrder = {
  attempt: 'r1.1' as AttemptId,
  request: 'r1' as RequestId,
  entry: OWN,
  organisation: 'o' as OrganisationId,
  model: 'm',
  version: null,
  adapter: null,
  urgency: 0,
  promptTokens: 1,
  maxTokens: 0,
  prefix: [],
  remaining: REMAINING_MS,
  excluded: []
}

const memberAt = (node: NodeId, peerAddress: string, state: MemberState): Member =>
  ({ node, failureDomain: DOMAIN, peerAddress, gossipAddress: peerAddress, state, leaving: false, incarnation: 0, startedAt: 0 })

/** Starts a server that accepts connections; `connected` resolves at the first one. */
const startSilentServer = async (t: ExecutionContext): Promise<{ address: string, connected: Promise<unknown> }> => {
  const sockets = new Set<Socket>()
  const server = createServer((socket) => sockets.add(socket.on('error', () => {})))
  const connected = once(server, 'connection')
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  t.teardown(() => {
    for (const socket of sockets) socket.destroy()
    server.close()
  })
  return { address: `127.0.0.1:${(server.address() as AddressInfo).port}`, connected }
}

const openClient = (t: ExecutionContext, address: string, state: MemberState): { client: RoutedDispatchClient, changeState: (changed: MemberState) => void } => {
  const listeners = new Set<MembershipListener>()
  let dispatcher = memberAt(DISPATCHER, address, state)
  const own = memberAt(OWN, '127.0.0.1:1', MemberState.Alive)
  const membership = {
    me: () => own,
    members: () => [own, dispatcher],
    callFailed: () => {},
    onChange: (listener: MembershipListener) => listeners.add(listener)
  } as unknown as MembershipService
  const clients = new PeerClients(new PeerAuthenticator(['secret'], Date.now))
  t.teardown(() => clients.dispose())
  const router = { choose: () => DISPATCHER } as unknown as Router
  const views = { states: () => [] } as unknown as DispatchClientDependencies['views']
  const unused = {} as never
  const timeLine = new TimeLine(OWN, new HybridClock(Date.now))
  const client = new RoutedDispatchClient({ router, views, membership, directory: unused, dispatcher: unused, clients, timeLine, onUnservedModel: () => {} })
  const changeState = (changed: MemberState): void => {
    const previous = dispatcher.state
    dispatcher = memberAt(DISPATCHER, address, changed)
    for (const listener of listeners) listener({ type: 'member_changed', member: dispatcher, previous, reason: 'test' })
  }
  return { client, changeState }
}

test('an order at a dispatcher that becomes unreachable is lost at once, and not at its deadline', async (t) => {
  const { address, connected } = await startSilentServer(t)
  const { client, changeState } = openClient(t, address, MemberState.Alive)
  const result = client.acquire(ORDER, [], new AbortController().signal)
  await connected
  changeState(MemberState.Suspect)
  changeState(MemberState.Unreachable)
  t.deepEqual(await result, { type: 'lost', dispatcher: DISPATCHER, reason: 'the dispatcher became unreachable' })
})

test('an order is not sent to a dispatcher that is unreachable already', async (t) => {
  const { address } = await startSilentServer(t)
  const { client } = openClient(t, address, MemberState.Unreachable)
  t.deepEqual(await client.acquire(ORDER, [], new AbortController().signal), { type: 'lost', dispatcher: DISPATCHER, reason: 'no live member to send the order to' })
})
