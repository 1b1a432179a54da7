/** Converts configuration values between their domain types and the peer messages. */
import type { ConfigurationValue, EditId, EditRecord, ValueVersion } from '@bluebellhill/domain'
import type { Edit, Value, Version } from '@bluebellhill/protocol'

export const encodeValue = (value: ConfigurationValue): Value => ({
  name: value.name,
  edit: encodeEdit(value),
  removed: value.removed,
  text: value.text,
  history: value.history.map(encodeEdit)
})

export const decodeValue = (message: Value): ConfigurationValue => ({
  ...decodeEdit(message.edit),
  name: message.name,
  removed: message.removed,
  text: message.text,
  history: message.history.map(decodeEdit)
})

export const encodeVersion = (version: ValueVersion): Version => ({
  name: version.name,
  revision: BigInt(version.revision),
  edit: version.edit
})

export const decodeVersion = (message: Version): ValueVersion => ({
  name: message.name,
  revision: Number(message.revision),
  edit: message.edit as EditId
})

const encodeEdit = (record: EditRecord): Edit => ({
  revision: BigInt(record.revision),
  edit: record.edit,
  author: record.author,
  editedAt: BigInt(record.editedAt)
})

const decodeEdit = (message: Edit | undefined): EditRecord => ({
  revision: Number(message?.revision ?? 0n),
  edit: (message?.edit ?? '') as EditId,
  author: message?.author ?? '',
  editedAt: Number(message?.editedAt ?? 0n)
})
