/** Nodes that reach no backend server, beside others that do, for tests. */
import type { ExecutionContext } from 'ava'

import type { FailureDomain, NodeId } from '@bluebellhill/domain'

import { ForwardFixture } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { until } from './quarantineFixture.js'
import { refusingPorts } from './unreachablePorts.js'

/** Tells a node of another one. */
export const addPeer = (cut: ForwardFixture, address: string, node = 'n2', failureDomain = 'd1'): void => {
  cut.directory.add({ node: node as NodeId, address, failureDomain: failureDomain as FailureDomain, processor: 1 })
}

/** A node that has noticed that it reaches no server, beside another one whose servers follow the script. */
export const startNoticed = async (t: ExecutionContext, script: Script, servers = 1): Promise<{ cut: ForwardFixture, peer: ForwardFixture }> => {
  const peer = await ForwardFixture.start(t, ...Array.from({ length: servers }, () => script))
  const cut = await startUnreachable(t)
  addPeer(cut, await peer.listenToNodes())
  return { cut, peer }
}

/** A node that has noticed that it reaches no server. */
export const startUnreachable = async (t: ExecutionContext): Promise<ForwardFixture> => {
  const cut = await ForwardFixture.startWithPorts(t, await refusingPorts(2))
  await cut.call('/safe/first')
  await until(() => cut.relay.checks.isUnreachable('s'))
  return cut
}
