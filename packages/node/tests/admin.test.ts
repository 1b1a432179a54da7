import test from 'ava'
import fc from 'fast-check'
import { AdminPath, EventKind } from '@bluebellhill/protocol'

import { answerAdminRequest } from '../src/index.js'
import { FakeDaemonFacade } from './fakeDaemonFacade.js'

const sendAdminRequest = async (daemon: FakeDaemonFacade, method: string, url: string, secrets: readonly string[] = [], authorization?: string) => {
  const answer = await answerAdminRequest(daemon, { method, url, authorization }, secrets)
  const json = answer.headers['content-type'] === 'application/json'
  return { status: answer.status, body: json ? JSON.parse(answer.body) : answer.body }
}

test('every admin path returns its JSON reply, and /metrics returns Prometheus text', async (t) => {
  const daemon = new FakeDaemonFacade()
  daemon.timeLine.record(EventKind.NodeStarted, {}, 'started', { failureDomain: 'sohar', version: '0.1.0' })
  daemon.metrics.recordFirstToken(100, 20)
  t.is((await sendAdminRequest(daemon, 'GET', `${AdminPath.TimeLine}?kind=node_started`)).body.events.length, 1)
  t.is((await sendAdminRequest(daemon, 'GET', AdminPath.Histograms)).body.histograms.length, 1)
  t.is((await sendAdminRequest(daemon, 'GET', AdminPath.Runners)).body.runners[0].runner, 'g1')
  const status = (await sendAdminRequest(daemon, 'GET', AdminPath.Status)).body
  t.is(status.state, 'ready')
  t.is(status.members[0].node, 'n2')
  t.true(status.memoryBytes > 0)
  t.regex((await sendAdminRequest(daemon, 'GET', '/metrics')).body, /bluebellhill_requests_total/)
})

test('only POST starts a drain, and it may be repeated', async (t) => {
  const daemon = new FakeDaemonFacade()
  t.is((await sendAdminRequest(daemon, 'GET', AdminPath.Drain)).status, 405)
  t.is(daemon.drainCount, 0)
  const first = await sendAdminRequest(daemon, 'POST', AdminPath.Drain)
  await sendAdminRequest(daemon, 'POST', AdminPath.Drain)
  t.is(first.status, 202)
  t.is(first.body.state, 'draining')
  t.is(daemon.drainCount, 2)
})

test('with admin secrets set, only /metrics is served without a secret, and both the old and the new secret are accepted', async (t) => {
  const daemon = new FakeDaemonFacade()
  const secrets = ['old secret', 'new secret']
  t.is((await sendAdminRequest(daemon, 'POST', AdminPath.Drain, secrets)).status, 401)
  t.is((await sendAdminRequest(daemon, 'POST', AdminPath.Drain, secrets, 'Bearer wrong')).status, 401)
  t.is(daemon.drainCount, 0)
  t.is((await sendAdminRequest(daemon, 'GET', '/metrics', secrets)).status, 200)
  t.is((await sendAdminRequest(daemon, 'GET', AdminPath.Status, secrets, 'Bearer old secret')).status, 200)
  t.is((await sendAdminRequest(daemon, 'GET', AdminPath.Status, secrets, 'Bearer new secret')).status, 200)
})

test('any request gets a success with a valid secret, or a 4xx status with an error message', async (t) => {
  const daemon = new FakeDaemonFacade()
  const path = fc.oneof(fc.constantFrom(...Object.values(AdminPath)), fc.string({ unit: 'binary' }), fc.constantFrom('//', 'http://[', '/__proto__', '/toString'))
  const query = fc.oneof(fc.webQueryParameters(), fc.string(), fc.constantFrom('limit=-1', 'after=x', 'kind=,', 'limit=1e9'))
  await fc.assert(fc.asyncProperty(fc.constantFrom('GET', 'POST', 'PUT', ''), path, query, fc.option(fc.string(), { nil: undefined }), async (method, url, parameters, authorization) => {
    const answer = await sendAdminRequest(daemon, method, `${url}?${parameters}`, ['secret one'], authorization)
    const fine = answer.status < 300
    return fine ? authorization === 'secret one' : [400, 401, 404, 405].includes(answer.status) && answer.body.error.message.length > 10
  }), { seed: 661, numRuns: 2_000 })
  t.pass()
})
