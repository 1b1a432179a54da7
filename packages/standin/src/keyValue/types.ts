/** Types of the stand-in key-value service. */

/** A key's value at one revision. */
export interface Entry {
  /** Bytes of the key, one character a byte, so that the order of strings is that of bytes. */
  readonly key: string
  /** Base64, as received. */
  readonly value: string
  readonly createRevision: number
  readonly modRevision: number
  readonly version: number
  readonly lease: string | null
}

/** One change. */
export interface Change {
  readonly revision: number
  readonly key: string
  /** The new entry; null after a deletion. */
  readonly entry: Entry | null
  readonly previous: Entry | null
}

/** One key or a range of keys. */
export interface KeyRange {
  readonly key: string
  /** End of the range, not contained; null for the one key. */
  readonly end: string | null
}

export const CompareTarget = { Version: 'VERSION', Create: 'CREATE', Mod: 'MOD', Value: 'VALUE', Lease: 'LEASE' } as const
export type CompareTarget = typeof CompareTarget[keyof typeof CompareTarget]

export const CompareResult = { Equal: 'EQUAL', Greater: 'GREATER', Less: 'LESS', NotEqual: 'NOT_EQUAL' } as const
export type CompareResult = typeof CompareResult[keyof typeof CompareResult]

/** One condition of a transaction. */
export interface Comparison {
  readonly key: string
  readonly target: CompareTarget
  readonly result: CompareResult
  /** A number, or the base64 value. */
  readonly wanted: number | string
}

export type Operation =
  | { readonly type: 'range', readonly range: KeyRange, readonly limit: number }
  | { readonly type: 'put', readonly key: string, readonly value: string, readonly lease: string | null }
  | { readonly type: 'delete', readonly range: KeyRange }

export type OperationResult =
  | { readonly type: 'range', readonly entries: readonly Entry[], readonly count: number }
  | { readonly type: 'put', readonly previous: Entry | null }
  | { readonly type: 'delete', readonly deleted: number }

/** A lease. Times in milliseconds. */
export interface Lease {
  readonly id: string
  readonly ttlMs: number
  expiresAt: number
}
