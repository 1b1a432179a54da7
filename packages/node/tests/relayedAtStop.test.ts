/** Requests that nodes pass on to another one which is stopping. */
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'
import { until } from './quarantineFixture.js'
import { addPeer, startNoticed } from './relayFixture.js'

const answering: Script = (request, response) => { response.writeHead(200, signedHeaders(request)).end('an answer') }

// Guards against LOST: a stopping node took what another one passed on to it, and could not answer it before its end.
test('a request that a stopping node could not answer in time is passed on to another node, and runs there only', async (t) => {
  const runs: string[] = []
  const runningAt = (name: string): Script => (...args) => { runs.push(name); answering(...args) }
  const { cut, peer } = await startNoticed(t, runningAt('stopping'))
  const further = await ForwardFixture.start(t, runningAt('further'))
  addPeer(cut, await further.listenToNodes(), 'n3')
  const stopped = peer.entry.stop(1_000)
  await sleep(700)
  t.like(await cut.call('/unsafe/x'), { status: 200, whole: true })
  await stopped
  t.regex(peer.linesOf('request.read_after_stop')[0] ?? '', /taken=false relayed=true/)
  t.deepEqual(runs, ['further'])
})

// Guards against a refusal of a node that stops which is final although another one may run the request again.
for (const [route, status, runs] of [['safe', 200, 2], ['unsafe', 502, 1]] as const) {
  test(`a request for /${route}/ that the end of the stop of another node cuts off runs again only if it may`, async (t) => {
    let started = 0
    const { cut, peer } = await startNoticed(t, () => { started += 1 })
    const call = cut.call(`/${route}/x`)
    await until(() => peer.linesOf('request.sent').length === 1)
    const further = await ForwardFixture.start(t, (...args) => { started += 1; answering(...args) })
    addPeer(cut, await further.listenToNodes(), 'n3')
    await peer.entry.stop(100)
    t.like(await call, { status, whole: true })
    t.is(started, runs)
  })
}
