/** A configuration whose version is the least that there is. */
import test from 'ava'

import type { NodeId } from '@bluebellhill/domain'
import { HttpPool } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { ForwardMetrics } from '../src/forward/ForwardMetrics.js'
import { FleetStateExchange } from '../src/forward/peers/FleetStateExchange.js'
import type { FleetStateSource } from '../src/forward/peers/PeerLink.js'
import { DEPLOYMENT, silentLog } from './forwardFixture.js'
import { until } from './quarantineFixture.js'

/** First port of those that this test may use; the process id selects one. */
const PORTS_FROM = 21_000
const PORT_COUNT = 500

const REVISION = 7

// Guards against nodes that refuse all requests for good after a start: they had no configuration, and took its version 0 for what they have.
test('a node without a configuration fetches version 0 from another node', async (t) => {
  const port = PORTS_FROM + process.pid % PORT_COUNT
  const clock = (): number => performance.now()
  const http = new HttpPool(2)
  const openExchange = (fleetState: FleetState, peers: readonly FleetStateSource[]): FleetStateExchange =>
    new FleetStateExchange({ fleetState, http, log: silentLog(), metrics: new ForwardMetrics(), clock, failureDomain: 'd1', peers: () => peers, onRelayed: () => {} })
  const current = new FleetState(silentLog(), clock)
  current.install({ ...DEPLOYMENT, version: 0 }, 'store')
  current.replaceServers([], REVISION, 'store')
  const answering = openExchange(current, [])
  await answering.start('127.0.0.21', port)
  const starting = new FleetState(silentLog(), clock)
  // It has the list of servers already, which came without a configuration.
  starting.replaceServers([], REVISION, 'peer')
  const announced: FleetStateSource = { node: 'n1' as NodeId, address: `127.0.0.21:${port}`, failureDomain: 'd1', configurationVersion: 0, serversRevision: REVISION }
  const exchange = openExchange(starting, [announced])
  t.teardown(async () => {
    exchange.dispose()
    answering.dispose()
    await http.dispose()
  })
  t.true(starting.isBehind(announced))
  exchange.catchUp()
  await until(() => starting.routeTable !== null)
  t.is(starting.routeTable?.deployment.version, 0)
  t.false(starting.isBehind(announced))
})
