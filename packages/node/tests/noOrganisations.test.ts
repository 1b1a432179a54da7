/** Who is let in by a configuration with an empty list of organisations, and by one without a list, whichever way a node gets it. */
import test from 'ava'

import type { Deployment } from '@bluebellhill/domain'

import { FleetState } from '../src/forward/FleetState.js'
import { decodeSnapshot, encodeSnapshot } from '../src/forward/peers/snapshotCodec.js'
import type { AssumedState } from '../src/forward/peers/snapshotCodec.js'
import { answers } from './callers.js'
import { DEPLOYMENT, ForwardFixture, silentLog } from './forwardFixture.js'

const EMPTY: Deployment = { ...DEPLOYMENT, version: 2, organisations: [] }
const NONE: Deployment = { ...DEPLOYMENT, version: 2, organisations: null }
const UNKNOWN: AssumedState = { era: 0, isKeyRequired: false }

const received = (body: string, own: AssumedState): Deployment['organisations'] | undefined => {
  const snapshot = decodeSnapshot(Buffer.from(body), own)
  return snapshot.ok ? snapshot.value.deployment?.organisations : undefined
}

/** What a node of an earlier build sends: no count, and an empty list in either case. */
const ofEarlierBuild = (deployment: Deployment): string => JSON.stringify({ deployment: { ...deployment, organisations: deployment.organisations ?? [] }, servers: null })

// Guards against a configuration without its last organisation that lets every caller in (review/8).
test('no caller is let in once the last organisation is gone, and all are if the configuration has no organisations', async (t) => {
  const fixture = await ForwardFixture.start(t, answers)
  t.is((await fixture.call('/patient/x')).status, 200)
  fixture.fleetState.install(EMPTY, 'store')
  t.is((await fixture.call('/patient/x')).status, 401)
  t.is((await fixture.call('/patient/x', { headers: { authorization: 'Bearer never-known' } })).status, 401)
  fixture.fleetState.install({ ...NONE, version: 3 }, 'store')
  t.is((await fixture.call('/patient/x', { headers: { authorization: 'Bearer never-known' } })).status, 200)
})

test('a node that gets the configuration from another one sees the same', (t) => {
  for (const deployment of [EMPTY, NONE, DEPLOYMENT, { ...EMPTY, organisations: [{ name: '', apiKeys: [], priority: null }] }]) {
    const source = new FleetState(silentLog(), () => 0)
    source.install(deployment, 'store')
    const body = encodeSnapshot(source.changesSince({ configuration: 0, servers: 0 }))
    for (const isKeyRequired of [true, false]) t.deepEqual(received(body, { era: 0, isKeyRequired }), deployment.organisations)
  }
})

test('nodes of earlier builds get an organisation without keys for an empty list, which they would take for none', (t) => {
  const sent = (deployment: Deployment): unknown[] => (JSON.parse(encodeSnapshot({ deployment, servers: null })) as { deployment: { organisations: unknown[] } }).deployment.organisations
  t.like(sent(EMPTY), [{ apiKeys: [] }])
  t.deepEqual(sent(NONE), [])
})

test('an empty list of an earlier build opens no route of a node that requires keys', (t) => {
  t.deepEqual(received(ofEarlierBuild(EMPTY), { ...UNKNOWN, isKeyRequired: true }), [])
  t.is(received(ofEarlierBuild(NONE), UNKNOWN), null)
  t.deepEqual(received(ofEarlierBuild(DEPLOYMENT), UNKNOWN), DEPLOYMENT.organisations)
})
