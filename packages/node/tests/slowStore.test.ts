import { createSocket } from 'node:dgram'
import { once } from 'node:events'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { StoreKey } from '@bluebellhill/platform'

import { firstPortOf, startNodes, startStore, timeUntilKnown } from './silentStore.js'

/** Longer than the usual timeout of a call. */
const SLOW_ANSWER = 1_500

/** A third of the time that the users' pages allow for a recovery. */
const STARTED_WITHIN = 5_000

const OTHER_HOST = '127.0.1.9'

// Guards against a node that never starts while the store is slow: it gave up each call just before its answer, and called again.
test.serial('a node starts although each answer of the store takes longer than the usual timeout', async (t) => {
  const firstPort = firstPortOf(2)
  const store = await startStore(t, firstPort)
  store.latencyMs = SLOW_ANSWER
  const nodes = await startNodes(t, 1, firstPort)
  t.true(await timeUntilKnown(nodes, 'configuration.installed', 'version=1') < STARTED_WITHIN)
  t.true(await timeUntilKnown(nodes, 'server.arrived', 'server=old') < STARTED_WITHIN)
})

// Guards against a node that finds no others while the store is slow, and places requests without them.
test.serial('a node reports to the others although each answer of the store takes longer than the usual timeout', async (t) => {
  const firstPort = firstPortOf(3)
  const store = await startStore(t, firstPort)
  const other = createSocket('udp4')
  t.teardown(() => { other.close() })
  other.bind(firstPort + 2, OTHER_HOST)
  await once(other, 'listening')
  store.put(`${StoreKey.Nodes}other`, `${OTHER_HOST}:${firstPort + 2}:d9:1`)
  store.latencyMs = SLOW_ANSWER
  const report = once(other, 'message').then(() => 'reported')
  await startNodes(t, 1, firstPort)
  t.is(await Promise.race([report, sleep(STARTED_WITHIN, 'silent')]), 'reported')
})
