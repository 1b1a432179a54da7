/** Requests to engines whose figures in the configuration are the largest that a number can hold. */
import test from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { answers } from './callers.js'
import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'

const EVENT = 'id: 1\ndata: first\n\n'

const LARGEST = Number.MAX_VALUE

const ENGINE = {
  slots: Number.MAX_SAFE_INTEGER,
  memory: LARGEST,
  stepsPerPass: Number.MAX_SAFE_INTEGER,
  step: LARGEST,
  stepPerWriter: LARGEST,
  stepPerThousandContext: LARGEST,
  readTokensPerMs: LARGEST,
  readPerMillionPairs: LARGEST,
  usualPrompt: LARGEST,
  usualAnswer: LARGEST
}

// Guards against a request that has run and gets no answer, because the time that was predicted for it is no number.
test('a request whose time cannot be predicted is answered', async (t) => {
  const fixture = await ForwardFixture.start(t, (request, response, socket) => {
    if (request.url === '/stream/x') response.writeHead(200, { ...signedHeaders(request), 'content-type': 'text/event-stream' }).end(EVENT)
    else answers(request, response, socket)
  })
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: [{ ...DEPLOYMENT.services[0]!, engine: ENGINE }] }, 'store')
  const { status, body } = await fixture.call('/patient/x', { headers: { [HeaderName.PromptSize]: '12000,50' } })
  t.is(status, 200)
  t.is(body, 'answer')
  const stream = await fixture.call('/stream/x', { headers: { [HeaderName.PromptSize]: '12000,50' } })
  t.true(stream.whole)
  t.is(stream.body, EVENT)
  t.deepEqual(fixture.linesOf('request.failed_internally'), [])
})
