/** Names that a header can carry only as bytes. */
import test from 'ava'

import { HeaderName } from '@bluebellhill/platform'

import { DEPLOYMENT, ForwardFixture, KEY, signedHeaders } from './forwardFixture.js'

// Guards against an organisation none of whose requests is served, because its name is not written in Latin letters.
test('a backend server gets the name of an organisation in UTF-8', async (t) => {
  const names: string[] = []
  const fixture = await ForwardFixture.start(t, (request, response) => {
    names.push(Buffer.from(String(request.headers[HeaderName.Organisation]), 'latin1').toString('utf8'))
    response.writeHead(200, signedHeaders(request)).end('answer')
  })
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, organisations: [{ name: 'Ургамлын сан', apiKeys: [KEY], priority: null }] }, 'store')
  const { status } = await fixture.call('/unsafe/x')
  t.is(status, 200)
  t.deepEqual(names, ['Ургамлын сан'])
})
