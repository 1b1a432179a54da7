/**
 * A removed key is still accepted. All open channels to the store go silent without a reset, and new ones work; after the time of contact the operator
 * removes a key. Stale reads of the store are three seconds old, as the pages allow.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { HeaderName, StoreKey } from '@bluebellhill/platform'

import { BOUNDS, configuration, HOST, PORT, ZONES } from '../lib-2/Deployment.mjs'
import { send } from '../lib-2/Requester.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const NODES = 6
const RUNNERS = 3
const STALE_LAG_MS = 3_000

/** Time for which all nodes have been in touch again when the key is removed. */
const CONTACT_MARGIN_MS = 100

/** Period in which requests with the removed key are sent, from its acknowledgement. */
const ASKED_FOR_MS = 5_000
const ASK_PERIOD_MS = 40

const SERVICE = 'order-api'
const KEPT_KEY = 'n2ctnfzs989anu6wsjnb'
const REMOVED_KEY = 'q7wjnb4rz11apu2ctnfz'

const configurationOf = (version, keys, routes = ['status']) => configuration({
  version,
  routes: routes.map((name) => ({ name, prefix: `/${name}/`, type: 'safe', service: SERVICE, timeout_ms: 1_200, goal_ms: 150 })),
  services: [SERVICE],
  tenants: [{ name: 'hule930', keys }]
})

let requests = 0
const ask = async (fleet, node, key) => {
  const id = `r${String(requests++).padStart(6, '0')}`
  const headers = { host: HOST, [HeaderName.AttemptId]: id, [HeaderName.Deadline]: '1000', authorization: `Bearer ${key}` }
  const answer = await send({ host: node.host, port: PORT.callers, path: '/status/2f', headers, timeout: 1_500 })
  fleet.note(`requester: ${id} to ${node.name} with key ${key === REMOVED_KEY ? 'removed' : 'kept'}, sent ${answer.sentAt.toFixed(0)}, answered ${answer.status ?? answer.problem}`)
  return { id, node, ...answer }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  const { store, nodes } = fleet
  store.staleLagMs = STALE_LAG_MS
  await fleet.startStore()
  store.put(StoreKey.Configuration, configurationOf(11, [KEPT_KEY, REMOVED_KEY]))
  for (let index = 0; index < RUNNERS; index += 1) await fleet.addRunner(SERVICE, ZONES[index % ZONES.length])
  store.settle()
  await fleet.startNodes(NODES)
  await sleep(BOUNDS.contact_ms + 2_000)
  for (const node of nodes) for (const key of [KEPT_KEY, REMOVED_KEY]) if ((await ask(fleet, node, key)).status !== 200) throw new Error(`${node.name} does not serve a request`)

  // An ordinary change: a version with one more route, and one more runner.
  store.put(StoreKey.Configuration, configurationOf(14, [KEPT_KEY, REMOVED_KEY], ['status', 'stock']))
  await fleet.addRunner(SERVICE, ZONES[0])
  await sleep(300)

  if (hasTrouble) fleet.note(`${fleet.storeLink.silenceOpen()} open channels to the store go silent; new ones work`)
  await sleep(BOUNDS.contact_ms + CONTACT_MARGIN_MS)

  const removedAt = store.put(StoreKey.Configuration, configurationOf(19, [KEPT_KEY], ['status', 'stock']))
  fleet.note(`operator: version 19 without the key, acknowledged ${removedAt.toFixed(0)}`)
  const asked = []
  while (performance.now() < removedAt + ASKED_FOR_MS) {
    for (const node of nodes) asked.push(ask(fleet, node, REMOVED_KEY))
    await sleep(ASK_PERIOD_MS)
  }
  const answers = await Promise.all(asked)
  const late = answers.filter(({ id, sentAt }) => sentAt > removedAt + BOUNDS.config_apply_ms && fleet.hasRun(id))
  if (late.length === 0) return []
  const latest = Math.max(...late.map(({ sentAt }) => sentAt - removedAt))
  const count = new Set(late.map(({ node }) => node.name)).size
  return [`CONFIG: ${late.length} requests with the removed key ran that were sent more than ${BOUNDS.config_apply_ms} ms after the acknowledgement, at ${count} of ${nodes.length} nodes, the last ${latest.toFixed(0)} ms after it`]
})
