/** JSON form of the etcd v3 API: base64 keys and values, 64-bit integers as decimal strings. */
import { z } from 'zod'

import type { Comparison, KeyValue, Operation, OperationResponse, RangeQuery } from './types.js'

const int64 = z.union([z.string().regex(/^-?\d{1,19}$/), z.number().int()]).transform(Number)
const header = z.object({ revision: int64.optional() }).optional()

const keyValue = z.object({
  key: z.string(),
  value: z.string().default(''),
  mod_revision: int64.default(0),
  create_revision: int64.default(0),
  version: int64.default(0),
  lease: z.union([z.string(), z.number()]).transform(String).default('0')
})
type EncodedKeyValue = z.output<typeof keyValue>

export const rangeSchema = z.object({
  header,
  kvs: z.array(keyValue).default([]),
  more: z.boolean().default(false)
})

const operationResponseSchema = z.object({
  response_put: z.unknown().optional(),
  response_range: rangeSchema.optional(),
  response_delete_range: z.object({ deleted: int64.default(0) }).optional()
})
type EncodedOperationResponse = z.output<typeof operationResponseSchema>

export const transactionSchema = z.object({
  header,
  succeeded: z.boolean().default(false),
  responses: z.array(operationResponseSchema).default([])
})

export const leaseSchema = z.object({
  ID: z.union([z.string(), z.number()]).transform(String),
  TTL: int64.default(0),
  error: z.string().optional()
})

export const keepAliveSchema = z.union([
  z.object({ result: leaseSchema }).transform((answer) => answer.result),
  leaseSchema
])

export const watchSchema = z.object({
  result: z.object({
    header,
    created: z.boolean().default(false),
    canceled: z.boolean().default(false),
    cancel_reason: z.string().optional(),
    compact_revision: int64.optional(),
    events: z.array(z.object({
      type: z.enum(['PUT', 'DELETE']).default('PUT'),
      kv: keyValue
    })).default([])
  })
})

const MAX_BYTE = 0xff

/**
 * Encodes a key.
 *
 * @param key - key as text
 * @returns base64 of the key in UTF-8
 */
export const encodeKey = (key: string): string => Buffer.from(key, 'utf8').toString('base64')

/**
 * Computes the end of the range of all keys with a prefix.
 *
 * @param prefix - common prefix of the keys
 * @returns base64 of the smallest key after the range
 */
export const encodePrefixEnd = (prefix: string): string => {
  const end = Buffer.from(prefix, 'utf8')
  for (let index = end.length - 1; index >= 0; index -= 1) {
    if (end[index]! < MAX_BYTE) {
      end[index]! += 1
      return end.subarray(0, index + 1).toString('base64')
    }
  }
  return Buffer.from([0]).toString('base64')
}

/**
 * Decodes an entry of the store.
 *
 * @param encoded - entry from a response
 * @returns key, value, revisions and lease
 */
export const decodeKeyValue = (encoded: EncodedKeyValue): KeyValue => ({
  key: Buffer.from(encoded.key, 'base64').toString('utf8'),
  value: Buffer.from(encoded.value, 'base64'),
  modRevision: encoded.mod_revision,
  createRevision: encoded.create_revision,
  version: encoded.version,
  lease: encoded.lease
})

/**
 * Encodes a range query.
 *
 * @param query - key or prefix
 * @returns body of the request
 */
export const encodeRange = (query: RangeQuery): Record<string, unknown> => ({
  key: encodeKey(query.after === undefined ? query.key : `${query.after}\0`),
  ...(query.prefix === true ? { range_end: encodePrefixEnd(query.key) } : {}),
  ...(query.limit === undefined ? {} : { limit: String(query.limit) }),
  ...(query.keysOnly === true ? { keys_only: true } : {})
})

/**
 * Encodes a comparison for equality.
 *
 * @param comparison - condition of a transaction
 * @returns JSON form of the comparison
 */
export const encodeComparison = (comparison: Comparison): Record<string, unknown> => {
  const shared = { key: encodeKey(comparison.key), result: 'EQUAL' }
  switch (comparison.target) {
    case 'mod':
      return { ...shared, target: 'MOD', mod_revision: String(comparison.revision) }
    case 'create':
      return { ...shared, target: 'CREATE', create_revision: String(comparison.revision) }
    case 'version':
      return { ...shared, target: 'VERSION', version: String(comparison.version) }
    case 'value':
      return { ...shared, target: 'VALUE', value: comparison.value.toString('base64') }
  }
}

/**
 * Encodes an operation of a transaction.
 *
 * @param operation - put, range or delete operation
 * @returns JSON form of the operation
 */
export const encodeOperation = (operation: Operation): Record<string, unknown> => {
  switch (operation.type) {
    case 'put':
      return {
        request_put: {
          key: encodeKey(operation.key),
          value: operation.value.toString('base64'),
          ...(operation.lease === undefined ? {} : { lease: operation.lease })
        }
      }
    case 'range':
      return { request_range: encodeRange(operation.query) }
    case 'delete':
      return { request_delete_range: { key: encodeKey(operation.key) } }
  }
}

/**
 * Decodes the result of one operation of a transaction.
 *
 * @param encoded - result from the response
 * @returns the result with its operation type
 */
export const decodeOperationResponse = (encoded: EncodedOperationResponse): OperationResponse => {
  if (encoded.response_range !== undefined) return { type: 'range', values: encoded.response_range.kvs.map(decodeKeyValue) }
  if (encoded.response_delete_range !== undefined) return { type: 'delete', deleted: encoded.response_delete_range.deleted }
  return { type: 'put' }
}
