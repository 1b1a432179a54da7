/** A fleet of our own processes: nodes, backend servers and the platform, each a stand-in but the nodes. */
import { request } from 'undici'

import { ProcessSet } from '../processes/index.js'
import type { ChildProcess } from '../processes/index.js'
import type { Disposable } from '../Disposables.js'
import type { VmEntry } from '../vmList/VmList.js'
import { MODEL, MODEL_VERSION, SERVICE } from './constants.js'
import { fleetDocument, nodeSettings, organisationDocument } from './documents.js'
import type { PlatformAddresses } from './documents.js'
import type { FleetPlan, Placed, PlannedOrganisation } from './types.js'

const SERVING_TIMEOUT_MS = 30_000
const CHECK_MS = 50
const CALL_TIMEOUT_MS = 2_000

/** The platform's stand-ins. */
export interface Platform {
  readonly keyValue: ChildProcess
  readonly vmList: ChildProcess
  readonly weightStore: ChildProcess
}

const portOf = (address: string): number => Number(address.slice(address.lastIndexOf(':') + 1))

const countedNames = (prefix: string, count: number): string[] =>
  Array.from({ length: count }, (_, index) => `${prefix}${index + 1}`)

/** Starts and ends a fleet. */
export class Fleet implements Disposable {
  readonly processes = new ProcessSet()
  readonly nodes: Placed[] = []
  readonly engines: Placed[] = []
  readonly plains: Placed[] = []
  private platformParts: Platform | null = null
  private configurationFiles: string[] = []

  /**
   * @param plan - what it consists of
   */
  constructor (readonly plan: FleetPlan) {}

  /** The platform. */
  get platform (): Platform {
    if (!this.platformParts) throw new Error('the fleet was not started')
    return this.platformParts
  }

  /** Addresses that callers use. */
  get callerAddresses (): string[] {
    return this.nodes.map(({ process }) => process.address('caller'))
  }

  /** Control addresses of the backend servers, for their ledgers. */
  get ledgerAddresses (): string[] {
    return [...this.engines, ...this.plains].map(({ process }) => process.address('control'))
  }

  /** Starts everything and waits until each node answers a completion. */
  async start (): Promise<void> {
    await this.startPlatform()
    await Promise.all([this.startEngines(), this.startPlains()])
    await this.publishVms()
    await this.writeConfiguration()
    for (const name of countedNames('node-', this.plan.nodes)) await this.startNode(name)
    await this.publishVms()
    await Promise.all(this.nodes.map(async ({ process }) => await this.untilServing(process)))
  }

  /**
   * Starts one more node, joined to those that run.
   *
   * @param name - its name
   * @returns the node
   */
  async startNode (name: string): Promise<Placed> {
    const failureDomain = this.domainOf(this.nodes.length)
    const seeds = this.nodes.filter(({ process }) => process.isRunning).map(({ process }) => process.address('gossip'))
    const settings = nodeSettings(this.plan, { name, failureDomain }, this.platformAddresses(), seeds)
    const process = await this.processes.daemon(name, settings, this.configurationFiles)
    const node = { name, failureDomain, process }
    this.nodes.push(node)
    return node
  }

  /**
   * Changes the true VM list.
   *
   * @param name - the VM
   * @param state - its new state; null when it is gone
   */
  async changeVm (name: string, state: VmEntry['state'] | null): Promise<void> {
    await postJson(this.platform.vmList.address('control'), '/vm', { name, state })
  }

  /**
   * Sets faults of a stand-in.
   *
   * @param process - the stand-in
   * @param faults - switches by name
   */
  async setFaults (process: ChildProcess, faults: Readonly<Record<string, unknown>>): Promise<void> {
    await postJson(process.address('control'), '/faults', faults)
  }

  /**
   * Edits an organisation's configuration by the operators' command line and waits until it is in force on every node.
   *
   * @param organisation - whose configuration
   * @param urgency - new urgency of its completions
   * @returns what the command line said last
   * @throws with its words when it fails
   */
  async applyOrganisation (organisation: PlannedOrganisation, urgency?: number): Promise<string> {
    return await this.apply(organisation.name, organisationDocument(this.plan, organisation, urgency), true)
  }

  /** Puts the running processes into the VM list. */
  async publishVms (): Promise<void> {
    const running = (placed: readonly Placed[]): Placed[] => placed.filter(({ process }) => process.isRunning)
    const vms = [
      ...running(this.engines).map((placed) => this.vmOf(placed, 'backend', 'address', 'engine', null)),
      ...running(this.plains).map((placed) => this.vmOf(placed, 'backend', 'address', 'plain', SERVICE)),
      ...running(this.nodes).map((placed) => this.vmOf(placed, 'entry', 'gossip', null, null))
    ]
    await postJson(this.platform.vmList.address('control'), '/vms', { vms })
  }

