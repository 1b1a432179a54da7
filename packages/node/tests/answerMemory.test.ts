/** Several servers that send without end, in processes of their own, while other callers are served. */
import { spawn } from 'node:child_process'
import { once } from 'node:events'

import test from 'ava'
import type { ExecutionContext } from 'ava'

import { HeaderName } from '@bluebellhill/platform'
import { BoundedBuffer } from '@bluebellhill/services'

import { AnswerMemory } from '../src/forward/backend/AnswerMemory.js'
import { MAX_COLLECTED_BYTES, UNCOUNTED_BYTES } from '../src/forward/backend/answerLimits.js'
import { ForwardFixture } from './forwardFixture.js'
import { signedHead, startRawServer } from './rawServer.js'

const MEGABYTE = 1_000_000

/** Answers each request without end, as fast as it is read: with a body, or with the events of a stream. */
const ENDLESS_SERVERS = `
  const { createServer } = require('node:net')
  const serve = (piece) => createServer((socket) => {
    socket.on('error', () => {})
    socket.once('data', (bytes) => {
      const id = /^${HeaderName.AttemptId}: (.*)\\r$/im.exec(bytes.toString())[1]
      socket.write('HTTP/1.1 200 OK\\r\\n${HeaderName.AttemptId}: ' + id + '\\r\\n${HeaderName.Signature}: s\\r\\n\\r\\n')
      const block = Buffer.from(piece.repeat(65536 / piece.length))
      const write = () => {
        while (!socket.destroyed) if (!socket.write(block)) return socket.once('drain', write)
      }
      write()
    })
  }).listen(0, '127.0.0.1', function () { console.log(this.address().port) })
  serve(process.argv[1])
`

const startEndlessServer = async (t: ExecutionContext, piece: string): Promise<number> => {
  const child = spawn(process.execPath, ['-e', ENDLESS_SERVERS, piece], { stdio: ['ignore', 'pipe', 'inherit'] })
  t.teardown(() => { child.kill() })
  const [line] = await once(child.stdout, 'data') as [Buffer]
  return Number(line.toString())
}

/** Watches the memory of this process; returns the highest growth since the start, in bytes. */
const watchGrowth = (): () => number => {
  const before = process.memoryUsage().rss
  let highest = before
  const timer = setInterval(() => { highest = Math.max(highest, process.memoryUsage().rss) }, 5)
  return () => {
    clearInterval(timer)
    return highest - before
  }
}

const ENDLESS_ANSWERS = 12

/** A VM has 350 MB, of which a node without load may take 128. */
const MAX_GROWTH = 222_000_000

/** Far less than the endless answers would take until their deadline. */
const MAX_PROCESSOR_MS = 10_000

const MICROS_PER_MS = 1_000

// Guards against a node that runs out of memory, or of processor time, while several servers send without end.
test.serial('several endless answers at once take bounded memory and processor time', async (t) => {
  const endless = await startEndlessServer(t, 'x')
  const sound = await startRawServer(t, (socket, request) => { socket.end(`${signedHead(request)}answer`) })
  const fixture = await ForwardFixture.startWithPorts(t, [sound, ...Array.from({ length: ENDLESS_ANSWERS }, () => endless)])
  await fixture.call('/none/x')
  const growth = watchGrowth()
  const from = process.cpuUsage()
  const answers = await Promise.all(Array.from({ length: 2 * ENDLESS_ANSWERS }, async () => await fixture.call('/patient-unsafe/x')))
  const { user, system } = process.cpuUsage(from)
  const highest = growth()
  t.log(`memory grew by ${Math.round(highest / MEGABYTE)} MB, ${Math.round((user + system) / MICROS_PER_MS)} ms of processor time`)
  const lost = answers.filter(({ status }) => status === 502)
  t.true(lost.length >= ENDLESS_ANSWERS / 2)
  t.deepEqual(new Set(answers.filter((answer) => !lost.includes(answer)).map(({ body }) => body)), new Set(['answer']))
  t.true(highest < MAX_GROWTH)
  t.true((user + system) / MICROS_PER_MS < MAX_PROCESSOR_MS)
})

test.serial('a sound answer goes through while endless ones are read', async (t) => {
  const endless = await startEndlessServer(t, 'id: 1\ndata: 1234567\n\n'.padEnd(32, '\n'))
  const sound = await startRawServer(t, (socket, request) => { socket.end(`${signedHead(request)}answer`) })
  const fixture = await ForwardFixture.startWithPorts(t, [endless, sound])
  const answers = await Promise.all(Array.from({ length: 16 }, async () => await fixture.call('/patient/x')))
  t.deepEqual([...new Set(answers.map(({ body }) => body))], ['answer'])
})

test('an answer gets no memory that others have, a short one always does, and all of it comes back', (t) => {
  const memory = new AnswerMemory()
  const long = new BoundedBuffer(2 * MAX_COLLECTED_BYTES, memory)
  t.true(long.append(Buffer.alloc(MAX_COLLECTED_BYTES)))
  const other = new BoundedBuffer(MAX_COLLECTED_BYTES, memory)
  t.true(other.append(Buffer.alloc(UNCOUNTED_BYTES)))
  t.false(other.append(Buffer.alloc(2 * UNCOUNTED_BYTES)))
  long.take()
  t.true(other.append(Buffer.alloc(2 * UNCOUNTED_BYTES)))
  other.clear()
  t.true(memory.reserve(MAX_COLLECTED_BYTES))
})
