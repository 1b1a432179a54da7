/** Loads of memory-bound engines on one scheduler, in virtual time. */
import test from 'ava'

import { AdmissionFleet, LONG, MEDIUM, randomOf, SHORT } from './admissionFleet.js'
import type { Kind, Request } from './admissionFleet.js'

const isPlaced = ({ placedAfter }: Request): boolean => placedAfter !== null
const summary = (requests: readonly Request[]): string => `${requests.filter(isPlaced).length} of ${requests.length} placed, ${requests.filter(({ hasWaited }) => hasWaited).length} waited, p95 ${quantile(requests, 0.95)}, p99 ${quantile(requests, 0.99)}${refusals(requests)}`
const refusals = (requests: readonly Request[]): string => ['no_room', 'too_late', 'no_server'].map((reason) => `, ${reason} ${requests.filter(({ refusal }) => refusal === reason).length}`).join('')
const quantile = (requests: readonly Request[], share: number): number => Math.round(requests.map(({ firstAfter }) => firstAfter).sort((a, b) => a - b)[Math.floor(share * requests.length)] ?? 0)

const CALM: ReadonlyArray<readonly [number, number, number, Partial<Kind>, Partial<Kind>]> = [[47, 5.6, 2.0, {}, {}], [55, 3.8, 2.3, { objective: 304 }, { objective: 3_000 }]]
for (const [short, medium, long, shortChanges, longChanges] of CALM) {
  for (const seed of [1, 2, 3]) {
    test(`calm load of 54 engines: ${short}, ${medium} and ${long} requests a second, seed ${seed}: none is refused`, (t) => {
      const fleet = new AdmissionFleet(54)
      fleet.load({ ...SHORT, ...shortChanges }, short, 0, 30_000, { random: randomOf(seed) })
      fleet.load(MEDIUM, medium, 0, 30_000, { random: randomOf(seed + 10) })
      fleet.load({ ...LONG, ...longChanges }, long, 0, 30_000, { random: randomOf(seed + 20) })
      fleet.run(60_000)
      for (const name of ['short', 'medium', 'long']) t.log(name, summary(fleet.requests.filter(({ kind }) => kind.name === name)))
      t.deepEqual(fleet.requests.filter((request) => !isPlaced(request)).map(({ kind, refusal }) => `${kind.name} ${refusal}`), [])
    })
  }
}

const ofOrganisation = (fleet: AdmissionFleet, name: string): Request[] => fleet.requests.filter(({ organisation }) => organisation === name)
const ofKind = (fleet: AdmissionFleet, { name }: Kind): Request[] => fleet.requests.filter(({ kind }) => kind.name === name)

/** Requests per second that 12 engines serve under overload, once all of them are in use. */
const capacityOf = (kind: Kind): number => {
  const fleet = new AdmissionFleet(12)
  fleet.load(kind, 200, 0, 25_000)
  fleet.run(25_000)
  return fleet.requests.filter(({ arrivedAt, placedAfter }) => placedAfter !== null && arrivedAt + placedAfter >= 5_000).length / 20
}

for (const kind of [SHORT, MEDIUM, LONG]) {
  // Without shares, an organisation is served in proportion to what it sends.
  test(`an organisation that sends ten times its share of ${kind.name} prompts leaves another at least 0.8 of its own`, (t) => {
    const share = capacityOf(kind) / 2
    const fleet = new AdmissionFleet(12)
    fleet.load(kind, 10 * share, 0, 20_000, { organisation: 'many' })
    fleet.load(kind, share, 0, 20_000, { organisation: 'few', random: randomOf(2) })
    fleet.run(40_000)
    const few = ofOrganisation(fleet, 'few')
    t.log(`share ${share} a second; many: ${summary(ofOrganisation(fleet, 'many'))}; few: ${summary(few)}`)
    t.true(few.filter(isPlaced).length >= 0.8 * few.length)
  })
}

test('54 engines, a burst of 5.8 long prompts a second, and urgent short ones at 118 a second: these are served on time', (t) => {
  const fleet = new AdmissionFleet(54)
  fleet.load(LONG, 5.8, 0, 10_000, { urgency: 7 })
  fleet.load(MEDIUM, 5.6, 0, 10_000, { random: randomOf(2) })
  fleet.load(SHORT, 47, 0, 3_000, { urgency: 0, random: randomOf(3) })
  fleet.load(SHORT, 118, 3_000, 10_000, { urgency: 0, random: randomOf(4) })
  fleet.run(40_000)
  const short = ofKind(fleet, SHORT)
  t.log(`long: ${summary(ofKind(fleet, LONG))}; medium: ${summary(ofKind(fleet, MEDIUM))}; short: ${summary(short)}`)
  t.true(short.every(isPlaced))
  t.true(quantile(short, 0.95) <= SHORT.objective)
})

// Without held engines, smaller prompts take what becomes free, and no engine is ever empty enough.
test('the largest prompts are served while smaller ones keep coming, more than the engines can serve', (t) => {
  const fleet = new AdmissionFleet(12)
  const largest = { ...LONG, prompt: 600_000 }
  fleet.load(SHORT, 20, 0, 30_000)
  fleet.load(MEDIUM, 25, 0, 30_000, { random: randomOf(2) })
  for (let at = 3_000; at < 25_000; at += 4_000) fleet.after(at, () => fleet.send(at % 3 === 0 ? largest : LONG))
  fleet.run(60_000)
  const large = fleet.requests.filter(({ kind }) => kind.prompt >= LONG.prompt)
  t.log(`large: ${summary(large)}; short: ${summary(ofKind(fleet, SHORT))}; medium: ${summary(ofKind(fleet, MEDIUM))}`)
  t.true(large.every(isPlaced))
})

test('a burst of long prompts, and short ones seconds later: what waits is served, and smaller requests are let past', (t) => {
  const fleet = new AdmissionFleet(20)
  fleet.load(SHORT, 17, 0, 20_000)
  fleet.load(LONG, 0.8, 0, 20_000, { random: randomOf(2) })
  fleet.load(LONG, 2.3, 5_000, 9_000, { random: randomOf(3) })
  fleet.load(SHORT, 34, 8_000, 12_000, { random: randomOf(4) })
  fleet.run(50_000)
  t.log(`long: ${summary(ofKind(fleet, LONG))}; short: ${summary(ofKind(fleet, SHORT))}`)
  t.deepEqual(fleet.requests.filter((request) => !isPlaced(request)).map(({ kind, refusal }) => `${kind.name} ${refusal}`), [])
})

// Guards against a round that stops at its limit of evaluations and leaves free memory unused until the next one.
test('memory that becomes free at once serves all requests that wait for it within 40 ms', (t) => {
  const fleet = new AdmissionFleet(1)
  const end = fleet.occupy(190_000, 480)
  for (let index = 0; index < 8; index += 1) fleet.send(SHORT)
  fleet.run(300)
  t.is(fleet.scheduler.admission.waitingCount, 8)
  end()
  fleet.run(340)
  t.true(fleet.requests.every(isPlaced), summary(fleet.requests))
})
