import { once } from 'node:events'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import type { Millis, NodeId } from '@bluebellhill/domain'
import { MetadataStore } from '@bluebellhill/platform'
import { HttpPool } from '@bluebellhill/services'

import { FleetState } from '../src/forward/FleetState.js'
import { StoreAvailability } from '../src/forward/store/StoreAvailability.js'
import { StoreProbe } from '../src/forward/store/StoreProbe.js'
import { silentLog } from './forwardFixture.js'

/** Longer than the timeout of a probe. */
const LONG_TIME: Millis = 1_200

const holdUp = (time: Millis): void => {
  const until = performance.now() + time
  while (performance.now() < until) { /* nothing else runs */ }
}

// Guards against a store that counts as lost although its answer waits to be read, because this process was held up.
test('an answer to a probe that has arrived while the process was held up is read', async (t) => {
  let calls = 0
  const server = createServer((_, response) => {
    calls += 1
    const answer = (): void => { response.writeHead(200, { 'content-type': 'application/json' }).end('{"items":[],"has_more":false,"at":1}') }
    if (calls !== 2) {
      answer()
      return
    }
    // Timers are run next after this callback.
    setImmediate(() => {
      answer()
      holdUp(LONG_TIME)
    })
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const http = new HttpPool(2)
  const clock = (): Millis => performance.now()
  const store = new MetadataStore({ address: `127.0.0.1:${(server.address() as AddressInfo).port}`, http, timeout: 1_000 })
  let losses = 0
  const availability = new StoreAvailability(new FleetState(silentLog(), clock), silentLog(), clock, () => { losses += 1 })
  const probe = new StoreProbe({ store, node: 'n1' as NodeId, availability, clock, changeBound: 2_000, isStoreWatcher: () => true, onSilent: () => {}, onRevision: () => {} })
  t.teardown(async () => {
    probe.dispose()
    server.closeAllConnections()
    server.close()
    await http.dispose()
  })
  probe.start()
  // The second probe is held up; by then a third one has been sent, or the store counts as lost.
  await sleep(3 * LONG_TIME)
  t.is(losses, 0)
})
