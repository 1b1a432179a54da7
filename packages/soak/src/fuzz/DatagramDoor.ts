/** Datagrams of other nodes, and the state of the fleet that a node fetches from one that says it has a newer one. */
import { createSocket } from 'node:dgram'
import type { Socket } from 'node:dgram'
import { once } from 'node:events'
import { gzipSync } from 'node:zlib'
import { setTimeout as sleep } from 'node:timers/promises'

import { changedMessage } from './changedMessage.js'
import { PORT, PROMPT_SIZES, SERVICE } from './constants.js'
import { Door } from './Door.js'
import { isEnded, noEnd } from './requests.js'
import { startRawServer } from './servers.js'
import type { RawAnswer, RawServer } from './servers.js'
import { encodeMessage } from './wireMessage.js'
import type { MessageFields } from './wireMessage.js'

/** Last part of the address from which the datagrams come. */
const SENDER = 41

/** Names of nodes that do not run. */
const NODES = 20

/** Datagrams after which the node gets time to read them. */
const BURST = 20
const BURST_PERIOD_MS = 5

/** Longest datagram. */
const MOST_BYTES = 60_000

/** Bytes of a state that is much smaller while it is compressed. */
const BOMB_BYTES = 200_000_000

/** Engines of which the datagrams tell, and an address at which none of them is. */
const ENGINES = ['i-of-others', 'i-2']
const UNUSED_ADDRESS = '127.0.0.1:9'

/** Messages and their fields by number, as fleet.proto of the protocol has them. */
const NOTICE = encodeMessage({ 1: 'i-of-others', 2: 1n, 3: 3, 4: 'n', 5: 4n, 6: 0n })

const FACTS = encodeMessage({
  1: encodeMessage({ 1: 'i-of-others', 2: 1n, 3: 'n', 4: 5n, 5: 2n, 6: ['a1', '@b2'], 7: 'app-of-others' }),
  2: encodeMessage({ 1: 'i-of-others', 2: 1n, 3: 3n }),
  3: encodeMessage({ 1: 'a1', 2: 3n, 3: 'app-of-others' }),
  4: encodeMessage({ 1: 'a1', 2: 2n, 3: 'n' }),
  5: encodeMessage({ 1: '@b2', 2: 2n })
})

const EVACUATIONS = encodeMessage({ 1: 1n, 2: 1n, 3: 'hall-z' })

const SERVER = encodeMessage({ 1: 'i-of-others', 2: UNUSED_ADDRESS, 3: 'hall-z' })

const HELD = encodeMessage({ 1: 'i-of-others', 2: 4n })

/** Wall-clock milliseconds. */
const STARTED_AT = 1_700_000_000_000n

const CANDIDATE_REPORT = encodeMessage({ 1: 5n, 2: 1n, 3: 1n, 4: 0n, 5: 0n, 6: encodeMessage({ 1: 'peer-1', 2: UNUSED_ADDRESS, 3: 'hall-a', 4: 1_000n }), 7: NOTICE, 8: 1n, 9: FACTS, 10: EVACUATIONS })

/** Snapshot of no later state than any node has: what is still sound of it has no effect. */
const SNAPSHOT = {
  deployment: { version: 0, routes: [{ name: 'r', host: 'a', pathPrefix: '/', kind: 'safe', resumable: false, timeout: 1, objective: 1, pauseObjective: null, priority: 1, maxAttempts: 1, isPublic: false, services: [{ service: 's', weight: 1 }] }], services: [{ name: 's', healthPath: '/', maxConnections: 1, engine: null }], limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 }, organisations: [] },
  servers: { revision: 0, era: 0, listed: [{ server: { id: 'i', service: 's', address: '127.0.0.1:9', failureDomain: 'hall-z', slots: 1, readiness: 'ready', startedAt: 1 }, revision: 0, era: 0 }] }
}

/** Sends as another node would. */
export class DatagramDoor extends Door {
  readonly name = 'datagrams'
  #socket: Socket | null = null
  #sequence = 0
  #requests = 0
  #snapshots: RawServer | null = null

