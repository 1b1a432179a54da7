/** A node that reaches no backend server, while its callers and another node, which does, reach it. */
import test from 'ava'
import type { ExecutionContext } from 'ava'

import type { FailureDomain, NodeId } from '@bluebellhill/domain'

import { ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Answer, Script } from './forwardFixture.js'
import { hangingPorts, refusingPorts } from './unreachablePorts.js'

const SERVER_COUNT = 3

/** Time after which first attempts are answered, in milliseconds. */
const DETECTION_MS = 500

const REQUESTS = 20

const answering: Script = (request, response) => {
  const isStream = request.url?.startsWith('/stream/') === true
  response.writeHead(200, signedHeaders(request)).end(isStream ? 'id: 1\n\nid: 2\n\nid: 3\n\n' : 'an answer')
}

/** A node whose servers are at ports that cannot be reached, and another one whose servers answer. */
const startCut = async (t: ExecutionContext, ports: readonly number[], script: Script = answering): Promise<{ cut: ForwardFixture, peer: ForwardFixture }> => {
  const peer = await ForwardFixture.start(t, ...Array.from({ length: SERVER_COUNT }, () => script))
  const cut = await ForwardFixture.startWithPorts(t, ports)
  cut.directory.add({ node: 'n2' as NodeId, address: await peer.listenToNodes(), failureDomain: 'd1' as FailureDomain, processor: 1 })
  return { cut, peer }
}

/** Sends requests at the same time for as long as a cut may take to be noticed, so that its later ones have to be served. */
const callUntilNoticed = async (cut: ForwardFixture, path: string): Promise<Answer[]> => {
  const first = Array.from({ length: 2 }, async () => await cut.call(path))
  await new Promise((resolve) => setTimeout(resolve, DETECTION_MS))
  const answers: Answer[] = []
  for (let index = 0; index < REQUESTS; index += 1) answers.push(await cut.call(path))
  await Promise.all(first)
  return answers
}

/** Guards against refusals of requests that another node could have served, where connections to servers are refused. */
for (const [kind, path] of [['safe', '/safe/x'], ['unsafe', '/unsafe/x'], ['stream', '/stream/x']] as const) {
  test.serial(`a node whose connections to servers are refused serves by way of another node: ${kind}`, async (t) => {
    const { cut } = await startCut(t, await refusingPorts(SERVER_COUNT))
    const answers = await callUntilNoticed(cut, path)
    t.deepEqual(answers.map(({ status, whole }) => ({ status, whole })), answers.map(() => ({ status: 200, whole: true })))
  })
}

/** Guards against requests that wait for servers until their deadline, where connections hang. */
test.serial('a node whose connections to servers hang serves by way of another node', async (t) => {
  const { cut } = await startCut(t, await hangingPorts(t, SERVER_COUNT))
  const answers = await callUntilNoticed(cut, '/safe/x')
  t.deepEqual(answers.map(({ status }) => status), answers.map(() => 200))
})
