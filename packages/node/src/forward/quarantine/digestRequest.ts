/** Identifies a request that comes again, at any node and with another attempt id. */
import { createHash } from 'node:crypto'

import { requestSuspect } from '@bluebellhill/domain'
import type { Suspect } from '@bluebellhill/domain'

import type { AdmittedCall } from '../AdmittedCall.js'

/** Bytes of a digest: few on the wire, and too many for anybody to find a request that has the digest of a stranger's. */
const DIGEST_BYTES = 12

/**
 * Two requests are the same if their caller, method, host, path and body are. Headers may differ each time.
 *
 * @param call - the request
 * @returns the suspect that stands for it
 */
export const digestRequest = ({ organisation, method, route, path, body }: Pick<AdmittedCall, 'organisation' | 'method' | 'route' | 'path' | 'body'>): Suspect => {
  const hash = createHash('sha256')
  // Encoded as a list, so that no field can pass for a part of the next one.
  hash.update(JSON.stringify([organisation, method, route.host, path]))
  hash.update(body)
  return requestSuspect(hash.digest().subarray(0, DIGEST_BYTES).toString('base64url'))
}