  override async send (count: number): Promise<number> {
    const socket = await this.#open()
    const before = this.#snapshots?.answered ?? 0
    for (const engine of ENGINES) this.fleet.register(engine, SERVICE.oddEngines, UNUSED_ADDRESS)
    const requests: Array<Promise<void>> = []
    for (let index = 0; index < count; index += 1) {
      socket.send(this.#draw(), PORT.peers, this.fleet.nodeHost)
      if (index % BURST !== 0) continue
      requests.push(this.#place())
      await sleep(BURST_PERIOD_MS)
    }
    await Promise.all(requests)
    for (const engine of ENGINES) this.fleet.unregister(engine)
    return count + (this.#snapshots?.answered ?? 0) - before
  }

  override dispose (): void {
    this.#socket?.close()
    this.#snapshots?.dispose()
  }

  async #open (): Promise<Socket> {
    if (this.#socket !== null) return this.#socket
    const socket = createSocket('udp4')
    this.#socket = socket
    socket.on('error', () => {})
    socket.bind(PORT.peers, this.fleet.host(SENDER))
    await once(socket, 'listening')
    this.#snapshots = await startRawServer(this.fleet.host(SENDER), PORT.peers, () => this.#snapshot())
    return socket
  }

  /** A request that is placed with what the datagrams say of the engines. */
  async #place (): Promise<void> {
    this.#requests += 1
    const id = `placed-${this.#requests}`
    if (!await isEnded(this.fleet, { id, path: '/stream/a', method: 'POST', promptSize: this.values.random.pick(PROMPT_SIZES), promptParts: `${this.#requests.toString(16)}:400` })) this.faults.push(noEnd(id, '/stream/a'))
  }

  #draw (): Buffer {
    const datagram = this.#drawAny()
    return datagram.length <= MOST_BYTES ? datagram : this.#draw()
  }

  #drawAny (): Buffer {
    const { random } = this.values
    const choice = random.between(0, 9)
    if (choice === 0) return this.values.bytes(1_000)
    if (choice === 1) return this.#damaged(this.#message())
    if (choice < 5) return changedMessage(this.#state(), random)
    return Buffer.concat([Buffer.from([0]), changedMessage(this.#message(), random)])
  }

  #damaged (message: Buffer): Buffer {
    const bytes = Buffer.concat([Buffer.from([0]), message])
    for (let index = this.values.random.between(1, 5); index > 0; index -= 1) bytes[this.values.random.between(0, bytes.length - 1)] = this.values.random.between(0, 255)
    return bytes
  }

  #state (): Buffer {
    this.#sequence += 1
    const work = (number: bigint): Buffer => encodeMessage({ 1: number, 2: 'i-of-others', 3: 'i-2', 4: 100n, 5: 10n, 6: 5n, 7: 6n, 8: 200n, 9: 600n, 10: 0n, 11: HELD, 12: 0n })
    return encodeMessage({
      1: this.#node(), 2: STARTED_AT, 3: BigInt(this.#sequence), 4: 0n, 5: 1n, 6: 1n, 7: 1n, 8: 0n, 9: [work(1n), work(2n), work(BigInt(this.#sequence))], 10: UNUSED_ADDRESS, 11: 0n, 12: 'hall-a', 13: 1n, 14: 1_000n, 15: NOTICE, 16: 1n, 17: FACTS, 18: EVACUATIONS
    })
  }

  #node (): string {
    return `peer-${this.values.random.between(1, NODES)}`
  }

  #message (): Buffer {
    return encodeMessage({ 1: this.#node(), 2: STARTED_AT, ...this.values.random.pick(this.#contents()) })
  }

  #contents (): MessageFields[] {
    const { random } = this.values
    const number = BigInt(random.between(1, 50))
    const service = random.pick([SERVICE.sound, SERVICE.oddEngines, 'app-of-others'])
    const reply = (result: MessageFields): MessageFields => ({ 4: encodeMessage({ 1: number, ...result }) })
    return [
      { 3: encodeMessage({ 1: number, 2: 'r', 3: service, 4: 5_000n, 5: 400n, 6: 300n, 7: 600n, 8: 200n, 9: 'i-1', 11: 0n, 12: 0n, 13: 1n, 14: 0n, 15: 'a1', 16: '@b2', 17: 'growers', 18: 2n, 19: 3n, 20: '@c3', 22: 1n, 23: 0n }) },
      reply({ 2: encodeMessage({ 1: SERVER, 2: SERVER, 3: HELD, 4: 30n, 5: 2n, 6: 4n, 7: 0n, 8: 1n, 9: 'i-2', 10: 0n, 11: 1n, 12: 50n, 13: 0n }) }),
      reply({ 3: encodeMessage({ 1: 'full', 2: 50n, 3: NOTICE, 4: 1n }) }),
      reply({ 4: UNUSED_ADDRESS }),
      reply({ 5: encodeMessage({ 1: 60n }) }),
      { 5: encodeMessage({ 1: number, 2: 'i-of-others' }) },
      { 6: encodeMessage({ 1: number, 2: 50n }) },
      { 7: encodeMessage({ 1: encodeMessage({ 1: number, 2: 1n, 3: 'i-of-others', 4: 'good', 5: 1_500n, 6: 30_000n, 7: 2n }) }) },
      { 8: CANDIDATE_REPORT },
      { 9: encodeMessage({ 1: 'hall-z', 2: encodeMessage({ 1: service, 2: 8n, 3: 2n, 4: 30n }), 3: CANDIDATE_REPORT }) }
    ]
  }

  #snapshot (): RawAnswer {
    const { values, values: { random } } = this
    const head = (length: number, more = ''): string => `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n${more}content-length: ${length}\r\n\r\n`
    const whole = (body: Buffer): RawAnswer => [head(body.length), body, null]
    const compressed = gzipSync(Buffer.from(values.changed(SNAPSHOT)))
    const kinds: Array<() => RawAnswer> = [
      () => whole(Buffer.from(values.document(SNAPSHOT))),
      () => whole(compressed),
      () => whole(compressed.subarray(0, random.between(0, compressed.length))),
      () => whole(BOMB ??= gzipSync(Buffer.alloc(BOMB_BYTES, '['))),
      () => [head(1_000), '{'],
      () => [values.bytes(500), null],
      () => [`HTTP/1.1 ${random.pick([100, 101, 204, 304, 404, 500, 999])} X\r\n\r\n`, null]
    ]
    return random.pick(kinds)()
  }
}

/** Compressed once, when it is first used. */
let BOMB: Buffer | undefined
