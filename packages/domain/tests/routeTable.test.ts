import test from 'ava'

import { pickService, RouteTable } from '../src/index.js'
import type { Deployment } from '../src/index.js'
import { ROUTE } from './forwardingFixtures.js'

const deployment: Deployment = {
  version: 7,
  routes: [
    { ...ROUTE, name: 'outer', pathPrefix: '/a/' },
    { ...ROUTE, name: 'inner', pathPrefix: '/a/b/' },
    { ...ROUTE, name: 'other', host: 'b.example', pathPrefix: '/' }
  ],
  services: [{ name: 's', healthPath: '/healthz', maxConnections: 10, engine: null }],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  organisations: [{ name: 'growers', apiKeys: ['k1', 'k2'], priority: 1 }]
}
const table = new RouteTable(deployment)

test('the longest prefix wins', (t) => {
  t.is(table.route('a.example', '/a/b/c')?.name, 'inner')
  t.is(table.route('a.example', '/a/c')?.name, 'outer')
})

test('a prefix ends at a slash', (t) => {
  t.is(table.route('a.example', '/ab'), null)
  t.is(table.route('a.example', '/a'), null)
})

test('the query is not part of the path', (t) => {
  t.is(table.route('a.example', '/a/?x=/a/b/')?.name, 'outer')
  t.is(table.route('b.example', '/?/a/b/')?.name, 'other')
})

test('hosts are compared without case and port', (t) => {
  t.is(table.route('B.Example:8080', '/x')?.name, 'other')
  t.is(table.route('c.example', '/x'), null)
})

test('every API key is mapped to its organisation', (t) => {
  t.is(table.organisation('k2')?.name, 'growers')
  t.is(table.organisation('k3'), null)
  t.true(table.isKeyRequired)
})

test('services are picked by weight', (t) => {
  const route = { ...ROUTE, services: [{ service: 'none', weight: 0 }, { service: 'most', weight: 90 }, { service: 'few', weight: 10 }] }
  t.is(pickService(route, 0), 'most')
  t.is(pickService(route, 0.89), 'most')
  t.is(pickService(route, 0.91), 'few')
  t.is(pickService({ ...route, services: [] }, 0.5), null)
})
