/** The platform's lagging list of live and leaving VMs. */
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
  /** IP number */
  readonly address: string
  readonly port: number
  readonly failureDomain: string
  readonly role: VmRole
  readonly state: VmState
  readonly kind: BackendKind | null
  /** Name of the plain service that runs there. */
  readonly service: string | null
}

export interface VmReport {
  readonly vms: readonly Vm[]
  /** When the list was true, in milliseconds since the epoch. */
  readonly asOf: number
}

export abstract class VmList {
  /**
   * Reads the list.
   *
   * @returns the VMs as of some earlier time
   */
  abstract read (): Promise<Result<VmReport, CallFailure>>
}
