/**
 * A node ends by itself. Six requesters send it bodies within the limits, in chunks of 16 bytes; meanwhile others have requests in progress on kept
 * channels. Without the trouble the same bodies come in chunks of 16 KiB.
 */
import { once } from 'node:events'
import { Agent, request } from 'node:http'
import { connect } from 'node:net'
import { dirname } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { fileURLToPath } from 'node:url'

import { HeaderName, StoreKey } from '@bluebellhill/platform'

import { configuration, HOST, LIMITS, PORT, ZONES } from '../lib-2/Deployment.mjs'
import { runCase } from '../lib-2/runCase.mjs'

const NODES = 3
const SERVICE = 'order-api'
const KEY = 'n2ctnfzs989anu6wsjnb'

const UPLOADERS = 6
const BODY_BYTES = 4_000_000
const SMALL_CHUNK_BYTES = 16
const LARGE_CHUNK_BYTES = 16_384
const UPLOAD_DEADLINE_MS = 20_000

/** Requesters that send one request after the other, each on its kept channel. */
const CALLERS = 12
const CALL_DEADLINE_MS = 10_000
const LEAD_MS = 1_000
const LIMIT_MS = 30_000

/** More channels than these, closed without an answer, break the rule. */
const ALLOWED = 3

const CONFIGURATION = configuration({
  version: 11,
  services: [SERVICE],
  tenants: [{ name: 'hule930', keys: [KEY] }],
  routes: [
    { name: 'order', prefix: '/order/', type: 'unsafe', service: SERVICE, timeout_ms: CALL_DEADLINE_MS, goal_ms: 386 },
    { name: 'import', prefix: '/import/', type: 'unsafe', service: SERVICE, timeout_ms: UPLOAD_DEADLINE_MS, goal_ms: 5_000 }
  ]
})

let requests = 0
const nextId = (kind) => `${kind}${String(requests++).padStart(5, '0')}`

/** Sends a body in chunks of one size; returns when it is answered, or the channel has ended. */
const upload = async (fleet, node, chunkBytes) => {
  const id = nextId('import')
  const socket = connect({ host: node.host, port: PORT.callers })
  let answer = ''
  socket.on('data', (bytes) => { answer += bytes })
  socket.on('error', (error) => { answer += `(${error.message})` })
  const closed = new Promise((resolve) => { socket.once('close', resolve) })
  const answered = async () => { while (!answer.includes('\r\n\r\n') && !socket.destroyed) await sleep(50) }
  await Promise.race([once(socket, 'connect').catch(() => {}), closed])
  socket.write(`POST /import/2f HTTP/1.1\r\nHost: ${HOST}\r\n${HeaderName.AttemptId}: ${id}\r\n${HeaderName.Deadline}: ${UPLOAD_DEADLINE_MS}\r\nAuthorization: Bearer ${KEY}\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n`)
  const chunk = `${chunkBytes.toString(16)}\r\n${'x'.repeat(chunkBytes)}\r\n`
  const chunksAtOnce = Math.ceil(LARGE_CHUNK_BYTES / chunkBytes)
  const piece = chunk.repeat(chunksAtOnce)
  for (let sent = 0; sent + chunksAtOnce * chunkBytes <= BODY_BYTES && !socket.destroyed; sent += chunksAtOnce * chunkBytes) {
    if (!socket.write(piece)) await Promise.race([new Promise((resolve) => { socket.once('drain', resolve) }), closed])
  }
  if (!socket.destroyed) socket.write('0\r\n\r\n')
  await Promise.race([answered(), closed, sleep(UPLOAD_DEADLINE_MS)])
  fleet.note(`requester: ${id} to ${node.name}, ${BODY_BYTES} bytes in chunks of ${chunkBytes}, answered ${answer.split('\r\n', 1)[0] || 'nothing'}`)
  socket.destroy()
  return answer
}

/** Sends one request on the kept channel of an agent. */
const call = async (fleet, node, agent) => await new Promise((resolve) => {
  const id = nextId('order')
  const headers = { host: HOST, [HeaderName.AttemptId]: id, [HeaderName.Deadline]: String(CALL_DEADLINE_MS), authorization: `Bearer ${KEY}` }
  const end = (status, problem = '') => {
    fleet.note(`requester: ${id} to ${node.name}, answered ${status ?? `nothing: ${problem}`}`)
    resolve({ id, status })
  }
  const sent = request({ host: node.host, port: PORT.callers, method: 'POST', path: '/order/2f', headers, agent }, (response) => {
    response.resume()
    response.once('end', () => end(response.complete ? response.statusCode : null, 'incomplete'))
    response.once('error', (error) => end(null, error.message))
  })
  sent.once('error', (error) => end(null, error.message))
  sent.end('order')
})

await runCase(dirname(fileURLToPath(import.meta.url)), async (fleet, hasTrouble) => {
  if (BODY_BYTES > LIMITS.max_body_bytes) throw new Error('the bodies are too large')
  await fleet.startStore()
  fleet.store.put(StoreKey.Configuration, CONFIGURATION)
  for (const zone of ZONES) await fleet.addRunner(SERVICE, zone)
  fleet.store.settle()
  await fleet.startNodes(NODES)
  await sleep(LEAD_MS)

  const [node] = fleet.nodes
  const state = { end: '', isOver: false }
  node.child.once('exit', (code, signal) => {
    if (state.isOver) return
    state.end = `${node.name} ended by itself with ${signal ?? code}`
    fleet.note(state.end)
  })
  const calls = []
  const caller = async () => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    while (!state.isOver && state.end === '') calls.push(await call(fleet, node, agent))
    agent.destroy()
  }
  const callers = Array.from({ length: CALLERS }, caller)
  await sleep(LEAD_MS)
  const uploads = Array.from({ length: UPLOADERS }, async () => await upload(fleet, node, hasTrouble ? SMALL_CHUNK_BYTES : LARGE_CHUNK_BYTES))
  await Promise.race([Promise.all(uploads), once(node.child, 'exit'), sleep(LIMIT_MS)])
  await sleep(LEAD_MS)
  state.isOver = true
  await Promise.all(callers)
  await Promise.all(uploads)
  const served = calls.filter(({ status }) => status === 200).length
  const lost = calls.filter(({ id, status }) => status === null && fleet.hasRun(id))
  console.log(`${served} of ${calls.length} requests served; ${state.end || 'no process ended'}`)
  return lost.length > ALLOWED ? [`LOST: ${state.end}, and ${lost.length} requests that had been passed on to runners got no answer on their kept channels; ${ALLOWED} are allowed`] : []
})
