/** Authenticates datagrams with a shared secret. */
import { createHmac, timingSafeEqual } from 'node:crypto'

/** Length of the authentication tag, a truncated HMAC-SHA256, in front of the contents of each datagram. */
export const TAG_BYTES = 16

const computeTag = (secret: string, contents: Uint8Array): Buffer =>
  createHmac('sha256', secret).update(contents).digest().subarray(0, TAG_BYTES)

/**
 * Puts an authentication tag in front of the contents; does not encrypt them.
 *
 * @param secret - shared secret
 * @param contents - contents of the datagram
 * @returns the tag followed by the contents
 */
export const signDatagram = (secret: string, contents: Uint8Array): Buffer =>
  Buffer.concat([computeTag(secret, contents), contents])

/**
 * Checks the authentication tag of a datagram and removes it.
 *
 * @param secrets - accepted secrets
 * @param datagram - received datagram
 * @returns the contents, or null if the tag matches none of the secrets
 */
export const verifyDatagram = (secrets: readonly string[], datagram: Uint8Array): Uint8Array | null => {
  if (datagram.length <= TAG_BYTES) return null
  const tag = datagram.subarray(0, TAG_BYTES)
  const contents = datagram.subarray(TAG_BYTES)
  return secrets.some((secret) => timingSafeEqual(tag, computeTag(secret, contents))) ? contents : null
}
