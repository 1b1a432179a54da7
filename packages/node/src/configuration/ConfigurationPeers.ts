/** Interface through which the configuration service calls the other nodes. */
import type { ConfigurationValue, FailureDomain, NodeId, ValueVersion } from '@bluebellhill/domain'

export interface ConfigurationMember {
  readonly node: NodeId
  readonly failureDomain: FailureDomain
}

/** Calls to other nodes. Each call has a timeout and rejects if the node does not answer. */
export abstract class ConfigurationPeers {
  /** Members that are alive, including this node. */
  abstract members (): readonly ConfigurationMember[]

  /**
   * Compares the digests of two nodes.
   *
   * @param node - the other node
   * @param digest - this node's digest
   * @returns null if the digests are equal, otherwise the versions of the other node's values
   */
  abstract versions (node: NodeId, digest: number): Promise<readonly ValueVersion[] | null>

  /**
   * Fetches values by name.
   *
   * @param node - the other node
   * @param names - names of the values
   * @returns the values that the other node has
   */
  abstract values (node: NodeId, names: readonly string[]): Promise<readonly ConfigurationValue[]>

  /**
   * Sends values to another node.
   *
   * @param node - the receiver
   * @param values - values that the receiver may lack
   */
  abstract push (node: NodeId, values: readonly ConfigurationValue[]): Promise<void>
}
