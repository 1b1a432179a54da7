/** What the configuration needs of the other nodes. */
import type { ConfigurationValue, FailureDomain, NodeId, ValueVersion } from '@bluebellhill/domain'

export interface ConfigurationMember {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
}

/** Calls to other nodes; each ends in its own time limit and rejects where the node does not answer. */
export abstract class ConfigurationPeers {
  /** Members that are alive, this node included. */
  abstract members (): readonly ConfigurationMember[]

  /**
   * Compares digests.
   *
   * @param node - whom to ask
   * @param digest - this node's digest
   * @returns null where the digests are the same, else the versions that the other node knows
   */
  abstract versions (node: NodeId, digest: number): Promise<readonly ValueVersion[] | null>

  /**
   * Fetches values.
   *
   * @param node - whom to ask
   * @param names - names of the values
   * @returns those that the other node knows
   */
  abstract values (node: NodeId, names: readonly string[]): Promise<readonly ConfigurationValue[]>

  /**
   * Hands values on.
   *
   * @param node - who gets them
   * @param values - values that the node may not have
   */
  abstract push (node: NodeId, values: readonly ConfigurationValue[]): Promise<void>
}
