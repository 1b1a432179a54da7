import test from 'ava'
import fc from 'fast-check'

import { ServiceReachability } from '../src/index.js'

test('one failed connection begins one check, and leaves the service reachable until its result', (t) => {
  const reachability = new ServiceReachability()
  t.true(reachability.connectionFailed('s', 10))
  t.false(reachability.connectionFailed('s', 11))
  t.false(reachability.isUnreachable('s'))
  t.true(reachability.isInDoubt('s'))
  t.false(reachability.isInDoubt('other'))
})

test('the check decides, and a later one ends it', (t) => {
  const reachability = new ServiceReachability()
  reachability.connectionFailed('s', 10)
  t.true(reachability.checked('s', false, 20))
  t.true(reachability.isUnreachable('s'))
  t.false(reachability.checked('s', false, 520))
  t.false(reachability.connectionFailed('s', 530))
  t.true(reachability.checked('s', true, 1_020))
  t.false(reachability.isUnreachable('s'))
  t.true(reachability.connectionFailed('s', 1_030))
})

/** Guards against streams on old connections, which go on while new connections are refused. */
test('data ends it only on a connection that is newer than the last failure', (t) => {
  const reachability = new ServiceReachability()
  reachability.connectionFailed('s', 10)
  reachability.checked('s', false, 20)
  t.false(reachability.dataReceived('s', 5))
  t.true(reachability.isUnreachable('s'))
  t.true(reachability.dataReceived('s', 25))
  t.false(reachability.isUnreachable('s'))
  t.false(reachability.dataReceived('s', 26))
})

test('no order of events makes a service unreachable without a failed check, or keeps it so after a good one', (t) => {
  const event = fc.record({ kind: fc.constantFrom('failed', 'good', 'bad', 'data'), service: fc.constantFrom('a', 'b'), gap: fc.integer({ min: 1, max: 100 }) })
  fc.assert(fc.property(fc.array(event, { maxLength: 40 }), (events) => {
    const reachability = new ServiceReachability()
    const last = new Map<string, string>()
    let now = 0
    for (const { kind, service, gap } of events) {
      now += gap
      if (kind === 'failed') reachability.connectionFailed(service, now)
      else if (kind === 'data') reachability.dataReceived(service, now)
      else reachability.checked(service, kind === 'good', now)
      if (kind !== 'failed') last.set(service, kind)
      if (reachability.isUnreachable(service) !== (last.get(service) === 'bad')) return false
    }
    return true
  }), { seed: 29, numRuns: 2_000 })
  t.pass()
})
