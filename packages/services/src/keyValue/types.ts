/** Types of the platform's key-value service: entries, queries, transactions, leases and watches. */

export interface KeyValue {
  readonly key: string
  readonly value: Buffer
  /** Store revision at which this key was last changed. */
  readonly modRevision: number
  readonly createRevision: number
  readonly version: number
  /** Id of the lease that the key is attached to; '0' for none. */
  readonly lease: string
}

export interface RangeQuery {
  readonly key: string
  /** Whether to read all keys that begin with `key`. */
  readonly prefix?: boolean
  /** With `prefix`: reads only keys after this one, for reading in pages. */
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
  /** Compares the store revision of the last change; 0 requires that the key does not exist. */
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
  /** Whether all comparisons were true, so that the success operations ran; otherwise the failure operations ran. */
  readonly succeeded: boolean
  readonly answers: readonly OperationResponse[]
}

export interface Lease {
  readonly id: string
  /** Time to live that the store granted. */
  readonly ttlSeconds: number
}

export type WatchedChange =
  | { readonly type: 'put', readonly value: KeyValue }
  | { readonly type: 'delete', readonly key: string, readonly modRevision: number }

export interface WatchQuery {
  readonly key: string
  readonly prefix?: boolean
  /** First store revision whose changes are reported. */
  readonly startRevision?: number
}
