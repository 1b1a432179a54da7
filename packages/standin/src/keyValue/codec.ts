/** The JSON form of the key-value service's messages. */
import { valueTooLarge } from './errors.js'
import { CompareResult, CompareTarget } from './types.js'
import type { Change, Comparison, Entry, KeyRange, Operation, OperationResult } from './types.js'

export type Json = Readonly<Record<string, unknown>>

const LARGEST_VALUE_BYTES = 1_048_576
const BASE64_GROUP = 4
const BYTES_PER_GROUP = 3

const camelCase = (name: string): string => name.replace(/_([a-z])/g, (_, letter: string) => letter.toUpperCase())

const field = (body: Json, name: string): unknown => body[name] ?? body[camelCase(name)]

/**
 * Reads an integer that is sent as a number or as decimal digits.
 *
 * @param body - the message
 * @param name - the field
 * @returns its value; 0 where it is absent
 */
export const integerField = (body: Json, name: string): number => Number(field(body, name) ?? 0)

/**
 * Reads an identifier sent as a number or as decimal digits.
 *
 * @param body - the message
 * @param name - the field
 * @returns its digits; null where it is absent or 0
 */
export const idField = (body: Json, name: string): string | null => {
  const text = String(field(body, name) ?? '0')
  return text === '0' || text === '' ? null : text
}

/**
 * Reads a nested message.
 *
 * @param body - the message
 * @param name - the field
 * @returns the nested message; empty where it is absent
 */
export const messageField = (body: Json, name: string): Json => (field(body, name) ?? {}) as Json

const listField = (body: Json, name: string): readonly Json[] => (field(body, name) ?? []) as readonly Json[]

const bytesOf = (value: unknown): string => Buffer.from(String(value ?? ''), 'base64').toString('latin1')

const base64Of = (bytes: string): string => Buffer.from(bytes, 'latin1').toString('base64')

/**
 * Reads a key or a range.
 *
 * @param body - a message with `key` and `range_end`
 * @returns the range
 */
export const readRange = (body: Json): KeyRange => {
  const end = field(body, 'range_end')
  return { key: bytesOf(body['key']), end: end === undefined || end === '' ? null : bytesOf(end) }
}

/**
 * Reads a write of one key.
 *
 * @param body - the message
 * @returns the operation
 * @throws KeyValueRefusal for a value above 1 MiB
 */
export const readPut = (body: Json): Operation => {
  const value = String(body['value'] ?? '')
  if (value.length / BASE64_GROUP * BYTES_PER_GROUP > LARGEST_VALUE_BYTES + BYTES_PER_GROUP) throw valueTooLarge()
  return { type: 'put', key: bytesOf(body['key']), value, lease: idField(body, 'lease') }
}

const readOperation = (body: Json): Operation => {
  if (field(body, 'request_put')) return readPut(messageField(body, 'request_put'))
  if (field(body, 'request_delete_range')) return { type: 'delete', range: readRange(messageField(body, 'request_delete_range')) }
  const range = messageField(body, 'request_range')
  return { type: 'range', range: readRange(range), limit: integerField(range, 'limit') }
}

const WANTED_FIELDS = {
  [CompareTarget.Version]: 'version',
  [CompareTarget.Create]: 'create_revision',
  [CompareTarget.Mod]: 'mod_revision',
  [CompareTarget.Lease]: 'lease'
} as const

const readComparison = (body: Json): Comparison => {
  const target = (body['target'] ?? CompareTarget.Version) as CompareTarget
  const result = (body['result'] ?? CompareResult.Equal) as CompareResult
  const wanted = target === CompareTarget.Value ? String(body['value'] ?? '') : integerField(body, WANTED_FIELDS[target])
  return { key: bytesOf(body['key']), target, result, wanted }
}

/**
 * Reads a transaction.
 *
 * @param body - the message
 * @returns its conditions and both branches
 * @throws KeyValueRefusal for a value above 1 MiB
 */
export const readTransaction = (body: Json): { compare: Comparison[], success: Operation[], failure: Operation[] } => ({
  compare: listField(body, 'compare').map(readComparison),
  success: listField(body, 'success').map(readOperation),
  failure: listField(body, 'failure').map(readOperation)
})

/**
 * Writes an entry.
 *
 * @param entry - the entry
 * @returns its JSON form
 */
export const writeEntry = (entry: Entry): Json => ({
  key: base64Of(entry.key),
  create_revision: String(entry.createRevision),
  mod_revision: String(entry.modRevision),
  version: String(entry.version),
  value: entry.value,
  ...(entry.lease === null ? {} : { lease: entry.lease })
})

/**
 * Writes a change as a watch sends it.
 *
 * @param change - the change
 * @returns its JSON form
 */
export const writeChange = ({ key, revision, entry, previous }: Change): Json => ({
  ...(entry ? {} : { type: 'DELETE' }),
  kv: entry ? writeEntry(entry) : { key: base64Of(key), mod_revision: String(revision) },
  ...(previous ? { prev_kv: writeEntry(previous) } : {})
})

/**
 * Writes the header of an answer.
 *
 * @param revision - of the store
 * @returns its JSON form
 */
export const writeHeader = (revision: number): Json => ({ cluster_id: '1', member_id: '1', revision: String(revision), raft_term: '1' })

/**
 * Writes an operation's result.
 *
 * @param result - the result
 * @param revision - of the store
 * @returns its JSON form, without the name of the operation
 */
export const writeResult = (result: OperationResult, revision: number): Json => {
  const header = writeHeader(revision)
  switch (result.type) {
    case 'range': return { header, kvs: result.entries.map(writeEntry), count: String(result.count), ...(result.count > result.entries.length ? { more: true } : {}) }
    case 'put': return { header }
    case 'delete': return { header, deleted: String(result.deleted) }
  }
}

const RESPONSE_FIELDS = { range: 'response_range', put: 'response_put', delete: 'response_delete_range' } as const

/**
 * Writes an operation's result as part of a transaction's answer.
 *
 * @param result - the result
 * @param revision - of the store
 * @returns its JSON form under the name of the operation
 */
export const writeTransactionPart = (result: OperationResult, revision: number): Json =>
  ({ [RESPONSE_FIELDS[result.type]]: writeResult(result, revision) })
