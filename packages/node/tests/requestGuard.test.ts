/** Which attempts are ended when a part of their prompt gets quarantined, on a clock that the test moves. */
import test from 'ava'

import { CallKind, QuarantineStatus } from '@bluebellhill/domain'
import type { BackendServer, FailureDomain, NodeId, PromptPart, RunnerId } from '@bluebellhill/domain'

import type { AdmittedCall } from '../src/forward/AdmittedCall.js'
import type { WatchedAttempt } from '../src/forward/quarantine/ServerWatch.js'
import { NodeQuarantine } from '../src/forward/quarantine/NodeQuarantine.js'
import { RequestGuard } from '../src/forward/quarantine/RequestGuard.js'
import { NO_CAUTION } from '../src/forward/scheduling/types.js'
import { silentLog } from './forwardFixture.js'

const CRASH_INTERVAL_MS = 300

const serverOf = (id: string): BackendServer => ({ id: id as RunnerId, service: 's', address: '10.0.0.1:80', failureDomain: 'd1' as FailureDomain, slots: 1, readiness: 'ready', startedAt: null })

const callOf = (parts: readonly PromptPart[]): AdmittedCall => ({
  id: 'r1',
  method: 'POST',
  path: `/${parts.join('/')}`,
  headers: [],
  body: Buffer.alloc(0),
  route: {
    name: 'chat', host: 'a', pathPrefix: '/', kind: CallKind.Stream, resumable: true, timeout: 10_000, objective: 300, pauseObjective: 200, priority: 1, maxAttempts: 3, isPublic: false, services: []
  },
  service: { name: 's', healthPath: '/', maxConnections: 1, engine: null },
  organisation: null,
  urgency: 1,
  size: { prompt: 1, mostAnswer: 1 },
  parts,
  isRelayed: false,
  triedServers: [],
  lastEventId: null,
  arrivedAt: 0,
  dueAt: 300,
  deadlineAt: 10_000
})

/** One node with a request of its own, beside others that crash engines. */
class TestNode {
  now = 1_000
  cuts = 0
  readonly quarantine = new NodeQuarantine({ node: 'n1' as NodeId, log: silentLog(), clock: () => this.now, runningClock: () => this.now, isLeaving: () => false })
  #serverCount = 0

  guard (...parts: PromptPart[]): RequestGuard {
    return new RequestGuard({ quarantine: this.quarantine, call: callOf([...parts, 'own']), clock: () => this.now, onQuarantined: () => { this.cuts += 1 } })
  }

  /** Lets engines crash under requests with a part until it is quarantined. */
  crashEngines (part: PromptPart): void {
    for (let index = 0; index < 20 && !this.#refuses(part); index += 1) {
      this.now += CRASH_INTERVAL_MS
      this.#attempt('sound', (attempt) => this.quarantine.serverWatch.provedSound(attempt))
      this.now += CRASH_INTERVAL_MS
      this.#attempt(part, (attempt) => this.quarantine.serverWatch.brokenOff(attempt))
    }
  }

  #attempt (part: PromptPart, end: (attempt: WatchedAttempt) => void): void {
    const attempt = { request: 'other', server: serverOf(`e${this.#serverCount++}`), parts: [part, 'other'], identity: () => `@${this.#serverCount}`, sentAt: this.now, isSound: false }
    this.quarantine.serverWatch.sent(attempt)
    end(attempt)
    this.quarantine.serverWatch.ended(attempt)
  }

  #refuses (part: PromptPart): boolean {
    return this.quarantine.verdict([part, 'own']).status === QuarantineStatus.Quarantined
  }
}

test('an attempt is ended when its part gets quarantined, once', (t) => {
  const node = new TestNode()
  const guard = node.guard('bad')
  guard.watch(serverOf('s1'), false)
  node.crashEngines('bad')
  t.is(node.cuts, 1)
  t.is(guard.caution(), null)
})

test('an attempt is not ended because of the part of another request', (t) => {
  const node = new TestNode()
  node.guard('good').watch(serverOf('s1'), false)
  node.crashEngines('bad')
  t.is(node.cuts, 0)
})

/** Guards against the end of streams that the part can no longer harm. */
test('a stream that has proved sound is not ended', (t) => {
  const node = new TestNode()
  const guard = node.guard('bad')
  const attempt = guard.watch(serverOf('s1'), false)
  attempt?.eventsReceived(1)
  attempt?.eventsReceived(1)
  node.crashEngines('bad')
  t.truthy(guard.findQuarantine())
  t.is(node.cuts, 0)
})

test('a stream that has sent only its first event is ended', (t) => {
  const node = new TestNode()
  const attempt = node.guard('bad').watch(serverOf('s1'), false)
  attempt?.eventsReceived(1)
  node.crashEngines('bad')
  t.is(node.cuts, 1)
})

test('attempts that have ended, and trials, are not ended again', (t) => {
  const node = new TestNode()
  node.guard('bad').watch(serverOf('s1'), false)?.ended()
  node.guard('bad').watch(serverOf('s2'), true)
  node.crashEngines('bad')
  t.is(node.cuts, 0)
})

test('the first event of a resumed stream proves nothing of the next attempt', (t) => {
  const node = new TestNode()
  const guard = node.guard('bad')
  const first = guard.watch(serverOf('s1'), false)
  first?.eventsReceived(1)
  first?.ended()
  guard.watch(serverOf('s2'), false)?.eventsReceived(1)
  node.crashEngines('bad')
  t.is(node.cuts, 1)
})

test('a request with a suspected part goes where little runs, and one with clear parts goes anywhere', (t) => {
  const node = new TestNode()
  const guard = node.guard('doubtful')
  t.deepEqual(guard.caution(), NO_CAUTION)
  const attempt = guard.watch(serverOf('s1'), false)
  attempt.brokenOff()
  attempt.ended()
  t.deepEqual(node.guard('doubtful', 'further').caution(), { isSuspected: true, trialParts: [] })
  t.deepEqual(node.guard('good').caution(), NO_CAUTION)
})

test('a request that was in progress at a crash runs apart from others when it comes again', (t) => {
  const node = new TestNode()
  const attempt = node.guard('doubtful').watch(serverOf('s1'), false)
  attempt.brokenOff()
  attempt.ended()
  const again = node.guard('doubtful').caution()
  t.like(again, { isSuspected: true, trialParts: [] })
  t.regex(again?.isolatedAs ?? '', /^@/)
})

test('a trial is asked for once it is due', (t) => {
  const node = new TestNode()
  node.crashEngines('bad')
  const guard = node.guard('bad')
  t.is(guard.caution(), null)
  node.now += 60_000
  t.deepEqual(guard.caution(), { isSuspected: false, trialParts: ['bad'] })
})
