/** What placement needs from the platform and the engines; the daemon wires the adapters. */
import type { EngineCommand, FailureDomain, Millis, EngineCommandResult, RunnerId } from '@bluebellhill/domain'

/** Answer to a request for a lease. */
export type LeaseAnswer =
  | { readonly kind: 'granted', readonly revision: number }
  | { readonly kind: 'refused' }
  /** No answer, or one that does not tell whether the write took effect. */
  | { readonly kind: 'unanswered' }

/** Leadership of a failure domain in the key-value service: a key that is created under a lease. */
export abstract class LeadershipStore {
  /**
   * Creates the key with `token` as its value where it does not exist.
   *
   * @param failureDomain - failure domain to lead
   * @param token - names the holder and its term
   * @param lifetime - lifetime of the lease in milliseconds
   * @returns the revision of the key's creation as the fencing number, where granted
   */
  abstract acquire (failureDomain: FailureDomain, token: string, lifetime: Millis): Promise<LeaseAnswer>

  /** Extends the lease by its lifetime; refused where it is gone. `revision` is not read. */
  abstract renew (failureDomain: FailureDomain, token: string): Promise<LeaseAnswer>

  /** Ends the lease where `token` still holds it; also after an unanswered request. */
  abstract release (failureDomain: FailureDomain, token: string): Promise<void>
}

/** Orders to engines. */
export abstract class EngineCommands {
  /** @returns the engine's answer; failures to reach it are `failed` */
  abstract send (runner: RunnerId, fencing: number, command: EngineCommand): Promise<EngineCommandResult>
}
