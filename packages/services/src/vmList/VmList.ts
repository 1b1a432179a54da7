/** Interface of the platform's list of live and leaving VMs, which is updated with a delay. */
import type { CallFailure } from '../errors.js'
import type { Result } from '../result.js'

export const VmState = {
  Live: 'live',
  Leaving: 'leaving'
} as const
export type VmState = typeof VmState[keyof typeof VmState]

export const VmRole = {
  Entry: 'entry',
  Backend: 'backend'
} as const
export type VmRole = typeof VmRole[keyof typeof VmRole]

export const BackendKind = {
  Engine: 'engine',
  Plain: 'plain'
} as const
export type BackendKind = typeof BackendKind[keyof typeof BackendKind]

export interface Vm {
  readonly name: string
  /** IP address */
  readonly address: string
  readonly port: number
  readonly failureDomain: string
  readonly role: VmRole
  readonly state: VmState
  readonly kind: BackendKind | null
  /** Name of the plain service that runs on the VM; null if there is none. */
  readonly service: string | null
}

export interface VmReport {
  readonly vms: readonly Vm[]
  /** Time at which the list was correct, in milliseconds since the epoch. */
  readonly asOf: number
}

export abstract class VmList {
  /**
   * Reads the list of VMs.
   *
   * @returns the VMs as of the time `asOf`, which is in the past
   */
  abstract read (): Promise<Result<VmReport, CallFailure>>
}
