// Rule BUDGET: a request that ends its runners comes again for ever, since runners that are back under their ids refute their own crashes.
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { BOUNDS, Deployment } from '../lib/Deployment.mjs'
import { CONFIGURATION, HOST } from '../lib/keptChannels.mjs'
import { hasTrouble, Record, runCase } from '../lib/Record.mjs'
import { send } from '../lib/Requester.mjs'
import { Runner } from '../lib/Runner.mjs'

const DEADLY_PATH = '/stock/deadly'
const RUNNERS = 3
const TRAFFIC_MS = 25_000
const DEADLY_GAP_MS = 400
const CHANNELS_PER_NODE = 4
const SOUND_GAP_MS = 60

/** Time for which a runner is down. Its entry is written as soon as it is back. */
const DOWN_MS = 2_500

/** Requests that may reach runners later than `contact_ms` after the third crash. */
const MOST_AFTER = 3

const record = new Record(import.meta.dirname)
const deployment = new Deployment(record)
const crashes = []
const lost = []

const crash = async (runner, id) => {
  crashes.push(performance.now())
  record.write('runner', `${runner.id} is ended by ${id}, crash ${crashes.length}`)
  runner.crash()
  await sleep(DOWN_MS)
  await runner.restart()
  deployment.register(runner)
  record.write('store', `entry of ${runner.id} with its new start`)
}

const sendSound = async (node, name, until) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let count = 0; performance.now() < until; count += 1) {
    const exchange = await send(record, node, { host: HOST, path: `/stock/${name}-${count}`, body: 'x'.repeat(600), deadlineMs: 3_000, agent })
    if (exchange.status !== 200) lost.push(exchange)
    await sleep(SOUND_GAP_MS)
  }
  agent.destroy()
}

await runCase(record, deployment, async () => {
  const runners = Array.from({ length: RUNNERS }, () => new Runner({ service: 'order-api', slots: 6, workMs: 60, ...(hasTrouble ? { deadlyPath: DEADLY_PATH, onDeadly: (runner, id) => { crash(runner, id) } } : {}) }))
  await deployment.start(CONFIGURATION, runners, 3)
  await sleep(2_000)
  const until = performance.now() + TRAFFIC_MS
  const sound = deployment.nodes.flatMap((node) => Array.from({ length: CHANNELS_PER_NODE }, (_, index) => sendSound(node, `${node.name}-${index}`, until)))
  await sleep(2_000)
  for (let count = 0; performance.now() < until; count += 1) {
    await send(record, deployment.nodes[count % 3], { host: HOST, path: DEADLY_PATH, body: 'always the same', deadlineMs: 3_000 })
    await sleep(DEADLY_GAP_MS)
  }
  await Promise.all(sound)
  const third = crashes[2] ?? Infinity
  const late = crashes.filter((at) => at > third + BOUNDS.contact_ms)
  record.write('case', `${crashes.length} crashes, ${late.length} requests reached runners later than ${BOUNDS.contact_ms} ms after the third; ${lost.length} sound requests were not served, ${lost.filter(({ status }) => status === 502).length} of them after they had been passed on`)
  return late.length <= MOST_AFTER ? [] : late.map((at) => `BUDGET: a request that had ended three runners reached one ${Math.round(at - third)} ms after the third crash`)
})
