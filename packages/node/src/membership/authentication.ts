/** Authentication of datagrams by a shared secret. */
import { createHmac, timingSafeEqual } from 'node:crypto'

/** Bytes of the truncated HMAC-SHA256 in front of each datagram. */
export const TAG_BYTES = 16

const computeTag = (secret: string, contents: Uint8Array): Buffer =>
  createHmac('sha256', secret).update(contents).digest().subarray(0, TAG_BYTES)

/**
 * @param secret - shared secret
 * @param contents - contents to protect
 * @returns the tag followed by the contents
 */
export const signDatagram = (secret: string, contents: Uint8Array): Buffer =>
  Buffer.concat([computeTag(secret, contents), contents])

/**
 * @param secrets - accepted secrets
 * @param datagram - what was received
 * @returns the contents, or null where no secret gives the tag
 */
export const verifyDatagram = (secrets: readonly string[], datagram: Uint8Array): Uint8Array | null => {
  if (datagram.length <= TAG_BYTES) return null
  const tag = datagram.subarray(0, TAG_BYTES)
  const contents = datagram.subarray(TAG_BYTES)
  return secrets.some((secret) => timingSafeEqual(tag, computeTag(secret, contents))) ? contents : null
}
