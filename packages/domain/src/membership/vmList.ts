/** Derives claims about members from the platform's VM list, which lags behind the actual state. */
import { MemberState } from './types.js'
import type { ListedVm, Member } from './types.js'

/** A claim that follows from the VM list. */
export interface VmListClaim {
  readonly member: Member
  readonly reason: string
}

/**
 * Derives claims from the VM list. A member that the list omits is removed only if it is unreachable as well, and a listed
 * stop applies only to a process that was running when the list was made.
 *
 * @param members - entries of all members
 * @param asOf - wall-clock time of the list's contents, in milliseconds
 * @param vms - listed VMs
 * @returns claims to apply
 */
export const claimsFromVmList = (members: readonly Member[], asOf: number, vms: readonly ListedVm[]): VmListClaim[] => {
  const listed = new Map(vms.map((vm) => [vm.node, vm]))
  return members.filter((member) => member.startedAt < asOf).flatMap((member): VmListClaim[] => {
    const vm = listed.get(member.node)
    if (vm === undefined && member.state === MemberState.Unreachable) return [{ member: { ...member, state: MemberState.Left }, reason: 'no longer in the VM list' }]
    if (vm?.leaving === true && !member.leaving) return [{ member: { ...member, leaving: true }, reason: 'marked as leaving in the VM list' }]
    return []
  })
}
