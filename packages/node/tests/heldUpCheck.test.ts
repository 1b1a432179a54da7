/** Checks of a service while the process is held up; alone in its process, since it holds up all others there. */
import { once } from 'node:events'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'

import test from 'ava'

import { Readiness, storeRevision } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, Millis, RunnerId } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { ServiceChecks } from '../src/forward/relay/ServiceChecks.js'
import { silentLog } from './forwardFixture.js'

/** Longer than the timeout of a connection of a check. */
const LONG_TIME: Millis = 400

// Guards against a service that counts as unreachable, so that its requests are passed on or refused, because this process was held up during a check.
test('a server that has accepted the connection of a check during a hold-up is reached', async (t) => {
  const listener = createServer().listen(0, '127.0.0.1')
  t.teardown(() => { listener.close() })
  await once(listener, 'listening')
  const { port } = listener.address() as AddressInfo
  const clock = (): Millis => performance.now()
  const fleetState = new FleetState(silentLog(), clock)
  const failureDomain = 'd1' as FailureDomain
  const server: BackendServer = { id: 'i-1' as RunnerId, service: 's', address: `127.0.0.1:${port}`, failureDomain, slots: 4, readiness: Readiness.Ready, startedAt: 5 }
  const revision = storeRevision(1, 5)
  fleetState.replaceServers([{ server, revision }], revision, 'store')
  const checks = new ServiceChecks({ failureDomain, fleetState, log: silentLog(), clock, onServerUnreachable: () => {} })
  t.teardown(() => { checks.dispose() })
  checks.connectionFailed(server)
  // The connection is begun; the timers that have expired run next, before its result is read.
  await new Promise<void>((resolve) => { setImmediate(resolve) })
  const heldUntil = performance.now() + LONG_TIME
  while (performance.now() < heldUntil);
  await checks.settled('s')
  t.false(checks.isUnreachable('s'))
})
