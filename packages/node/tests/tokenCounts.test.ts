/** Token counts of callers that no engine could serve. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'

const ENGINE = { slots: 11, memory: 450_000, stepsPerPass: 46, step: 0.925, stepPerWriter: 0.005, stepPerThousandContext: 0.0025, readTokensPerMs: 256, readPerMillionPairs: 0.09, usualAnswer: 1_500 }

const UNUSABLE = [String(2 ** 32), '1000.5,3.2', '-1,5', 'many,5', '1,', `${2 ** 32},1`, `1,${2 ** 53}`]

/** Starts a node with one server, which counts its requests. */
const start = async (t: ExecutionContext, isEngine: boolean): Promise<{ fixture: ForwardFixture, arrivals: () => number }> => {
  let arrivals = 0
  const fixture = await ForwardFixture.start(t, (request, response) => {
    arrivals += 1
    response.writeHead(200, signedHeaders(request)).end('answer')
  })
  if (isEngine) fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: DEPLOYMENT.services.map((service) => ({ ...service, engine: ENGINE })) }, 'store')
  return { fixture, arrivals: () => arrivals }
}

// Guards against LOST: such a request ended the node that took it, and its repetition the next one.
test('a request for engines with unusable token counts is refused at once, and told what to change', async (t) => {
  const { fixture, arrivals } = await start(t, true)
  for (const counts of UNUSABLE) {
    const answer = await fixture.call('/unsafe/x', { headers: { [HeaderName.PromptSize]: counts } })
    t.is(answer.status, 400, counts)
    const { error } = JSON.parse(answer.body) as { error: Record<string, string> }
    t.like(error, { code: 'prompt_size_unusable', ran: 'no' })
    t.regex(error['message'] ?? '', new RegExp(`^${HeaderName.PromptSize}: .* 4294967295`))
  }
  t.is(arrivals(), 0)
})

test('a request for a plain service says of tokens what it likes', async (t) => {
  const { fixture, arrivals } = await start(t, false)
  for (const counts of UNUSABLE) t.is((await fixture.call('/unsafe/x', { headers: { [HeaderName.PromptSize]: counts } })).status, 200, counts)
  t.is(arrivals(), UNUSABLE.length)
})

test('a request for engines without token counts, or with usable ones, is answered', async (t) => {
  const { fixture } = await start(t, true)
  t.is((await fixture.call('/unsafe/x')).status, 200)
  for (const counts of ['1460,80', ' 1460 , 80 ', '0,0']) t.is((await fixture.call('/unsafe/x', { headers: { [HeaderName.PromptSize]: counts } })).status, 200)
})
