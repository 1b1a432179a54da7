/** Callers whose requests wait for an engine whose memory one earlier request uses. */
import type { ServerResponse } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { SERVICE } from './admissionFleet.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'

/** Memory for one of the prompts; by the forecast it is free again long before a caller would leave. */
const ENGINE = { ...SERVICE.engine!, memory: 20_000, usualAnswer: 50 }
const SIZE = { [HeaderName.PromptSize]: '12000,50' }

const until = async (condition: () => boolean): Promise<void> => {
  const limit = performance.now() + 10_000
  while (!condition() && performance.now() < limit) await sleep(2)
}

/** Starts a node with one engine that answers only when it is told to. */
const startOccupied = async (t: ExecutionContext): Promise<{ fixture: ForwardFixture, answers: Array<() => void> }> => {
  const answers: Array<() => void> = []
  const fixture = await ForwardFixture.start(t, (request, response: ServerResponse) => {
    answers.push(() => response.writeHead(200, signedHeaders(request)).end('whole'))
  })
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: [{ ...DEPLOYMENT.services[0]!, engine: ENGINE }] }, 'store')
  return { fixture, answers }
}

test('a caller waits for the memory of an earlier request, and gets its answer', async (t) => {
  const { fixture, answers } = await startOccupied(t)
  const first = fixture.call('/patient/x', { headers: SIZE })
  await until(() => answers.length === 1)
  const second = fixture.call('/patient/x', { headers: SIZE })
  await until(() => fixture.linesOf('request.queued').length === 1)
  t.is(answers.length, 1)
  answers[0]!()
  t.is((await first).status, 200)
  await until(() => answers.length === 2)
  answers[1]!()
  t.is((await second).status, 200)
})

// Guards against memory that is kept for a caller who has left.
test('a caller that disconnects no longer waits at the scheduler', async (t) => {
  const { fixture, answers } = await startOccupied(t)
  const first = fixture.call('/patient/x', { headers: SIZE })
  await until(() => answers.length === 1)
  const caller = new AbortController()
  const second = fixture.call('/patient/x', { headers: SIZE, disconnection: caller.signal }).catch(() => null)
  await until(() => fixture.linesOf('request.queued').length === 1)
  caller.abort()
  await until(() => fixture.linesOf('placement.dequeued').length === 1)
  t.regex(fixture.linesOf('placement.dequeued')[0]!, /outcome=withdrawn/)
  answers[0]!()
  t.is((await first).status, 200)
  t.is(await second, null)
  t.is(answers.length, 1)
})
