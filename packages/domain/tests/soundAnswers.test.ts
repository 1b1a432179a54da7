import test from 'ava'

import { Quarantine, QuarantineStatus } from '../src/index.js'
import type { CrashReport, Millis, NodeId, PromptPart, RunnerId } from '../src/index.js'
import { MAX_SOUND_PARTS } from '../src/forwarding/quarantine/constants.js'
import { SoundAnswers } from '../src/forwarding/quarantine/SoundAnswers.js'

const SERVICE = 's'
const partOf = (number: number): PromptPart => number.toString(16)

/** Records sound answers to requests with parts that were never seen before; each part counts as one millisecond. */
const recordNew = (quarantine: Quarantine, from: number, count: number): void => {
  for (let number = from; number < from + count; number += 1) quarantine.recordSound({ part: partOf(number), at: number, service: SERVICE })
}

const crashOf = (index: number, at: Millis, parts: readonly PromptPart[]): CrashReport =>
  ({ server: `r${index}` as RunnerId, startedAt: 1, service: SERVICE, reportedBy: 'n1' as NodeId, at, suspects: 1, parts: [...parts] })

// Guards against nodes that hang once they have seen as many parts as they keep (review/6): each further part copied all of them.
test('answers with hundreds of parts cost little once as many parts were seen as are kept', (t) => {
  const quarantine = new Quarantine()
  recordNew(quarantine, 0, 2 * MAX_SOUND_PARTS)
  const startedAt = performance.now()
  recordNew(quarantine, 2 * MAX_SOUND_PARTS, 20 * 300)
  const took = performance.now() - startedAt
  t.true(took < 2_000, `${Math.round(took)} ms for 20 answers with 300 parts each`)
})

test('a part that crashes servers is found although more parts were seen than are kept', (t) => {
  const quarantine = new Quarantine()
  recordNew(quarantine, 0, 2 * MAX_SOUND_PARTS + 7)
  const from = 3 * MAX_SOUND_PARTS
  for (let index = 0; index < 3; index += 1) {
    quarantine.recordCrash(crashOf(index, from + index * 1_000, ['deadly', partOf(0)]))
    recordNew(quarantine, from + index * 1_000 + 500, 300)
  }
  t.is(quarantine.verdict(['deadly', 'own'], from + 3_000).status, QuarantineStatus.Quarantined)
  t.is(quarantine.verdict([partOf(2 * MAX_SOUND_PARTS), 'own'], from + 3_000).status, QuarantineStatus.Clear)
})

test('the sound answers of parts in crash reports are kept while all others are dropped', (t) => {
  const quarantine = new Quarantine()
  recordNew(quarantine, 0, 32)
  quarantine.recordCrash(crashOf(0, 40, Array.from({ length: 32 }, (_, index) => partOf(index))))
  recordNew(quarantine, 1_000, 3 * MAX_SOUND_PARTS)
  const { sounds } = quarantine.facts(4 * MAX_SOUND_PARTS)
  for (let index = 0; index < 32; index += 1) t.true(sounds.some(({ part }) => part === partOf(index)))
})

test('never more are kept than the capacity, and never much fewer', (t) => {
  const sounds = new SoundAnswers(1_000)
  let kept = 0
  for (let number = 0; number < 10_000; number += 1) {
    sounds.record({ part: partOf(number), at: number * 1_000, service: SERVICE })
    kept += 1 - sounds.trim(() => false)
    if (kept > 1_000 || (number > 1_000 && kept < 900)) t.fail(`${kept} of ${number}`)
  }
  t.is(sounds.find(partOf(0)), null)
  t.is(sounds.find(partOf(9_999)), 9_999_000)
})

test('what is kept does not stop the dropping of others', (t) => {
  const sounds = new SoundAnswers(100)
  const isKept = (part: PromptPart): boolean => Number.parseInt(part, 16) < 90
  for (let number = 0; number < 1_000; number += 1) {
    sounds.record({ part: partOf(number), at: number * 1_000, service: SERVICE })
    sounds.trim(isKept)
  }
  for (let number = 0; number < 90; number += 1) t.not(sounds.find(partOf(number)), null)
  t.is(sounds.find(partOf(500)), null)
  t.not(sounds.find(partOf(999)), null)
})

test('a search ends although all are kept', (t) => {
  const sounds = new SoundAnswers(10)
  for (let number = 0; number < 20; number += 1) sounds.record({ part: partOf(number), at: number * 1_000, service: SERVICE })
  t.is(sounds.trim(() => true), 0)
  t.is(sounds.trim(() => false), 10)
})
