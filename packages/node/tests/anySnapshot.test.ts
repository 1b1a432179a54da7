/** Whatever one node has taken from the store, the others can take from it. */
import test from 'ava'
import fc from 'fast-check'

import { storeRevision } from '@bluebellhill/domain'
import { parseDeployment, parseServerEntry, StoreKey } from '@bluebellhill/platform'
import { anyConfigurationText, anyServerText } from '@bluebellhill/platform-standin'

import { decodeSnapshot, encodeSnapshot } from '../src/forward/peers/snapshotCodec.js'

const RUNS = { seed: 43, numRuns: 2_000 }

const OWN_ERA = 1

// Guards against nodes that follow the configuration no more because they hear of it from others: one field of it was refused, and all of it with it.
test('a configuration that a node takes from the store is taken by the others from it', (t) => {
  let taken = 0
  fc.assert(fc.property(anyConfigurationText, (json) => {
    const parsed = parseDeployment(json)
    if (!parsed.ok) return
    taken += 1
    const decoded = decodeSnapshot(Buffer.from(encodeSnapshot({ deployment: parsed.value, servers: null })), { era: OWN_ERA, isKeyRequired: false })
    if (!decoded.ok) throw new Error(JSON.stringify(decoded.failure))
    // The wire knows neither a negative zero nor a lone surrogate.
    if (JSON.stringify(decoded.value.deployment) !== Buffer.from(JSON.stringify(parsed.value)).toString('utf8')) throw new Error('it has changed')
  }), RUNS)
  t.true(taken > RUNS.numRuns / 10, `${taken} of ${RUNS.numRuns}`)
})

test('a server that a node takes from the store is taken by the others from it', (t) => {
  let taken = 0
  fc.assert(fc.property(anyServerText, fc.string({ minLength: 1 }), (json, id) => {
    const parsed = parseServerEntry(`${StoreKey.BackendServers}${id}`, json)
    if (!parsed.ok) return
    taken += 1
    const revision = storeRevision(OWN_ERA, 5)
    const decoded = decodeSnapshot(Buffer.from(encodeSnapshot({ deployment: null, servers: { listed: [{ server: parsed.value, revision }], revision } })), { era: OWN_ERA, isKeyRequired: false })
    if (!decoded.ok) throw new Error(JSON.stringify(decoded.failure))
    if (decoded.value.servers?.listed.length !== 1) throw new Error('it is missing')
  }), RUNS)
  t.true(taken > RUNS.numRuns / 10, `${taken} of ${RUNS.numRuns}`)
})
