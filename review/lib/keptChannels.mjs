// Traffic on channels that requesters keep, and the check of the part of rule LOST that concerns them.
import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { routes } from './documents.mjs'
import { send } from './Requester.mjs'
import { Runner } from './Runner.mjs'

export const HOST = routes['stock-check'].hostname

/** Requests that may lose their answer under the rule. */
const MOST_LOST = 3

const CHANNELS_PER_NODE = 3
const TRAFFIC_MS = 6_000
const DISRUPTION_AFTER_MS = 2_000

/** Configuration of the plain service of the site tsm-pellet. */
export const CONFIGURATION = {
  routes: [routes['stock-check']],
  services: [{ name: 'order-api', health_path: '/healthz', max_conns: 110 }]
}

/** @returns the three runners of that service */
export const createRunners = () => Array.from({ length: 3 }, () => new Runner({ service: 'order-api', slots: 6, workMs: 85 }))

/** A requester that sends one request after the other on a channel that it keeps, until its node has ended. */
const useChannel = async ({ record }, node, name, until, seen) => {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  for (let count = 0; performance.now() < until && node.isRunning; count += 1) {
    const exchange = await send(record, node, { host: HOST, path: `/stock/${name}-${count}`, body: 'x'.repeat(600), deadlineMs: 3_000, agent })
    seen.push({ ...exchange, isKept: count > 0 })
  }
  agent.destroy()
}

/**
 * Sends requests on kept channels to all nodes, with a disruption in between.
 *
 * @param deployment - store, runners and nodes
 * @param disrupt - called once; runners and links stay sound
 * @returns the violations: requests on kept channels that were passed on to a sound runner, and whose channels were closed without an answer
 */
export const playOnKeptChannels = async (deployment, disrupt) => {
  const { record, nodes, runners } = deployment
  const until = performance.now() + TRAFFIC_MS
  const seen = []
  const channels = nodes.flatMap((node) => Array.from({ length: CHANNELS_PER_NODE }, (_, index) => useChannel(deployment, node, `${node.name}-${index}`, until, seen)))
  await sleep(DISRUPTION_AFTER_MS)
  await disrupt()
  await Promise.all(channels)
  const lost = seen.filter(({ id, isKept, status }) => isKept && status === null && runners.some(({ arrivals }) => arrivals.has(id)))
  for (const { name, ends } of nodes) for (const { code, signal } of ends) record.write('node', `${name} ended by itself with ${signal ?? `code ${code}`}`)
  record.write('case', `${seen.length} requests, ${lost.length} without an answer on kept channels although they were passed on to sound runners`)
  return lost.length <= MOST_LOST ? [] : lost.map(({ id, node }) => `LOST: ${id} was passed on to a sound runner, and ${node} closed its channel without an answer`)
}
