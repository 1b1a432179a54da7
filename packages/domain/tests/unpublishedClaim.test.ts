/** A node publishes its demands for a limited number of limits; the others assume an even share for the rest. */
import test from 'ava'

import { OrganisationLimit } from '../src/index.js'
import type { LimitDemand, OrganisationId } from '../src/index.js'
import { node } from './fixtures.js'

const ORG = 'o' as OrganisationId
const BOUND = 10

test('concurrent requests do not exceed the bound when a node with requests in progress no longer publishes its demand', (t) => {
  const names = [node('n0'), node('n1')]
  const [first, second] = names.map((name) => new OrganisationLimit(ORG, name, { concurrent: BOUND, tokensPerSecond: null }, 0)) as [OrganisationLimit, OrganisationLimit]
  for (let now = 0; now <= 20_000; now += 500) {
    const isPublished = now < 10_000
    const demand = first.demand(now)
    const published: LimitDemand | null = isPublished ? demand : null
    const other = second.demand(now)
    first.setPublishedDemand(published, now)
    second.setPublishedDemand(other, now)
    first.update(names, [other], now)
    second.update(names, published === null ? [] : [published], now)
    if (isPublished) for (let request = 0; request < BOUND; request += 1) first.admit(1, now)
    else for (let request = 0; request < BOUND; request += 1) second.admit(1, now)
  }
  t.log(`${first.inProgress} and ${second.inProgress}`)
  t.true(first.inProgress + second.inProgress <= BOUND, `${first.inProgress} and ${second.inProgress}`)
})
