/** The stand-in VM list: a list that lags behind the truth. */
import { CallCounter } from '../CallCounter.js'
import { readJson, sendJson } from '../http/messages.js'
import type { Routes } from '../http/types.js'

/** One VM, as the list gives it. */
export interface VmEntry {
  readonly name: string
  readonly address: string
  readonly failureDomain: string
  readonly role: 'entry' | 'backend'
  readonly state: 'live' | 'leaving'
  readonly kind: 'engine' | 'plain' | null
  readonly service: string | null
  readonly port: number
}

/** The list at one moment. */
interface Snapshot {
  readonly at: number
  readonly vms: readonly VmEntry[]
}

const initialVmListFaults = (lagMs: number) => ({
  /** Refuse connections for so many milliseconds. */
  downMs: 0,
  /** Answer 503. */
  unavailable: false,
  /** Delay of every answer, in milliseconds. */
  slowMs: 0,
  /** Age of the answers, in milliseconds. */
  lagMs,
  /** Names left out though they live, separated by commas. */
  hidden: '',
  /** Names shown as live though they leave or are gone, separated by commas. */
  ghosts: ''
})

/** Keeps the true list and answers with an older one. */
export class VmList {
  readonly faults
  private readonly calls = new CallCounter()
  private snapshots: Snapshot[] = [{ at: 0, vms: [] }]
  private readonly known = new Map<string, VmEntry>()

  /**
   * @param lagMs - age of the answers, in milliseconds
   */
  constructor (lagMs: number) {
    this.faults = initialVmListFaults(lagMs)
  }

  /** The true list. */
  get truth (): readonly VmEntry[] {
    return this.snapshots.at(-1)!.vms
  }

  /**
   * Replaces the true list.
   *
   * @param vms - the new list
   * @param now - wall clock, in milliseconds
   */
  replace (vms: readonly VmEntry[], now: number): void {
    for (const vm of vms) this.known.set(vm.name, vm)
    this.snapshots.push({ at: now, vms })
  }

  /**
   * Changes or removes one VM.
   *
   * @param name - the VM
   * @param state - its new state; null when it is gone
   * @param now - wall clock, in milliseconds
   */
  change (name: string, state: VmEntry['state'] | null, now: number): void {
    const others = this.truth.filter((vm) => vm.name !== name)
    const vm = this.known.get(name)
    this.replace(vm && state ? [...others, { ...vm, state }] : others, now)
  }

  /**
   * The list as it is answered.
   *
   * @param now - wall clock, in milliseconds
   * @returns the list as of the lag ago, with the faults
   */
  answer (now: number): { vms: readonly VmEntry[], asOf: number } {
    const asOf = now - this.faults.lagMs
    const seen = this.snapshots.findLast(({ at }) => at <= asOf) ?? this.snapshots[0]!
    const hidden = new Set(this.faults.hidden.split(','))
    const ghosts = this.faults.ghosts.split(',').map((name) => this.known.get(name)).filter((vm) => vm !== undefined)
    const ghostNames = new Set(ghosts.map(({ name }) => name))
    const shown = seen.vms.filter(({ name }) => !hidden.has(name) && !ghostNames.has(name))
    return { vms: [...shown, ...ghosts], asOf }
  }

  /** The published route. */
  get routes (): Routes {
    return {
      'GET /health': ({ response }) => sendJson(response, 200, {}),
      'GET /v1/vms': async ({ response }) => {
        this.calls.count('vms')
        if (this.faults.slowMs > 0) await new Promise((resolve) => setTimeout(resolve, this.faults.slowMs))
        if (this.faults.unavailable) sendJson(response, 503, {}, { 'retry-after': '1' })
        else sendJson(response, 200, this.answer(Date.now()))
      }
    }
  }

  /** Routes by which a test changes the truth. */
  get controlRoutes (): Routes {
    return {
      'POST /vms': async ({ request, response }) => {
        this.replace((await readJson(request))['vms'] as VmEntry[], Date.now())
        sendJson(response, 200, { vms: this.truth })
      },
      'POST /vm': async ({ request, response }) => {
        const { name, state } = await readJson(request)
        this.change(String(name), (state ?? null) as VmEntry['state'] | null, Date.now())
        sendJson(response, 200, { vms: this.truth })
      }
    }
  }

  /** What was called, and the truth. */
  ledger (): unknown {
    return { calls: this.calls.report(), vms: this.truth }
  }
}
