/**
 * Processor time of one sound answer by the number of its prompt parts, and by how many parts the node has seen before, without a crash, beside crashes, and
 * with what each message to another node then costs. Run: node packages/node/dist/bench/soundAnswers.js
 */
import { Quarantine } from '@bluebellhill/domain'
import type { CrashReport, Millis, NodeId, PromptPart, RunnerId } from '@bluebellhill/domain'

import { FactQueue } from '../src/forward/quarantine/FactQueue.js'

const PARTS_OF_ANSWER = [1, 150, 300, 600, 900]
const PARTS_SEEN = [0, 20_000, 200_000]
const CRASHES = [0, 2, 64, 256]
const ANSWERS = 50
const SERVICE = 's'

let parts = 0
const newParts = (count: number): PromptPart[] => Array.from({ length: count }, () => (0x10000000 + parts++).toString(16))

const recordAnswer = (quarantine: Quarantine, ofAnswer: readonly PromptPart[], at: Millis): void => {
  for (const part of ofAnswer) quarantine.recordSound({ part, at, service: SERVICE })
  quarantine.quarantinedParts(at)
}

const crashOf = (index: number, at: Millis): CrashReport =>
  ({ server: `r${index}` as RunnerId, startedAt: 1, service: SERVICE, reportedBy: 'n1' as NodeId, at, suspects: 30, parts: newParts(32) })

const measure = (count: number, run: (index: number) => void): Millis => {
  const startedAt = performance.now()
  for (let index = 0; index < count; index += 1) run(index)
  return (performance.now() - startedAt) / count
}

for (const crashes of CRASHES) {
  for (const seen of PARTS_SEEN) {
    for (const ofAnswer of PARTS_OF_ANSWER) {
      const quarantine = new Quarantine()
      for (let known = 0; known < seen; known += 1_000) recordAnswer(quarantine, newParts(1_000), known / 100)
      const from = seen / 100 + 1_000
      for (let index = 0; index < crashes; index += 1) quarantine.recordCrash(crashOf(index, from + index * 60))
      const queue = new FactQueue(() => quarantine.facts(from + crashes * 60))
      const answer = measure(ANSWERS, (index) => recordAnswer(quarantine, newParts(ofAnswer), from + crashes * 60 + index * 5))
      const message = measure(ANSWERS, () => queue.next())
      console.log([`crashes ${crashes}`, `seen ${seen}`, `parts ${ofAnswer}`, `answer ${answer.toFixed(3)} ms`, `message ${message.toFixed(3)} ms`].join(', '))
    }
  }
}
