/** A small deployment on loopback addresses: store, runners and nodes, with a record of what was seen. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'

import { StoreKey } from '@bluebellhill/platform'

import { freeNetwork, PORT, runnerEntry, settingsText, ZONES } from './Deployment.mjs'
import { Link } from './Link.mjs'
import { Processes } from './Processes.mjs'
import { readiness } from './Requester.mjs'
import { Store } from './Store.mjs'

const READY_TIMEOUT_MS = 20_000

/** Last numbers of the addresses. */
const LAST = { store: 2, storeLink: 3, nodes: 10, runners: 50 }

export class Fleet {
  store = new Store()
  /** What nodes reach the store through. */
  storeLink = null
  nodes = []
  runners = []
  /** What reached runners, in order. */
  ledger = []
  #processes = new Processes()
  #directory = mkdtempSync(join(tmpdir(), 'review-2-'))
  #network = ''
  #lines = []
  #startedAt = performance.now()

  /** Starts the store and the link to it; documents are written before the nodes start. */
  async startStore () {
    this.#network = await freeNetwork()
    await this.store.start(this.#host(LAST.store), PORT.store)
    this.storeLink = new Link({ host: this.#host(LAST.store), port: PORT.store })
    await this.storeLink.start(this.#host(LAST.storeLink), PORT.store)
  }

  /**
   * Starts a runner, which registers itself.
   *
   * @param service - its service
   * @param zone - its zone
   * @param slots - requests that it works on at the same time
   * @returns the runner
   */
  async addRunner (service, zone, slots) {
    const index = this.runners.length
    const host = this.#host(LAST.runners + index)
    const runner = { id: `i-${(0x7f3a91c2 + index).toString(16)}`, host, child: null, service, zone, slots }
    this.runners.push(runner)
    await this.startRunner(runner)
    return runner
  }

  /** Starts a runner again, under the id that it had; it registers itself with the time of its start. */
  async startRunner (runner) {
    const { id, host, service, zone, slots } = runner
    runner.child = await this.#processes.startStandin('Runner.mjs', [id, host, String(PORT.runner)])
    runner.child.on('message', (message) => {
      this.ledger.push({ ...message, at: performance.now() })
      this.note(`runner ${message.runner}: ${message.kind} ${message.id}`)
    })
    this.store.put(`${StoreKey.BackendServers}${id}`, runnerEntry({ service, zone, slots, address: `${host}:${PORT.runner}`, born: Date.now() }))
  }

  /**
   * Starts nodes, spread over the zones, and waits until all are ready.
   *
   * @param count - number of nodes
   */
  async startNodes (count) {
    for (let index = 0; index < count; index += 1) {
      const name = `edge-${ZONES[index % ZONES.length]}-${Math.floor(index / ZONES.length) + 1}`
      const host = this.#host(LAST.nodes + index)
      const settings = join(this.#directory, `${name}.toml`)
      writeFileSync(settings, settingsText({ name, ip: host, zone: ZONES[index % ZONES.length], store: `${this.#host(LAST.storeLink)}:${PORT.store}` }))
      const node = { name, host, zone: ZONES[index % ZONES.length], settings, log: join(this.#directory, `${name}.log`), child: null, start: () => {} }
      node.start = () => { node.child = this.#processes.startNode(settings, node.log) }
      node.start()
      this.nodes.push(node)
    }
    await this.whenReady()
  }

  /** @throws Error if a node does not get ready in time */
  async whenReady () {
    const end = performance.now() + READY_TIMEOUT_MS
    for (const { name, host } of this.nodes) {
      while (await readiness(host, PORT.readiness) !== 200) {
        if (performance.now() > end) throw new Error(`${name} does not get ready`)
        await sleep(50)
      }
    }
  }

  /** Adds a line to the record, with the time since the start in milliseconds. */
  note (line) {
    this.#lines.push(`${(performance.now() - this.#startedAt).toFixed(0).padStart(7)} ${line}`)
  }

  /** @returns whether a runner began to work on a request */
  hasRun (request) {
    return this.ledger.some(({ kind, id }) => kind === 'run' && id === request)
  }

  /** Ends all processes, writes the record, and removes the temporary folder. */
  async dispose (recordFile) {
    await this.#processes.dispose()
    this.storeLink?.stop()
    this.store.stop()
    writeFileSync(recordFile, `${this.#lines.join('\n')}\n`)
    if (process.env.KEEP_LOGS === undefined) rmSync(this.#directory, { recursive: true, force: true })
    else console.log(`logs: ${this.#directory}`)
  }

  #host (last) {
    return `${this.#network}.${last}`
  }
}
