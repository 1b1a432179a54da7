/** What a caller records of its requests. */
import { once } from 'node:events'
import { createServer } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import test from 'ava'

import { Caller } from '../src/Callers.js'
import { PORT } from '../src/constants.js'
import { RequestKind } from '../src/types.js'

const HOST = '127.94.40.1'
const WORK_MS = 200

// Guards against a request whose wait in its own caller was counted as time of the node (soak seed 394040).
test('a request is written when the one before it has freed the connection', async (t) => {
  const server = createServer((_, response) => { void sleep(WORK_MS).then(() => response.end('done')) }).listen(PORT.callers, HOST)
  await once(server, 'listening')
  const caller = new Caller('caller', 0, HOST, 1)
  const [first, second] = await Promise.all([caller.send(RequestKind.Safe), caller.send(RequestKind.Safe)])
  t.true((first.writtenAt ?? Infinity) < (first.endedAt ?? 0))
  t.true((second.writtenAt ?? 0) - second.sentAt >= WORK_MS / 2)
  t.true((second.writtenAt ?? Infinity) < (second.endedAt ?? 0))
  caller.dispose()
  server.close()
})
