/**
 * All nodes hang. Requests have prompts of 300 parts each, as long conversations and prompts with retrieved documents do; once a node has seen some
 * 20,000 different ones, it answers nothing any more. Without the trouble the same number of parts comes from 60 templates.
 */
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { HeaderName, StoreKey } from '@bluebellhill/platform'

import { configuration, HOST, LIMITS, PORT, ZONES } from '../lib-2/Deployment.mjs'
import { readiness, send } from '../lib-2/Requester.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const NODES = 3
const RUNNERS = 6
const SERVICE = 'lm-serve'
const KEY = 'n2ctnfzs989anu6wsjnb'

const PARTS = 300
const TOKENS_PER_PART = 20
const ANSWER_TOKENS = 230
const TEMPLATES = 60

/** Requests per second at each node: 1.3 times those of the sheet, 27.9 a second at six machines. */
const RATE_PER_NODE = 6
const TRAFFIC_MS = 40_000

const ROUTE_TIMEOUT_MS = 5_000
const DEADLINE_MS = 10_000

/** Time after the route's timeout at which the rule looks again. */
const ANSWER_SLACK_MS = 500
const READINESS_PERIOD_MS = 1_000

/** Fewer requests than these that are not answered by the route's timeout say nothing. */
const FEWEST = 8

const CONFIGURATION = configuration({
  version: 11,
  services: [SERVICE],
  engines: [SERVICE],
  tenants: [{ name: 'hule930', keys: [KEY] }],
  routes: [{ name: 'chat', prefix: '/stream/chat/', type: 'streaming', resumable: true, service: SERVICE, timeout_ms: ROUTE_TIMEOUT_MS, goal_ms: 1_500 }]
})

let requests = 0
let parts = 0
const partId = (number) => (0x10000000 + number).toString(16)

/** All parts but the last may be shared by other requests. */
const promptParts = (hasTrouble) => {
  const template = requests % TEMPLATES
  const shared = Array.from({ length: PARTS - 1 }, (_, index) => hasTrouble ? parts++ : template * PARTS + index)
  const own = partId(0x1000000 + requests)
  return [...shared.map(partId), own].map((id) => `${id}:${TOKENS_PER_PART}`).join(',')
}

const ask = async (fleet, hasTrouble) => {
  const node = fleet.nodes[requests % NODES]
  const prefix = promptParts(hasTrouble)
  const id = `r${String(requests++).padStart(5, '0')}`
  const headers = {
    host: HOST,
    [HeaderName.AttemptId]: id,
    [HeaderName.Deadline]: String(DEADLINE_MS),
    'x-bluebellhill-model': 'm',
    [HeaderName.PromptSize]: `${PARTS * TOKENS_PER_PART},${ANSWER_TOKENS}`,
    [HeaderName.PromptParts]: prefix,
    authorization: `Bearer ${KEY}`,
    'content-type': 'text/plain'
  }
  if (prefix.length > LIMITS.max_header_bytes / 2) throw new Error('the head is too large')
  const answer = await send({ host: node.host, port: PORT.callers, method: 'POST', path: '/stream/chat/2f', headers, body: 'prompt', timeout: DEADLINE_MS })
  const took = answer.endedAt - answer.sentAt
  fleet.note(`requester: ${id} to ${node.name}, answered ${answer.status ?? `nothing: ${answer.problem}`} after ${took.toFixed(0)} ms`)
  return { status: answer.status, took: answer.status === null ? Infinity : took }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  await fleet.startStore()
  fleet.store.put(StoreKey.Configuration, CONFIGURATION)
  for (let index = 0; index < RUNNERS; index += 1) await fleet.addRunner(SERVICE, ZONES[index % ZONES.length])
  fleet.store.settle()
  await fleet.startNodes(NODES)

  const asked = []
  const missed = fleet.nodes.map(() => 0)
  const traffic = setInterval(() => asked.push(ask(fleet, hasTrouble)), 1_000 / (RATE_PER_NODE * NODES))
  const checks = setInterval(() => fleet.nodes.forEach(async ({ host, name }, index) => {
    if (await readiness(host, PORT.readiness) === 200) return
    missed[index] += 1
    fleet.note(`platform: ${name} misses a readiness check`)
  }), READINESS_PERIOD_MS)
  await sleep(TRAFFIC_MS)
  clearInterval(traffic)
  clearInterval(checks)
  const answers = await Promise.all(asked)
  const late = answers.filter(({ took }) => took > ROUTE_TIMEOUT_MS)
  const unanswered = late.filter(({ took }) => took > ROUTE_TIMEOUT_MS + ANSWER_SLACK_MS)
  const served = answers.filter(({ status }) => status === 200).length
  console.log(`${served} of ${answers.length} requests served; readiness checks missed by each node: ${missed.join(', ')}`)
  const isBroken = late.length >= FEWEST && unanswered.length > late.length / 2
  return isBroken ? [`CONFIG: of ${late.length} requests that were not answered at their route's timeout_ms, ${unanswered.length} had no answer half a second later; ${answers.length} were sent`] : []
})