  async dispose (): Promise<void> {
    await this.processes.dispose()
  }

  private async apply (name: string, document: unknown, wait: boolean): Promise<string> {
    const args = ['apply', this.processes.writeYaml(name, document), '--platform', this.platformAddresses().keyValue]
    const admins = this.nodes.filter(({ process }) => process.isRunning).map(({ process }) => process.address('admin'))
    if (wait) args.push('--wait', '--nodes', admins.join(','))
    const lines = await this.processes.commandLine(args)
    return lines.at(-1) ?? ''
  }

  private vmOf ({ name, failureDomain, process }: Placed, role: VmEntry['role'], field: string, kind: VmEntry['kind'], service: string | null): VmEntry {
    return { name, address: '127.0.0.1', failureDomain, role, state: 'live', kind, service, port: portOf(process.address(field)) }
  }

  private domainOf (index: number): string {
    return this.plan.failureDomains[index % this.plan.failureDomains.length]!
  }

  private async startPlatform (): Promise<void> {
    const [keyValue, vmList, weightStore] = await Promise.all([
      this.processes.standin('key-value', 'key-value'),
      this.processes.standin('vm-list', 'vm-list', { 'lag-ms': this.plan.vmListLagMs }),
      this.processes.standin('weight-store', 'weight-store')
    ])
    this.platformParts = { keyValue, vmList, weightStore }
  }

  private platformAddresses (): PlatformAddresses {
    const { keyValue, vmList, weightStore } = this.platform
    return { keyValue: keyValue.address('address'), vmList: vmList.address('address'), weightStore: weightStore.address('address') }
  }

  private async startEngines (): Promise<void> {
    const args = { model: MODEL, version: MODEL_VERSION, 'weight-store': this.platformAddresses().weightStore, ...this.plan.engineArgs }
    this.engines.push(...await Promise.all(countedNames('engine-', this.plan.engines).map(async (name, index) => ({
      name, failureDomain: this.domainOf(index), process: await this.processes.standin('engine', name, { ...args, seed: index + 1 })
    }))))
  }

  private async startPlains (): Promise<void> {
    this.plains.push(...await Promise.all(countedNames('plain-', this.plan.plains).map(async (name, index) => ({
      name, failureDomain: this.domainOf(index), process: await this.processes.standin('plain', name, this.plan.plainArgs)
    }))))
  }

  private async writeConfiguration (): Promise<void> {
    if (!this.plan.configurationFromFiles) {
      await this.apply('fleet', fleetDocument(this.plan), false)
      await Promise.all(this.plan.organisations.map(async (organisation) =>
        await this.apply(organisation.name, organisationDocument(this.plan, organisation), false)))
      return
    }
    this.configurationFiles = [
      this.processes.writeYaml('fleet', fleetDocument(this.plan)),
      ...this.plan.organisations.map((organisation) => this.processes.writeYaml(organisation.name, organisationDocument(this.plan, organisation)))
    ]
  }

  private async untilServing (node: ChildProcess): Promise<void> {
    const end = Date.now() + SERVING_TIMEOUT_MS
    while (!(await this.serves(node))) {
      if (Date.now() > end) throw new Error(`${node.name} does not answer:\n${node.log.slice(-20).join('\n')}`)
      await new Promise((resolve) => setTimeout(resolve, CHECK_MS))
    }
  }

  private async serves (node: ChildProcess): Promise<boolean> {
    const body = JSON.stringify({ model: MODEL, prompt: 'ready?', max_tokens: 1 })
    const headers = { authorization: `Bearer ${this.plan.organisations[0]!.apiKey}`, 'content-type': 'application/json' }
    try {
      const answer = await request(`http://${node.address('caller')}/v1/completions`, { method: 'POST', body, headers, signal: AbortSignal.timeout(CALL_TIMEOUT_MS) })
      await answer.body.dump()
      return answer.statusCode === 200
    } catch {
      return false
    }
  }
}

const postJson = async (address: string, path: string, body: unknown): Promise<void> => {
  const answer = await request(`http://${address}${path}`, { method: 'POST', body: JSON.stringify(body) })
  const text = await answer.body.text()
  if (answer.statusCode !== 200) throw new Error(`${path}: ${text}`)
}
