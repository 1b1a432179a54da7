/**
 * A configuration without its last tenant opens every route. The operator removes the only tenant, and with it the only key; requests with the removed
 * key, and with a key that no configuration ever held, are sent to each node.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { HeaderName, StoreKey } from '@bluebellhill/platform'

import { BOUNDS, configuration, HOST, PORT, ZONES } from '../lib-2/Deployment.mjs'
import { send } from '../lib-2/Requester.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const NODES = 3
const SERVICE = 'order-api'
const HELD_KEY = 'n2ctnfzs989anu6wsjnb'
const FOREIGN_KEY = 'zzzzzzzzzzzzzzzzzzzz'

const LEAD_MS = 3_000

/** Time after the acknowledgement from which requests are sent: well beyond the bound. */
const ASKED_AFTER_MS = 2 * BOUNDS.config_apply_ms
const ASKED_TIMES = 5
const ASK_PERIOD_MS = 200

const configurationOf = (version, tenants) => configuration({
  version,
  tenants,
  services: [SERVICE],
  routes: [{ name: 'order', prefix: '/order/', type: 'unsafe', service: SERVICE, timeout_ms: 2_000, goal_ms: 386 }]
})

let requests = 0
const ask = async (fleet, node, key) => {
  const id = `r${String(requests++).padStart(5, '0')}`
  const headers = { host: HOST, [HeaderName.AttemptId]: id, [HeaderName.Deadline]: '2000', authorization: `Bearer ${key}` }
  const answer = await send({ host: node.host, port: PORT.callers, method: 'POST', path: '/order/2f', headers, body: 'order', timeout: 3_000 })
  const tenant = fleet.ledger.find((line) => line.kind === 'run' && line.id === id)?.tenant
  fleet.note(`requester: ${id} to ${node.name} with the ${key === HELD_KEY ? 'tenant\'s' : 'foreign'} key, answered ${answer.status ?? answer.problem}${tenant === undefined ? '' : `, ran for tenant ${tenant}`}`)
  return { id, key, ...answer }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.startStore()
  fleet.store.put(StoreKey.Configuration, configurationOf(11, [{ name: 'hule930', keys: [HELD_KEY] }]))
  for (const zone of ZONES) await fleet.addRunner(SERVICE, zone)
  fleet.store.settle()
  await fleet.startNodes(NODES)
  await sleep(LEAD_MS)
  for (const node of fleet.nodes) {
    if ((await ask(fleet, node, HELD_KEY)).status !== 200) throw new Error(`${node.name} does not serve the tenant`)
    if ((await ask(fleet, node, FOREIGN_KEY)).status !== 401) throw new Error(`${node.name} knows a foreign key`)
  }
  if (hasTrouble) {
    fleet.store.put(StoreKey.Configuration, configurationOf(14, []))
    fleet.note('operator: version 14 without the tenant')
  }
  await sleep(ASKED_AFTER_MS)
  const answers = []
  for (let time = 0; time < ASKED_TIMES; time += 1) {
    for (const node of fleet.nodes) answers.push(await ask(fleet, node, FOREIGN_KEY))
    if (hasTrouble) for (const node of fleet.nodes) answers.push(await ask(fleet, node, HELD_KEY))
    await sleep(ASK_PERIOD_MS)
  }
  const run = (key) => answers.filter((answer) => answer.key === key && fleet.hasRun(answer.id)).length
  const broken = []
  if (run(FOREIGN_KEY) > 0) broken.push(`ROUTE: ${run(FOREIGN_KEY)} of ${answers.filter(({ key }) => key === FOREIGN_KEY).length} requests ran with a key that no configuration ever held`)
  if (run(HELD_KEY) > 0) broken.push(`CONFIG: ${run(HELD_KEY)} requests ran with the dropped key, sent ${ASKED_AFTER_MS} ms and more after the acknowledgement`)
  return broken
})
