import test from 'ava'

import type { LimitDemand, NodeId, OrganisationId } from '@bluebellhill/domain'
import { hashText } from '@bluebellhill/domain'
import { gossipWire } from '@bluebellhill/protocol'

import { decodeDemand, encodeDemands } from '../src/limits/limitCodec.js'

const NODE = 'n0' as NodeId

const demandOf = (organisation: string, claim?: number): LimitDemand =>
  ({ organisation: organisation as OrganisationId, node: NODE, held: 2, concurrent: 5, tokensPerSecond: 300, ...(claim === undefined ? {} : { claim }) })

test('demands with and without a claim are the same after encoding and decoding', (t) => {
  const demands = [demandOf('a', 3), demandOf('b'), demandOf('c', 0)]
  const bytes = encodeDemands(demands)
  for (const demand of demands) t.deepEqual(decodeDemand(demand.organisation, NODE, bytes), demand)
  t.is(decodeDemand('d' as OrganisationId, NODE, bytes), null)
})

test('a demand of an earlier build, which has no claims, can be read', (t) => {
  const bytes = gossipWire.LimitDemands.encode({ limits: [hashText('a')], held: [2], concurrent: [5], tokenRate: [3], claims: [] }).finish()
  t.deepEqual(decodeDemand('a' as OrganisationId, NODE, bytes), demandOf('a'))
})
