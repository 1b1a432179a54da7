/** Values and transactions of the platform's key-value service. */

export interface KeyValue {
  readonly key: string
  readonly value: Buffer
  /** Store revision of the last change of this key. */
  readonly modRevision: number
  readonly createRevision: number
  readonly version: number
  /** Lease that the key hangs on; '0' for none. */
  readonly lease: string
}

export interface RangeQuery {
  readonly key: string
  /** All keys that begin with `key`. */
  readonly prefix?: boolean
  /** With `prefix`: only keys behind this one, for reading in pages. */
  readonly after?: string
  readonly limit?: number
  readonly keysOnly?: boolean
}

export interface RangeResponse {
  /** Store revision at which the range was read. */
  readonly revision: number
  readonly values: readonly KeyValue[]
  readonly more: boolean
}

export type Comparison =
  /** Revision of the last change; 0 where the key must not exist. */
  | { readonly target: 'mod', readonly key: string, readonly revision: number }
  | { readonly target: 'create', readonly key: string, readonly revision: number }
  | { readonly target: 'version', readonly key: string, readonly version: number }
  | { readonly target: 'value', readonly key: string, readonly value: Buffer }

export type Operation =
  | { readonly type: 'put', readonly key: string, readonly value: Buffer, readonly lease?: string }
  | { readonly type: 'range', readonly query: RangeQuery }
  | { readonly type: 'delete', readonly key: string }

export interface Transaction {
  readonly compare: readonly Comparison[]
  readonly success: readonly Operation[]
  readonly failure: readonly Operation[]
}

export type OperationResponse =
  | { readonly type: 'put' }
  | { readonly type: 'range', readonly values: readonly KeyValue[] }
  | { readonly type: 'delete', readonly deleted: number }

export interface TransactionResponse {
  readonly revision: number
  /** Whether every comparison held; the answers are those of the branch that ran. */
  readonly succeeded: boolean
  readonly answers: readonly OperationResponse[]
}

export interface Lease {
  readonly id: string
  /** Seconds that the store granted. */
  readonly ttlSeconds: number
}

export type WatchedChange =
  | { readonly type: 'put', readonly value: KeyValue }
  | { readonly type: 'delete', readonly key: string, readonly modRevision: number }

export interface WatchQuery {
  readonly key: string
  readonly prefix?: boolean
  /** First store revision whose changes are wanted. */
  readonly startRevision?: number
}
