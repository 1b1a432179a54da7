/** Polls the platform's VM list and passes it to the runner directory and the membership. */
import type { FailureDomain, NodeId, RunnerId } from '@bluebellhill/domain'
import type { Vm, VmList, VmReport } from '@bluebellhill/services'
import { VmRole, VmState } from '@bluebellhill/services'
import { setTimeout as delay } from 'node:timers/promises'

import type { Backend, RunnerDirectory } from '../dispatch/RunnerDirectory.js'
import type { LeavingRunners, MembershipService } from '../membership/index.js'

const POLL_INTERVAL_MS = 1_000
/** Range of the random variation of the poll interval, as a share of the interval. */
const JITTER = 0.2

/** Polls the VM list. While the list cannot be read, the last one read stays in effect. */
export class VmListPoller {
  readonly #vmList: VmList
  readonly #directory: RunnerDirectory
  readonly #membership: MembershipService
  readonly #leavingRunners: LeavingRunners
  readonly #controller = new AbortController()

  constructor (vmList: VmList, directory: RunnerDirectory, membership: MembershipService, leavingRunners: LeavingRunners) {
    this.#vmList = vmList
    this.#directory = directory
    this.#membership = membership
    this.#leavingRunners = leavingRunners
  }

  start (): void {
    void this.#poll()
  }

  dispose (): void {
    this.#controller.abort()
  }

  async #poll (): Promise<void> {
    while (!this.#controller.signal.aborted) {
      const result = await this.#vmList.read()
      if (this.#controller.signal.aborted) return
      if (result.ok) this.#applyReport(result.value)
      const interval = POLL_INTERVAL_MS * (1 + JITTER * (Math.random() - 0.5))
      await delay(interval, undefined, { signal: this.#controller.signal }).catch(() => {})
    }
  }

  #applyReport (report: VmReport): void {
    const backends = report.vms.filter((vm) => vm.role === VmRole.Backend).map(backendOf)
    for (const backend of backends) this.#publishLeaving(backend)
    this.#directory.replaceListed(backends)
    const entryVms = report.vms.filter((vm) => vm.role === VmRole.Entry)
    this.#membership.vmListed(report.asOf, entryVms.map((vm) => ({ node: vm.name as NodeId, leaving: vm.state === VmState.Leaving })))
  }

  #publishLeaving (backend: Backend): void {
    if (backend.leaving) this.#leavingRunners.announce(backend.id)
    else this.#leavingRunners.retract(backend.id)
  }
}

const backendOf = (vm: Vm): Backend => ({
  id: vm.name as RunnerId,
  address: `${vm.address}:${vm.port}`,
  failureDomain: vm.failureDomain as FailureDomain,
  kind: vm.kind ?? 'engine',
  service: vm.service,
  leaving: vm.state === VmState.Leaving
})
