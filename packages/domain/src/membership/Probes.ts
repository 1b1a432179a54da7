import type { Millis, NodeId } from '../types.js'

/** A probe of this node whose answer is pending. */
export interface Probe {
  readonly sequence: number
  readonly target: NodeId
  readonly sentAt: Millis
  /** Time at which indirect probes were requested; null before. */
  indirectAt: Millis | null
  /** Number of members that were asked for an indirect probe. */
  relayCount: number
  nacks: number
}

/** A probe that this node sent on behalf of another member. */
export interface RelayedProbe {
  readonly requester: string
  readonly requesterSequence: number
  readonly sentAt: Millis
}

/** Stores the pending probes, both those of this node and relayed ones. */
export class Probes {
  private sequence = 0
  private readonly own = new Map<number, Probe>()
  private readonly relayed = new Map<number, RelayedProbe>()

  start (target: NodeId, now: Millis): Probe {
    this.sequence += 1
    const probe: Probe = { sequence: this.sequence, target, sentAt: now, indirectAt: null, relayCount: 0, nacks: 0 }
    this.own.set(probe.sequence, probe)
    return probe
  }

  startRelayed (requester: string, requesterSequence: number, now: Millis): number {
    this.sequence += 1
    this.relayed.set(this.sequence, { requester, requesterSequence, sentAt: now })
    return this.sequence
  }

  get (sequence: number): Probe | undefined {
    return this.own.get(sequence)
  }

  isProbing (target: NodeId): boolean {
    for (const probe of this.own.values()) {
      if (probe.target === target) return true
    }
    return false
  }

  finish (sequence: number): Probe | undefined {
    const probe = this.own.get(sequence)
    this.own.delete(sequence)
    return probe
  }

  finishRelayed (sequence: number): RelayedProbe | undefined {
    const relayed = this.relayed.get(sequence)
    this.relayed.delete(sequence)
    return relayed
  }

  all (): Probe[] {
    return [...this.own.values()]
  }

  /** Removes relayed probes that were sent at or before `deadline` and returns them. */
  removeRelayedUntil (deadline: Millis): RelayedProbe[] {
    const expired = [...this.relayed].filter(([, relayed]) => relayed.sentAt <= deadline)
    for (const [sequence] of expired) this.relayed.delete(sequence)
    return expired.map(([, relayed]) => relayed)
  }

  /** Removes all pending probes; used after a pause of this process. */
  clear (): void {
    this.own.clear()
    this.relayed.clear()
  }
}
