/** Interfaces through which placement uses the key-value service and the engines; the daemon provides the implementations. */
import type { EngineCommand, FailureDomain, Millis, EngineCommandResult, RunnerId } from '@bluebellhill/domain'

/** Answer to a request to acquire or renew a lease. */
export type LeaseAnswer =
  | { readonly kind: 'granted', readonly revision: number }
  | { readonly kind: 'refused' }
  /** There was no answer, or it does not show whether the write took effect. */
  | { readonly kind: 'unanswered' }

/** Leadership of a failure domain as a key that the leader creates under a lease. */
export abstract class LeadershipStore {
  /**
   * Creates the key with `token` as its value if the key does not exist.
   *
   * @param failureDomain - failure domain to lead
   * @param token - identifies the leader and its term
   * @param lifetime - lifetime of the lease in milliseconds
   * @returns if granted, the revision at which the key was created, which is the fencing number
   */
  abstract acquire (failureDomain: FailureDomain, token: string, lifetime: Millis): Promise<LeaseAnswer>

  /** Extends the lease by its lifetime; refused if the lease no longer exists. Callers ignore `revision`. */
  abstract renew (failureDomain: FailureDomain, token: string): Promise<LeaseAnswer>

  /** Ends the lease if `token` still holds it; may also be called after an unanswered request. */
  abstract release (failureDomain: FailureDomain, token: string): Promise<void>
}

/** Client that sends commands to engines. */
export abstract class EngineCommands {
  /** @returns the engine's answer, or `failed` if the engine did not answer */
  abstract send (runner: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult>
}
