/** Encodes protobuf messages field by field, as a program of any other origin may, and takes them apart. */

/** Types of fields on the wire. */
export const WireType = { Varint: 0, Fixed64: 1, Bytes: 2, Fixed32: 5 } as const

/** Bits of a varint byte. */
const MORE = 0x80n
const LOW = 0x7fn

const TYPE_BITS = 3n
const TYPE = 7n

/** One encoded field. */
export interface WireField {
  readonly number: bigint
  readonly type: bigint
  readonly bytes: Buffer
}

/** Number of a field and its value: a whole number, a floating-point number, or bytes; an array repeats the field. */
export type FieldValue = bigint | number | string | Buffer
export type MessageFields = Readonly<Record<number, FieldValue | readonly FieldValue[]>>

/** @returns the encoded message */
export const encodeMessage = (fields: MessageFields): Buffer => {
  const encoded = Object.entries(fields).flatMap(([number, values]) => [values as FieldValue | FieldValue[]].flat().map((value) => toField(BigInt(number), value)))
  return Buffer.concat(encoded.map(encodeField))
}

const toField = (number: bigint, value: FieldValue): WireField => {
  if (typeof value === 'bigint') return { number, type: BigInt(WireType.Varint), bytes: varint(value) }
  if (typeof value === 'number') return { number, type: BigInt(WireType.Fixed64), bytes: double(value) }
  return { number, type: BigInt(WireType.Bytes), bytes: Buffer.from(value as string) }
}

/** @returns the encoded field */
export const encodeField = ({ number, type, bytes }: WireField): Buffer =>
  Buffer.concat([varint(number << TYPE_BITS | type), ...(type === BigInt(WireType.Bytes) ? [varint(BigInt(bytes.length))] : []), bytes])

/** @returns the fields of a message; null if the bytes are none */
export const fieldsOf = (message: Buffer): WireField[] | null => {
  const fields: WireField[] = []
  for (let at = 0; at < message.length;) {
    const tag = readVarint(message, at)
    if (tag === null || tag.value < 8n) return null
    const end = endOfField(message, tag.end, tag.value & TYPE)
    if (end === null || end.end > message.length) return null
    fields.push({ number: tag.value >> TYPE_BITS, type: tag.value & TYPE, bytes: message.subarray(end.start, end.end) })
    at = end.end
  }
  return fields
}

const endOfField = (message: Buffer, start: number, type: bigint): { start: number, end: number } | null => {
  if (type === BigInt(WireType.Fixed64)) return { start, end: start + 8 }
  if (type === BigInt(WireType.Fixed32)) return { start, end: start + 4 }
  if (type !== BigInt(WireType.Varint) && type !== BigInt(WireType.Bytes)) return null
  const number = readVarint(message, start)
  if (number === null) return null
  return type === BigInt(WireType.Varint) ? { start, end: number.end } : { start: number.end, end: number.end + Number(number.value) }
}

const readVarint = (message: Buffer, start: number): { value: bigint, end: number } | null => {
  let value = 0n
  for (let at = start, shift = 0n; at < message.length; at += 1, shift += 7n) {
    const byte = BigInt(message[at] ?? 0)
    value |= (byte & LOW) << shift
    if ((byte & MORE) === 0n) return { value, end: at + 1 }
  }
  return null
}

/** @returns the bytes of a whole number */
export const varint = (value: bigint): Buffer => {
  const bytes: number[] = []
  let rest = value
  for (; rest > LOW; rest >>= 7n) bytes.push(Number((rest & LOW) | MORE))
  return Buffer.from([...bytes, Number(rest)])
}

/** @returns the bytes of a floating-point number */
export const double = (value: number): Buffer => {
  const bytes = Buffer.alloc(8)
  bytes.writeDoubleLE(value)
  return bytes
}
