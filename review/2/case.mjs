// Rule LOST: an entry of another writer, whose address is none, ends the nodes by themselves, with the requests that they have passed on.
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { Deployment } from '../lib/Deployment.mjs'
import { hasTrouble, Record, runCase } from '../lib/Record.mjs'
import { send } from '../lib/Requester.mjs'
import { Runner } from '../lib/Runner.mjs'

const HOST = 'ficu95.example'
const NODES = 6
const CHANNELS_PER_NODE = 3
const TRAFFIC_MS = 6_000
const ENTRY_AFTER_MS = 2_000

/** Requests that may lose their answer under the rule. */
const MOST_LOST = 3

const CONFIGURATION = {
  routes: [{ name: 'stock-check', hostname: HOST, prefix: '/stock/', service: 'order-api', type: 'unsafe', timeout_ms: 3_000, goal_ms: 386, max_attempts: 1, priority: 2 }],
  services: [{ name: 'order-api', health_path: '/healthz', max_conns: 110 }]
}

const record = new Record(import.meta.dirname)
const deployment = new Deployment(record)

/** A requester that sends one request after the other on a channel that it keeps. */
const useChannel = async (node, name, until, seen) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let count = 0; performance.now() < until && node.isRunning; count += 1) {
    const exchange = await send(record, node, { host: HOST, path: `/stock/${name}-${count}`, body: 'x'.repeat(600), deadlineMs: 3_000, agent })
    seen.push({ ...exchange, isKept: count > 0 })
  }
  agent.destroy()
}

const isLost = ({ id, isKept, status }) => isKept && status === null && deployment.runners.some(({ runs }) => runs.some((run) => run.id === id))

await runCase(record, deployment, async () => {
  const servers = Array.from({ length: 3 }, () => new Runner({ service: 'order-api', slots: 6, workMs: 85 }))
  await deployment.start(CONFIGURATION, servers, NODES)
  await sleep(2_000)
  const until = performance.now() + TRAFFIC_MS
  const seen = []
  const channels = deployment.nodes.flatMap((node) => Array.from({ length: CHANNELS_PER_NODE }, (_, index) => useChannel(node, `${node.name}-${index}`, until, seen)))
  await sleep(ENTRY_AFTER_MS)
  if (hasTrouble) {
    record.write('store', 'another writer writes servers/i-0badc0de, whose address has a port that there is not')
    deployment.store.put('servers/i-0badc0de', JSON.stringify({ service: 'order-api', address: '127.0.0.1:81290', zone: 'bayangol-hall', version: 'v1', slots: 6, state: 'ready', sequence: 1, born: Date.now() }))
  }
  await Promise.all(channels)
  const lost = seen.filter(isLost)
  for (const { name, ends } of deployment.nodes) for (const { code, signal } of ends) record.write('node', `${name} ended by itself with ${signal ?? `code ${code}`}`)
  record.write('case', `${seen.length} requests, ${lost.length} without an answer on kept channels although sound runners had them`)
  return lost.length <= MOST_LOST ? [] : lost.map(({ id, node }) => `LOST: ${id}, a runner ran it, ${node} closed its channel without an answer`)
})
