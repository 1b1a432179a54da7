/** From when on the soak holds a server's statement that it leaves against the nodes. */
import { once } from 'node:events'
import { get } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { HeaderName } from '@bluebellhill/platform'
import { BackendFault, BackendStandin, Ledger } from '@bluebellhill/platform-standin'

const HOST = '127.0.0.1'
const PORT = 20_000 + process.pid % 10_000

/** Sends a request; returns whether an answer has come. */
const call = async (): Promise<boolean> => {
  const request = get({ host: HOST, port: PORT, path: '/safe/x', agent: false, headers: { [HeaderName.AttemptId]: 'a' } })
  const [answer] = await Promise.race([once(request, 'response'), once(request, 'error').then(() => [null]), sleep(5_000).then(() => [null])]).catch(() => [null]) as [unknown]
  request.destroy()
  return answer !== null
}

// Guards against a violation that is none, as in seed 290407: the answer that first said so was lost, and the next request was the first that heard it.
test('a server has told that it leaves once the head of an answer says so', async (t) => {
  const standin = new BackendStandin('i-1', new Ledger())
  await standin.start(HOST, PORT)
  t.teardown(() => standin.dispose())
  standin.isLeaving = true
  standin.fault = BackendFault.LoseAnswers
  t.false(await call())
  t.is(standin.toldLeavingAt, null)
  standin.fault = BackendFault.None
  t.true(await call())
  t.not(standin.toldLeavingAt, null)
})
