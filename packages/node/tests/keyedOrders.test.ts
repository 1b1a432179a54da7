import test from 'ava'
import { createHash } from 'node:crypto'
import { setTimeout as sleep } from 'node:timers/promises'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

import type { EditId } from '@bluebellhill/domain'
import { ConfigurationStore, FLEET_VALUE_NAME, HttpKeyValueService, HttpPool, organisationValueName } from '@bluebellhill/services'

import { startStandin } from '../bench/standinProcess.js'
import type { StandinProcess } from '../bench/standinProcess.js'
import { freeUdpPort, startDaemon } from './daemonProcess.js'
import type { DaemonProcess } from './daemonProcess.js'

const API_KEY = 'an-api-key-of-the-keyed-orders-test'
const FLEET = 'kind: fleet\nservices: [{name: orders}]\n'
const ORGANISATION = `kind: organisation
name: bayangol
keys: [{name: test, sha256: ${createHash('sha256').update(API_KEY).digest('hex')}}]
templates: [{name: order, request: {shape: service}, service: orders, deadline: 4s, idempotent: false}]
`
const ROUNDS = 33
const READY_LIMIT_MS = 30_000

interface Reply {
  readonly status: number
  readonly code: string | null
  readonly ran: string | null
}

class OrderFleet {
  readonly keyValue: StandinProcess
  readonly plain: StandinProcess
  readonly nodes: DaemonProcess[] = []
  readonly #settings: string[]

  constructor (keyValue: StandinProcess, plain: StandinProcess, ports: readonly number[]) {
    this.keyValue = keyValue
    this.plain = plain
    this.#settings = ports.map((port, index) => `name: node-${index}
region: r
failureDomain: d${index}
listen: {caller: "127.0.0.1:0", peer: "127.0.0.1:0", gossip: "127.0.0.1:${port}", admin: "127.0.0.1:0"}
seeds: [${ports.map((seed) => `"127.0.0.1:${seed}"`).join(', ')}]
secrets: {peer: [the-peer-secret-of-the-test]}
platform: {keyValue: ["${keyValue.address}"]}
limits: {platformTimeout: 500ms}
runners: [${ports.map((_port, runner) => `{name: orders-${runner}, address: "${plain.address}", failureDomain: d${runner}, kind: plain, service: orders}`).join(', ')}]
log: {level: error}
`)
  }

  static async open (): Promise<OrderFleet> {
    const fleet = new OrderFleet(await startStandin('key-value'), await startStandin('plain'), [await freeUdpPort(), await freeUdpPort()])
    const pool = new HttpPool()
    const store = new ConfigurationStore(new HttpKeyValueService(pool, [fleet.keyValue.address]))
    for (const [name, text] of [[FLEET_VALUE_NAME, FLEET], [organisationValueName('bayangol'), ORGANISATION]] as const) {
      await store.edit({ name, edit: name as EditId, author: 'test', text, expected: null, minRevision: 0 }, Date.now())
    }
    await pool.dispose()
    await Promise.all([fleet.startNode(0), fleet.startNode(1)])
    return fleet
  }

  async startNode (index: number): Promise<void> {
    this.nodes[index] = await startDaemon(this.#settings[index]!)
    for (const end = Date.now() + READY_LIMIT_MS; Date.now() < end; await sleep(50)) {
      const probe = await this.send(index, `probe-${index}-${Date.now()}`)
      if (probe.status === 200) return
    }
    throw new Error(`node ${index} is not ready`)
  }

  async send (node: number, key: string, body = 'order'): Promise<Reply> {
    try {
      const response = await fetch(`http://${this.nodes[node]!.caller}/services/orders/place`, {
        method: 'POST',
        headers: { authorization: `Bearer ${API_KEY}`, 'idempotency-key': key, 'content-type': 'application/json' },
        body: JSON.stringify({ key, body }),
        signal: AbortSignal.timeout(20_000)
      })
      const reply = await response.json() as { error?: { code: string, ran: string } }
      return { status: response.status, code: reply.error?.code ?? null, ran: reply.error?.ran ?? null }
    } catch {
      return { status: 0, code: 'no_answer', ran: null }
    }
  }

  async executions (): Promise<Record<string, number>> {
    return (await this.plain.ledger() as { executions: Record<string, number> }).executions
  }

  stop (): void {
    for (const node of this.nodes) {
      node.signal('SIGCONT')
      node.signal('SIGKILL')
    }
    this.keyValue.stop()
    this.plain.stop()
  }
}

