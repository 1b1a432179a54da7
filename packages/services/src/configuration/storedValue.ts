/** JSON encoding of configuration values in the key-value service and in messages between nodes. */
import { z } from 'zod'

import type { ConfigurationValue, EditId } from '@bluebellhill/domain'

/** Maximum size of an encoded value in bytes; the key-value service rejects values over 1 MiB. */
export const MAX_VALUE_BYTES = 1_040_000

const FORMAT_VERSION = 1

const revision = z.number().int().min(1).max(Number.MAX_SAFE_INTEGER)
const edit = z.string().min(1).max(64).transform((text) => text as EditId)
const author = z.string().max(200)
const editedAt = z.number().int().min(0)

const valueSchema = z.object({
  format: z.literal(FORMAT_VERSION),
  name: z.string().min(1).max(128),
  revision,
  edit,
  author,
  editedAt,
  removed: z.boolean(),
  text: z.string(),
  history: z.array(z.object({ revision, edit, author, editedAt })).max(200)
})

export const encodeConfigurationValue = (value: ConfigurationValue): Buffer =>
  Buffer.from(JSON.stringify({ format: FORMAT_VERSION, ...value }), 'utf8')

/**
 * Decodes and validates a configuration value.
 *
 * @param bytes - bytes from the key-value service or from another node
 * @returns the value; null if the bytes are too long or are no valid encoding
 */
export const decodeConfigurationValue = (bytes: Uint8Array): ConfigurationValue | null => {
  if (bytes.length > MAX_VALUE_BYTES) return null
  try {
    const checked = valueSchema.safeParse(JSON.parse(Buffer.from(bytes).toString('utf8')))
    if (!checked.success) return null
    const { format: _format, ...value } = checked.data
    return value
  } catch {
    return null
  }
}
