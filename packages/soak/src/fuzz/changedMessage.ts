/** Changes single fields of encoded protobuf messages, so that they stay well-formed and state any value. */
import type { Random } from '../Random.js'
import { double, encodeField, fieldsOf, varint, WireType } from './wireMessage.js'
import type { WireField } from './wireMessage.js'

const VARINTS = [0n, 1n, 2n ** 31n - 1n, 2n ** 31n, 2n ** 32n - 1n, 2n ** 32n, 2n ** 36n, 2n ** 53n, 2n ** 63n, 2n ** 64n - 1n]
const DOUBLES = [NaN, Infinity, -Infinity, -1, 0, -0, 1e308, 5e-324]

const LONG_BYTES = 20_000
const MOST_COPIES = 300

/**
 * @param message - a well-formed message
 * @param random - choices
 * @returns the message with one field changed, removed or repeated, at any depth
 */
export const changedMessage = (message: Uint8Array, random: Random): Buffer => {
  const fields = fieldsOf(Buffer.from(message)) ?? []
  if (fields.length === 0) return encodeField({ number: BigInt(random.between(1, 30)), type: BigInt(WireType.Varint), bytes: varint(random.pick(VARINTS)) })
  const index = random.between(0, fields.length - 1)
  const changed = fields.flatMap((field, at) => at === index ? changedField(field, random) : [field])
  return Buffer.concat(changed.map(encodeField))
}

const changedField = (field: WireField, random: Random): WireField[] => {
  const choice = random.between(0, 9)
  if (choice === 0) return []
  if (choice === 1) return Array.from({ length: random.between(2, MOST_COPIES) }, () => field)
  if (choice === 2) return [{ ...field, type: BigInt(random.between(0, 7)) }]
  if (field.type === BigInt(WireType.Varint)) return [{ ...field, bytes: varint(random.pick(VARINTS)) }]
  if (field.type === BigInt(WireType.Fixed64)) return [{ ...field, bytes: double(random.pick(DOUBLES)) }]
  return [{ ...field, bytes: changedBytes(field.bytes, random) }]
}

const changedBytes = (bytes: Buffer, random: Random): Buffer => {
  const inner = random.between(0, 3) === 0 ? null : fieldsOf(bytes)
  if (inner !== null && inner.length > 0) return changedMessage(bytes, random)
  return random.pick([Buffer.alloc(0), Buffer.alloc(random.between(1, LONG_BYTES), 'a'), Buffer.from([0xff, 0xfe, 0]), Buffer.from('__proto__'), Buffer.from('127.0.0.1:99999'), Buffer.from('127.0.0.1:1:2')])
}
