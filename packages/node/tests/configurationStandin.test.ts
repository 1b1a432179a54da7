import test from 'ava'
import { setTimeout as sleep } from 'node:timers/promises'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import type { ConfigurationValue, EditId, FailureDomain, NodeId, ValueVersion } from '@bluebellhill/domain'
import { ConfigurationStore, FLEET_VALUE_NAME, HttpKeyValueService, HttpPool } from '@bluebellhill/services'

import { startStandin } from '../bench/standinProcess.js'
import { ConfigurationPeers, ConfigurationService } from '../src/configuration/index.js'
import type { ConfigurationMember, ConfigurationReport } from '../src/configuration/index.js'

const LIMIT_MS = 60_000

/** Peers of a node that is alone in the fleet, so that it gets every value from the store. */
class NoPeers extends ConfigurationPeers {
  override members (): readonly ConfigurationMember[] {
    return [{ node: 'n' as NodeId, failureDomain: 'd' as FailureDomain }]
  }

  override async versions (): Promise<readonly ValueVersion[] | null> {
    return null
  }

  override async values (): Promise<readonly ConfigurationValue[]> {
    return []
  }

  override async push (): Promise<void> {}
}

const until = async (condition: () => boolean | Promise<boolean>): Promise<boolean> => {
  for (const end = Date.now() + LIMIT_MS; Date.now() < end; await sleep(20)) {
    if (await condition()) return true
  }
  return false
}

const fleet = (name: string): string => `kind: fleet\nmodels: [{name: ${name}, versions: [{name: v1}], current: v1}]\n`

test('a node keeps the newest configuration while the store is restored to an older state, serves stale reads and is unavailable', async (t) => {
  const standin = await startStandin('key-value')
  const pool = new HttpPool()
  const store = new ConfigurationStore(new HttpKeyValueService(pool, [standin.address]))
  const reports: ConfigurationReport[] = []
  const service = new ConfigurationService({
    node: 'n' as NodeId,
    failureDomain: 'd' as FailureDomain,
    store,
    peers: new NoPeers(),
    rng: xoroshiro128plus(1),
    wallClock: Date.now,
    report: (report) => reports.push(report)
  })
  t.teardown(async () => {
    service.dispose()
    await pool.dispose()
    standin.stop()
  })
  await service.start()
  const edit = async (name: string): Promise<string> =>
    (await store.edit({ name: FLEET_VALUE_NAME, edit: name as EditId, author: 'test', text: fleet(name), expected: null, minRevision: 0 }, Date.now())).type
  const has = (name: string): boolean => service.current?.model(name) != null
  const stored = async (): Promise<string | undefined> => {
    const read = await store.read(FLEET_VALUE_NAME)
    return read.ok ? read.value?.value?.edit : undefined
  }

  t.is(await edit('one'), 'accepted')
  t.true(await until(() => has('one')))
  const { revision } = await standin.ledger() as { revision: number }
  t.is(await edit('two'), 'accepted')
  t.true(await until(() => has('two')))

  await standin.setFaults({ restoreTo: revision })
  t.true(await until(async () => await stored() === 'two'))
  t.true(has('two'))

  await standin.setFaults({ staleRevisions: 1, unavailable: true })
  t.true(await until(() => reports.some((report) => report.type === 'store' && !report.available)))
  await standin.setFaults({ unavailable: false })
  t.true(await until(() => reports.filter((report) => report.type === 'store').at(-1)?.available === true))
  t.is(await edit('three'), 'accepted')
  t.true(await until(() => has('three')))
  t.is(await stored(), 'three')
  t.deepEqual(reports.flatMap((report) => report.type === 'installed' ? [report.value.edit] : []), ['one', 'two', 'three'] as EditId[])
})
