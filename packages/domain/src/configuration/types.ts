/** Types of the operators' configuration: values, edits, events and effects. */
import type { Branded, NodeId } from '../types.js'

/** Unique id of one edit, chosen by the client that makes it. */
export type EditId = Branded<string, 'EditId'>

/** Metadata of an edit. */
export interface EditRecord {
  readonly revision: number
  readonly edit: EditId
  readonly author: string
  /** Wall time of the author, in milliseconds since the epoch. */
  readonly editedAt: number
}

/** One configuration value: that of the fleet or that of an organisation. */
export interface ConfigurationValue extends EditRecord {
  readonly name: string
  /** True if an operator removed the value; it is kept so that the removal reaches all nodes. */
  readonly removed: boolean
  /** YAML as the operator wrote it. */
  readonly text: string
  /** Edits before this one, the newest first. */
  readonly history: readonly EditRecord[]
}

/** A value as the key-value service stores it. */
export interface StoredValue {
  readonly name: string
  /** The service's own revision of the key. */
  readonly modRevision: number
  /** Null if the stored bytes are not a configuration value. */
  readonly value: ConfigurationValue | null
}

/** Source from which a node received a value. */
export type ValueSource =
  | { readonly type: 'store' }
  | { readonly type: 'peer', readonly node: NodeId }

export type ConfigurationEvent =
  /** All values of the store, read at once. */
  | { readonly type: 'store_read', readonly stored: readonly StoredValue[] }
  | { readonly type: 'store_changed', readonly stored: StoredValue }
  | { readonly type: 'store_deleted', readonly name: string }
  | { readonly type: 'received', readonly from: NodeId, readonly values: readonly ConfigurationValue[] }
  /** A write-back finished, whether it took effect or not. */
  | { readonly type: 'written_back', readonly name: string }

export type ConfigurationEffect =
  /** The value is in force from now on. */
  | { readonly type: 'install', readonly value: ConfigurationValue, readonly source: ValueSource }
  /** Values to send to other nodes, which may not have them yet. */
  | { readonly type: 'push', readonly values: readonly ConfigurationValue[] }
  /** The store has an older value: write the newer one if the key is unchanged since it was read. */
  | { readonly type: 'write_back', readonly value: ConfigurationValue, readonly modRevision: number }
  /** The newer value does not descend from the one in force: an accepted edit was overwritten. */
  | { readonly type: 'report_fork', readonly value: ConfigurationValue, readonly overwritten: EditRecord }
  /** The value cannot be put in force; the previous one stays in force. */
  | { readonly type: 'report_unusable', readonly name: string, readonly revision: number | null, readonly reason: string }

/** Revision and edit of a value, for comparison with the versions of a peer. */
export interface ValueVersion {
  readonly name: string
  readonly revision: number
  readonly edit: EditId
}
