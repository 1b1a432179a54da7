/** What the platform's lagging list of entry VMs says about the members. */
import { MemberState } from './types.js'
import type { ListedVm, Member } from './types.js'

/** A claim that follows from the list. */
export interface VmListClaim {
  readonly member: Member
  readonly reason: string
}

/**
 * A member is dropped only where it is unreachable too, and a stop is believed only of a process that
 * ran when the list was made.
 *
 * @param members - known members
 * @param asOf - wall-clock time of the list's contents, in milliseconds
 * @param vms - listed VMs
 * @returns claims to take in
 */
export const claimsFromVmList = (members: readonly Member[], asOf: number, vms: readonly ListedVm[]): VmListClaim[] => {
  const listed = new Map(vms.map((vm) => [vm.node, vm]))
  return members.filter((member) => member.startedAt < asOf).flatMap((member): VmListClaim[] => {
    const vm = listed.get(member.node)
    if (vm === undefined && member.state === MemberState.Unreachable) return [{ member: { ...member, state: MemberState.Left }, reason: 'no longer in the VM list' }]
    if (vm?.leaving === true && !member.leaving) return [{ member: { ...member, leaving: true }, reason: 'leaving by the VM list' }]
    return []
  })
}
