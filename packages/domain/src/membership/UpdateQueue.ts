import type { NodeId } from '../types.js'
import { UPDATE_RETRANSMIT_FACTOR } from './constants.js'
import { updateBytes } from './messageSize.js'
import { compactClaim } from './precedence.js'
import type { Member } from './types.js'

interface PendingUpdate {
  transmissions: number
  sequence: number
}

/** Queues members whose latest change still has to be sent; changes that were sent least often come first, then the newest. */
export class UpdateQueue {
  private readonly pending = new Map<NodeId, PendingUpdate>()
  private lastSequence = 0

  get size (): number {
    return this.pending.size
  }

  /** Whether some change has not been sent to any member yet. */
  hasUnsent (): boolean {
    for (const entry of this.pending.values()) {
      if (entry.transmissions === 0) return true
    }
    return false
  }

  add (node: NodeId): void {
    this.lastSequence += 1
    this.pending.set(node, { transmissions: 0, sequence: this.lastSequence })
  }

  remove (node: NodeId): void {
    this.pending.delete(node)
  }

  /**
   * Selects the updates that fit and counts each as sent once.
   *
   * @param maxBytes - bytes that the updates may take
   * @param memberCount - number of reachable members
   * @param lookup - returns the current entry of a member
   * @returns updates to send
   */
  select (maxBytes: number, memberCount: number, lookup: (node: NodeId) => Member | undefined): Member[] {
    if (this.pending.size === 0) return []
    const maxTransmissions = Math.max(3, Math.ceil(UPDATE_RETRANSMIT_FACTOR * Math.log2(memberCount + 1)))
    const candidates = [...this.pending].sort(([, a], [, b]) => a.transmissions - b.transmissions || b.sequence - a.sequence)
    const selected: Member[] = []
    let remainingBytes = maxBytes
    for (const [node, entry] of candidates) {
      const member = lookup(node)
      if (member === undefined) {
        this.pending.delete(node)
        continue
      }
      const claim = compactClaim(member)
      const size = updateBytes(claim)
      if (size > remainingBytes) break
      remainingBytes -= size
      selected.push(claim)
      entry.transmissions += 1
      if (entry.transmissions >= maxTransmissions) this.pending.delete(node)
    }
    return selected
  }
}