/** Faults that a round injects; each lasts until the end of the round. */
const FAULTS: Record<string, (fleet: OrderFleet) => Promise<void>> = {
  none: async () => {},
  storeLosesAnswers: async ({ keyValue }) => await keyValue.setFaults({ loseAnswers: 2 }),
  storeIsOut: async ({ keyValue }) => await keyValue.setFaults({ unavailable: true }),
  storeIsSlow: async ({ keyValue }) => await keyValue.setFaults({ slowMs: 700 }),
  serverLosesAnswer: async ({ plain }) => await plain.setFaults({ loseAnswers: 1 }),
  serverCutsAnswer: async ({ plain }) => await plain.setFaults({ cutAnswers: 1 }),
  serverCloses: async ({ plain }) => await plain.setFaults({ closeBeforeHeaders: 1 }),
  serverRefuses: async ({ plain }) => await plain.setFaults({ refuseNotStarted: 1 }),
  serverIsSlow: async ({ plain }) => await plain.setFaults({ slowMs: 1_500 }),
  nodePauses: async ({ nodes }) => {
    nodes[0]!.signal('SIGSTOP')
    await sleep(1_200)
    nodes[0]!.signal('SIGCONT')
  },
  nodeDies: async (fleet) => {
    fleet.nodes[0]!.signal('SIGKILL')
    await fleet.nodes[0]!.ended
  }
}

const clearFaults = async (fleet: OrderFleet, fault: string): Promise<void> => {
  await fleet.keyValue.setFaults({ loseAnswers: 0, unavailable: false, slowMs: 0 })
  await fleet.plain.setFaults({ loseAnswers: 0, cutAnswers: 0, closeBeforeHeaders: 0, refuseNotStarted: 0, slowMs: 0 })
  if (fault === 'nodeDies') await fleet.startNode(0)
}

test('an order sent to two nodes runs at most once, whatever fails', async (t) => {
  t.timeout(240_000)
  const fleet = await OrderFleet.open()
  t.teardown(() => fleet.stop())
  const rng = xoroshiro128plus(47)
  const names = Object.keys(FAULTS)
  const replies = new Map<string, Reply[]>()
  for (let round = 0; round < ROUNDS; round += 1) {
    const fault = names[round % names.length]!
    const key = `round-${round}-${fault}`
    // A fault of the backend server is set before the order is sent; the others occur at a random time while it is processed.
    const isServers = fault.startsWith('server')
    if (isServers) await FAULTS[fault]!(fleet)
    const faulty = isServers ? Promise.resolve() : sleep(uniformInt(rng, 0, 30)).then(async () => await FAULTS[fault]!(fleet))
    const sent = [fleet.send(0, key), sleep(uniformInt(rng, 0, 40)).then(async () => await fleet.send(1, key))]
    await faulty
    sent.push(fleet.send(1, key))
    const answers = await Promise.all(sent)
    await clearFaults(fleet, fault)
    answers.push(await fleet.send(1, key), await fleet.send(0, key))
    replies.set(key, answers)
  }
  const executions = await fleet.executions()
  let answered = 0
  for (const [key, answers] of replies) {
    const count = executions[key] ?? 0
    t.true(count <= 1, `${key} ran ${count} times`)
    if (answers.some(({ status }) => status === 200)) t.is(count, 1, key)
    if (answers.every(({ ran }) => ran === 'no')) t.is(count, 0, key)
    if (answers.some(({ status }) => status === 200)) answered += 1
  }
  t.log(`keys=${replies.size} answered=${answered} executions=${Object.keys(executions).filter((key) => key.startsWith('round')).length}`)
  t.log([...replies].map(([key, answers]) => `${key}: ${answers.map(({ status, code }) => code ?? status).join(' ')}`).join('\n'))
  t.true(answered >= ROUNDS / 3)
})

test('another order under the same key is a conflict', async (t) => {
  const fleet = await OrderFleet.open()
  t.teardown(() => fleet.stop())
  t.is((await fleet.send(0, 'k')).status, 200)
  t.like(await fleet.send(1, 'k', 'another order'), { status: 409, code: 'key_conflict', ran: 'no' })
})
