/** The stand-in of the store refuses and delays calls as the tests ask it to. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { MetadataStore, StoreKey } from '@bluebellhill/platform'
import { StoreStandin } from '@bluebellhill/platform-standin'
import { HttpPool } from '@bluebellhill/services'

/** Address that no other process of the tests uses. */
const HOST = `127.47.${process.pid % 200}.1`
const LIMITED_STORE_PORT = 8_068
const SLOW_STORE_PORT = 8_069
const TIMEOUT = 5_000

const start = async (t: ExecutionContext, port: number): Promise<{ readonly standin: StoreStandin, readonly store: MetadataStore }> => {
  const standin = new StoreStandin()
  await standin.start(HOST, port)
  const http = new HttpPool(1)
  t.teardown(async () => {
    await http.dispose()
    standin.dispose()
  })
  return { standin, store: new MetadataStore({ address: `${HOST}:${port}`, http, timeout: TIMEOUT }) }
}

test('the store refuses the calls of a second beyond its limits, and counts them', async (t) => {
  const { standin, store } = await start(t, LIMITED_STORE_PORT)
  standin.limits = { reads: 0, writes: 1 }
  const refused = await store.range(StoreKey.Operator)
  t.like(refused, { ok: false, failure: { type: 'rejected', status: 429 } })
  standin.limits = null
  t.true((await store.range(StoreKey.Operator)).ok)
  t.deepEqual(standin.calls, { reads: 2, writes: 0, refused: 1 })
})

test('the store executes a call after its latency', async (t) => {
  const { standin, store } = await start(t, SLOW_STORE_PORT)
  standin.latencyMs = 80
  const from = performance.now()
  t.true((await store.range(StoreKey.Operator)).ok)
  t.true(performance.now() - from >= standin.latencyMs - 1)
})
