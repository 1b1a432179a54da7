/** Orders to an engine: models, adapters and roles. */
import { request } from 'undici'

import type { Engine } from './Engine.js'
import { EngineRefusal, staleFencing } from './errors.js'
import type { EngineFaults } from './faults.js'
import type { ModelState } from './ModelState.js'
import { Role } from './types.js'
import type { EngineOptions } from './types.js'

const DRAIN_CHECK_MS = 20
const RETRY_MS = 500

type Json = Readonly<Record<string, unknown>>

const sleep = async (ms: number): Promise<void> => await new Promise((resolve) => setTimeout(resolve, ms))

/** Carries out orders; a load first lets the running answers end. */
export class ModelLoader {
  private readonly taken: { fencing: number, order: Json }[] = []

  /**
   * @param options - load time or weight store
   * @param engine - what is loaded into
   * @param state - the served model
   * @param faults - switches, read at each use
   */
  constructor (
    private readonly options: EngineOptions,
    private readonly engine: Engine,
    private readonly state: ModelState,
    private readonly faults: EngineFaults
  ) {}

  /** Orders taken, for the ledger. */
  get orders (): readonly { fencing: number, order: Json }[] {
    return this.taken
  }

  /**
   * Takes an order; repeating one changes nothing.
   *
   * @param fencing - the number of the lease that gave it
   * @param order - what to do
   * @throws EngineRefusal for an older number, where numbers are checked, or an unknown kind
   */
  take (fencing: number, order: Json): void {
    const checked = this.options.checkFencing && !this.faults.ignoreFencing
    if (checked && fencing < this.state.fencing) throw staleFencing(this.state.fencing)
    this.state.fencing = Math.max(this.state.fencing, fencing)
    this.taken.push({ fencing, order })
    this.carryOut(order)
  }

  private carryOut (order: Json): void {
    switch (order['kind']) {
      case 'load': return this.load(String(order['model']), String(order['version']))
      case 'load_adapter': return void this.state.adapters.add(String(order['adapter']))
      case 'unload_adapter': return void this.state.adapters.delete(String(order['adapter']))
      case 'role': return this.setRole(String(order['role']))
      case 'unload': return this.unload()
      default: throw new EngineRefusal(400, 'unknown_order')
    }
  }

  private setRole (role: string): void {
    const known = Object.values(Role).find((value) => value === role)
    if (!known) throw new EngineRefusal(400, 'unknown_role')
    this.state.role = known
  }

  private unload (): void {
    this.state.loading = null
    this.state.model = null
    this.state.version = null
    this.state.adapters.clear()
    this.engine.memory.clear()
  }

  private load (model: string, version: string): void {
    const { loading } = this.state
    if (loading?.model === model && loading.version === version) return
    if (!loading && this.state.model === model && this.state.version === version) return
    const order = { model, version, startedAt: performance.now() }
    this.state.loading = order
    void this.finishLoad(order)
  }

  private async finishLoad (order: NonNullable<ModelState['loading']>): Promise<void> {
    while (!this.engine.scheduler.isIdle && this.state.loading === order) await sleep(DRAIN_CHECK_MS)
    if (this.state.loading !== order) return
    this.unload()
    this.state.loading = order
    await this.fetchWeights(order.model, order.version)
    if (this.state.loading !== order) return
    this.state.loading = null
    this.state.model = order.model
    this.state.version = order.version
  }

  private async fetchWeights (model: string, version: string): Promise<void> {
    if (!this.options.weightStore) return await sleep(this.options.loadMs)
    const url = `http://${this.options.weightStore}/v1/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`
    while (!(await this.download(url))) await sleep(RETRY_MS)
  }

  private async download (url: string): Promise<boolean> {
    try {
      const { statusCode, body } = await request(url)
      await body.dump({ limit: Number.MAX_SAFE_INTEGER })
      return statusCode === 200
    } catch {
      return false
    }
  }
}
