/** Values, events and effects of the operators' configuration. */
import type { Branded, NodeId } from '../types.js'

/** Unique id of one edit, chosen by whoever makes it. */
export type EditId = Branded<string, 'EditId'>

/** What is remembered of an edit. */
export interface EditRecord {
  readonly revision: number
  readonly edit: EditId
  readonly author: string
  /** Wall time of the author, in milliseconds since the epoch. */
  readonly editedAt: number
}

/** One value of the configuration: the fleet's or an organisation's. */
export interface ConfigurationValue extends EditRecord {
  readonly name: string
  /** True where the operator removed it; the value stays so that the removal spreads. */
  readonly removed: boolean
  /** YAML as the operator wrote it. */
  readonly text: string
  /** Edits before this one, the newest first. */
  readonly history: readonly EditRecord[]
}

/** A value as the key-value service holds it. */
export interface StoredValue {
  readonly name: string
  /** The service's own revision of the key. */
  readonly modRevision: number
  /** Null where the stored bytes are no value of the configuration. */
  readonly value: ConfigurationValue | null
}

/** Where a value came from. */
export type ValueSource =
  | { readonly type: 'store' }
  | { readonly type: 'peer', readonly node: NodeId }

export type ConfigurationEvent =
  /** Every value of the store, read at once. */
  | { readonly type: 'store_read', readonly stored: readonly StoredValue[] }
  | { readonly type: 'store_changed', readonly stored: StoredValue }
  | { readonly type: 'store_deleted', readonly name: string }
  | { readonly type: 'received', readonly from: NodeId, readonly values: readonly ConfigurationValue[] }
  /** A write-back ended, whether it took effect or not. */
  | { readonly type: 'written_back', readonly name: string }

export type ConfigurationEffect =
  /** The value is in force from now on. */
  | { readonly type: 'install', readonly value: ConfigurationValue, readonly source: ValueSource }
  /** Values that the other nodes may not have yet. */
  | { readonly type: 'push', readonly values: readonly ConfigurationValue[] }
  /** The store shows an older value: write the newer one if the key is still as it was read. */
  | { readonly type: 'write_back', readonly value: ConfigurationValue, readonly modRevision: number }
  /** The newer value does not descend from the one in force: an accepted edit was overwritten. */
  | { readonly type: 'report_fork', readonly value: ConfigurationValue, readonly overwritten: EditRecord }
  /** The value cannot be put in force; the one before stays. */
  | { readonly type: 'report_unusable', readonly name: string, readonly revision: number | null, readonly reason: string }

/** Revision and edit of a value, for comparison with a peer. */
export interface ValueVersion {
  readonly name: string
  readonly revision: number
  readonly edit: EditId
}
