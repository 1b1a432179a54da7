/**
 * Small stand-in of a runner, as a process of its own. It works on one request at a time on a connection, tells its parent what reaches it, and answers as
 * the platform's pages say.
 */
import { createServer } from 'node:http'

import { HeaderName } from '@bluebellhill/platform'

const [id, host, port] = process.argv.slice(2)

const READ_TOKENS_PER_MS = 256
const PAIRS_MS_PER_M = 0.0917
const TOKENS_PER_EVENT = 46
const EVENT_PERIOD_MS = 45
const PLAIN_WORK_MS = 86

const tell = (kind, request, more = {}) => process.send?.({ kind, id: request.headers[HeaderName.AttemptId], at: Date.now(), runner: id, ...more })

const sleep = async (ms) => await new Promise((resolve) => { setTimeout(resolve, ms) })

/** Time in which the prompt is read, in even parts by this runner and its helpers: as if none of them had anything else to do. */
const prefillMs = ({ headers }) => {
  const [prompt = 0] = String(headers[HeaderName.PromptSize] ?? '').split(',').map(Number)
  const helpers = String(headers[HeaderName.Helpers] ?? '').split(',').filter((entry) => entry !== '').length
  return (prompt / READ_TOKENS_PER_MS + PAIRS_MS_PER_M * prompt * prompt / 2 / 1e6) / (helpers + 1)
}

const headersOf = ({ headers }) => ({
  [HeaderName.AttemptId]: String(headers[HeaderName.AttemptId]),
  [HeaderName.ServerId]: id,
  [HeaderName.Signature]: `mac-of-${id}`
})

const stream = async (request, response) => {
  const tokens = Number(String(request.headers[HeaderName.PromptSize] ?? '0,460').split(',')[1])
  const first = Number(request.headers[HeaderName.LastEvent] ?? 0) + 1
  await sleep(prefillMs(request))
  if (response.destroyed) return
  response.writeHead(200, { ...headersOf(request), 'content-type': 'text/event-stream' })
  for (let number = first; number <= Math.ceil(tokens / TOKENS_PER_EVENT); number += 1) {
    if (response.destroyed) return
    response.write(`id: ${number}\ndata: ${request.headers[HeaderName.AttemptId]}-${number}\n\n`)
    await sleep(EVENT_PERIOD_MS)
  }
  response.end()
}

const plain = async (request, response) => {
  await sleep(PLAIN_WORK_MS)
  if (response.destroyed) return
  const body = `answer to ${request.headers[HeaderName.AttemptId]}`.padEnd(800, '.')
  response.writeHead(200, { ...headersOf(request), 'content-length': body.length })
  response.end(body)
}

const server = createServer((request, response) => {
  request.resume()
  request.once('end', () => {
    if (request.url === '/healthz') {
      response.writeHead(200, { [HeaderName.ServerId]: id, 'content-length': 0 })
      response.end()
      return
    }
    const expected = request.headers[HeaderName.ExpectedServer]
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...headersOf(request), [HeaderName.NotRun]: '1', 'content-length': 0 })
      response.end()
      return
    }
    tell('run', request, { tenant: request.headers[HeaderName.Organisation] ?? 'none' })
    response.once('close', () => { if (!response.writableFinished) tell('left', request) })
    const answer = request.url.startsWith('/stream') ? stream : plain
    answer(request, response).catch(() => response.destroy())
  })
})
server.keepAliveTimeout = 5_000
server.listen(Number(port), host, () => process.send?.({ kind: 'ready', runner: id }))
process.once('disconnect', () => process.exit(0))
