import test from 'ava'

import { HeaderName, ORDER_PATH } from '@bluebellhill/platform'

import { DEPLOYMENT, ForwardFixture, signedHeaders } from './forwardFixture.js'
import type { Script } from './forwardFixture.js'

const ENGINE = { slots: 8, memory: 197_200, stepsPerPass: 48, step: 1.02, stepPerWriter: 0.007, stepPerThousandContext: 0.0025, readTokensPerMs: 206, readPerMillionPairs: 0.138, usualPrompt: 15_900, usualAnswer: 1_400 }
const EVENT = 'id: 1\ndata: {}\n\n'

// Guards against a prompt that one empty engine could take being sent without the memory that its holder has to keep.
test('a prompt that would fit one engine, but finds none free enough, is sent after its holder has reserved memory, which is released in the end', async (t) => {
  const log: string[] = []
  const open: Array<() => void> = []
  let opened = (): void => {}
  const script: Script = (request, response) => {
    if (request.url === ORDER_PATH) {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => chunks.push(chunk))
      request.on('end', () => {
        const { operation, tokens } = JSON.parse(Buffer.concat(chunks).toString()) as { operation: string, tokens?: number }
        log.push(operation)
        if (tokens !== undefined) t.true(tokens > 0 && tokens < 61_400)
        response.writeHead(200, { 'content-type': 'application/json' }).end('{"free":1}')
        opened()
      })
      return
    }
    log.push('sent')
    const answer = (): void => { response.writeHead(200, signedHeaders(request)).end(EVENT) }
    if (request.url === '/stream/long') answer()
    else open.push(answer)
    opened()
  }
  const fixture = await ForwardFixture.start(t, script, script)
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: [{ name: 's', healthPath: '/healthz', maxConnections: 100, engine: ENGINE }] }, 'store')
  const call = async (path: string, prompt: number): Promise<{ status: number, whole: boolean }> => await fixture.call(path, { headers: { [HeaderName.PromptSize]: `${prompt},1400` } })
  const reached = async (count: number): Promise<void> => { while (log.length < count) await new Promise<void>((resolve) => { opened = resolve }) }
  const occupying = [call('/stream/a', 120_000), call('/stream/b', 120_000)]
  await reached(2)
  t.like(await call('/stream/long', 60_000), { status: 200, whole: true })
  await reached(5)
  t.deepEqual(log, ['sent', 'sent', 'reserve', 'sent', 'release'])
  for (const answer of open) answer()
  for (const answer of await Promise.all(occupying)) t.like(answer, { status: 200, whole: true })
})

// Guards against the memory that a refused request waits for being given to the next one, and against an identity that changes from call to call.
test('a prompt that finds no memory is told when it will, and is served when its caller sends it again', async (t) => {
  let endOccupying = (): void => {}
  const script: Script = (request, response) => {
    response.writeHead(200, signedHeaders(request)).write(EVENT)
    if (request.url === '/stream/occupying') endOccupying = () => { response.end() }
    else response.end()
  }
  const fixture = await ForwardFixture.start(t, script)
  fixture.fleetState.install({ ...DEPLOYMENT, version: 2, services: [{ name: 's', healthPath: '/healthz', maxConnections: 100, engine: ENGINE }] }, 'store')
  const call = async (path: string, body: string): Promise<{ status: number, headers: Record<string, unknown> }> => await fixture.call(path, { headers: { [HeaderName.PromptSize]: '100000,1400' }, body })
  const prefillFinished = fixture.placement.prefillFinished.bind(fixture.placement)
  const isPrefilled = new Promise<void>((resolve) => {
    fixture.placement.prefillFinished = (attempt) => {
      prefillFinished(attempt)
      resolve()
    }
  })
  const occupying = call('/stream/occupying', 'a')
  await isPrefilled
  // The engine has had the time to end the answer, as far as the node can tell.
  fixture.clock = () => performance.now() + 10_000
  const refused = await call('/stream/x', 'b')
  t.is(refused.status, 503)
  t.regex(fixture.linesOf('request.not_placed')[0] ?? '', /promised=true/)
  const retryAfter = Number(refused.headers['retry-after'])
  t.true(retryAfter > 0 && retryAfter < 1)
  endOccupying()
  t.is((await occupying).status, 200)
  t.is((await call('/stream/x', 'another')).status, 503)
  t.is((await call('/stream/x', 'b')).status, 200)
  t.is(fixture.linesOf('promise.kept').length, 1)
})
