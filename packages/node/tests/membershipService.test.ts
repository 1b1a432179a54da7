import { createSocket } from 'node:dgram'

import test from 'ava'

import type { NodeId } from '@bluebellhill/domain'

import type { MembershipService } from '../src/index.js'
import { startFleet, until } from './membershipFleet.js'

test('three services find each other and share values', async (t) => {
  const services = await startFleet(3)
  t.teardown(async () => { await Promise.all(services.map((service) => service.dispose())) })
  const [first] = services as [MembershipService]
  first.publish('load/model-a', Uint8Array.of(1, 2, 3), { scope: 'fleet' })
  await until(() => services.every((service) => service.membersAcceptingWork().length === 3 && service.values('load/model-a').length === 1))
  t.deepEqual(services.map((service) => [...(service.values('load/model-a')[0]?.bytes ?? [])]), [[1, 2, 3], [1, 2, 3], [1, 2, 3]])
})

test('a planned stop is announced immediately and ends in the state "left"', async (t) => {
  const services = await startFleet(3)
  t.teardown(async () => { await Promise.all(services.map((service) => service.dispose())) })
  const [first, second, third] = services as [MembershipService, MembershipService, MembershipService]
  await until(() => services.every((service) => service.membersAcceptingWork().length === 3))
  third.leave()
  await until(() => [first, second].every((service) => service.membersAcceptingWork().length === 2))
  await third.dispose()
  await until(() => [first, second].every((service) => service.members().some((member) => member.state === 'left')))
  t.is(first.members().length, 3)
})

test('datagrams with an unknown secret or random contents are counted and discarded', async (t) => {
  const services = await startFleet(1)
  const [service] = services as [MembershipService]
  const [stranger] = await startFleet(1, { secrets: ['other'], seeds: [service.me().gossipAddress], name: 'stranger' }) as [MembershipService]
  const socket = createSocket('udp4')
  t.teardown(async () => {
    socket.close()
    await Promise.all([service.dispose(), stranger.dispose()])
  })
  const port = Number(service.me().gossipAddress.split(':')[1])
  socket.send(Buffer.alloc(300, 7), port, '127.0.0.1')
  await until(() => service.counters().unauthenticated >= 2)
  t.is(service.members().length, 1)
  t.is(stranger.members().length, 1)
})

test('secrets rotate without losing a member', async (t) => {
  const services = await startFleet(3, { secrets: ['old'] })
  t.teardown(async () => { await Promise.all(services.map((service) => service.dispose())) })
  await until(() => services.every((service) => service.membersAcceptingWork().length === 3))
  const states = new Set<string>()
  for (const service of services) {
    service.onChange((change) => { if (change.type === 'member_changed') states.add(change.member.state) })
  }
  const steps = [['old', 'new'], ['new', 'old'], ['new']]
  for (const secrets of steps) {
    for (const service of services) {
      service.rotateSecrets(secrets)
      const before = service.counters().received
      await until(() => service.counters().received > before)
    }
  }
  t.false(states.has('unreachable'))
  t.is(services.reduce((sum, service) => sum + service.counters().unauthenticated, 0), 0)
})

test('a restarted process replaces its predecessor', async (t) => {
  const services = await startFleet(2)
  const [first, second] = services as [MembershipService, MembershipService]
  await until(() => services.every((service) => service.membersAcceptingWork().length === 2))
  const [successor] = await startFleet(1, { name: 'n', seeds: [first.me().gossipAddress], startedAt: 2_000, firstIndex: 1 }) as [MembershipService]
  t.teardown(async () => { await Promise.all([first, second, successor].map((service) => service.dispose())) })
  const node = successor.me().node as NodeId
  await until(() => first.members().find((member) => member.node === node)?.gossipAddress === successor.me().gossipAddress)
  t.is(first.members().length, 2)
})
