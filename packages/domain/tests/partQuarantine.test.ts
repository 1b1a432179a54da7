import test from 'ava'

import { Quarantine, QuarantineStatus } from '../src/index.js'
import type { CrashReport, NodeId, RunnerId } from '../src/index.js'

const NODE = 'n0' as NodeId

/** A server of its own ends at the time of each crash. */
const crash = (at: number, parts: readonly string[], suspects = 1): CrashReport =>
  ({ server: `e${at}` as RunnerId, startedAt: 1, reportedBy: NODE, at, suspects, parts })

/** Another request is answered after the given crashes. */
const quarantineOf = (...reports: readonly CrashReport[]): Quarantine => {
  const quarantine = new Quarantine()
  quarantine.recordSound({ part: 'other', at: 5_000 })
  for (const report of reports) quarantine.recordCrash(report)
  return quarantine
}

const statusOf = (quarantine: Quarantine, part: string, now: number): QuarantineStatus => quarantine.verdict([part, 'own'], now).status

test('one crash makes a part suspected, a second one quarantines it', (t) => {
  const quarantine = quarantineOf(crash(0, ['a']))
  t.is(statusOf(quarantine, 'a', 1), QuarantineStatus.Suspected)
  quarantine.recordCrash(crash(1_000, ['a']))
  t.is(statusOf(quarantine, 'a', 1_001), QuarantineStatus.Quarantined)
  t.is(statusOf(quarantine, 'b', 1_001), QuarantineStatus.Clear)
})

test('crashes say nothing while no request without the part is answered', (t) => {
  const quarantine = new Quarantine()
  for (const at of [0, 1_000, 2_000, 3_000]) quarantine.recordCrash(crash(at, ['a']))
  t.is(statusOf(quarantine, 'a', 3_001), QuarantineStatus.Suspected)
  t.true(quarantine.recordSound({ part: 'other', at: 3_500 }))
  t.is(statusOf(quarantine, 'a', 3_501), QuarantineStatus.Quarantined)
})

test('the last part of a request is no object of a verdict', (t) => {
  const quarantine = quarantineOf(crash(0, ['a']), crash(1_000, ['a']))
  t.is(quarantine.verdict(['b', 'a'], 1_001).status, QuarantineStatus.Clear)
  t.deepEqual(quarantine.suspectsOf([['b', 'a'], ['c']]), { suspects: 1, parts: ['b'] })
})

test('a sound answer after the last crash lifts a quarantine', (t) => {
  const quarantine = quarantineOf(crash(0, ['a']), crash(1_000, ['a']))
  t.is(statusOf(quarantine, 'a', 1_001), QuarantineStatus.Quarantined)
  t.true(quarantine.recordSound({ part: 'a', at: 1_010 }))
  t.is(statusOf(quarantine, 'a', 1_011), QuarantineStatus.Clear)
})

test('servers that end together count as one crash', (t) => {
  const together = [0, 15, 30, 45].map((at) => crash(at, ['a']))
  t.is(statusOf(quarantineOf(...together), 'a', 200), QuarantineStatus.Suspected)
})

test('a server that sends data after its crash was reported has not crashed', (t) => {
  const reports = [crash(0, ['a']), crash(1_000, ['a'])]
  const quarantine = quarantineOf(...reports)
  t.true(quarantine.recordSurvival({ server: reports[1]!.server, startedAt: 1, at: 1_100 }))
  t.is(statusOf(quarantine, 'a', 1_101), QuarantineStatus.Suspected)
  t.like(quarantine.counts(1_101), { crashesKnown: 1, crashesRefuted: 1 })
})

/** Guards against a verdict that waits for a further crash, which cannot come while all engines are down. */
test('a part that was sound is quarantined once others have been sound for a second longer', (t) => {
  const quarantine = new Quarantine()
  quarantine.recordSound({ part: 'a', at: 1_000 })
  for (const at of [1_300, 1_400, 1_500, 1_600, 1_700]) quarantine.recordCrash(crash(at, ['a']))
  quarantine.recordSound({ part: 'other', at: 1_900 })
  t.is(statusOf(quarantine, 'a', 1_901), QuarantineStatus.Suspected)
  quarantine.recordSound({ part: 'other', at: 2_100 })
  t.is(statusOf(quarantine, 'a', 2_101), QuarantineStatus.Quarantined)
})

test('copies agree on a part although they have recorded its last sound answer at different times', (t) => {
  const copies = [850, 990].map((soundAt) => {
    const quarantine = new Quarantine()
    quarantine.recordSound({ part: 'a', at: soundAt })
    for (const at of [1_300, 1_450, 1_600, 1_750, 1_900]) quarantine.recordCrash(crash(at, ['a']))
    quarantine.recordSound({ part: 'other', at: 2_000 })
    return statusOf(quarantine, 'a', 2_001)
  })
  t.deepEqual(copies, [QuarantineStatus.Quarantined, QuarantineStatus.Quarantined])
})
