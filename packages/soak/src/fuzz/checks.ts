/** What has to hold after any inputs. */
import { request as httpRequest } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'

import { HeaderName } from '@bluebellhill/platform'

import { HOST, KEY, PORT, RECOVERY_MS } from './constants.js'
import type { FuzzFleet } from './FuzzFleet.js'

const REQUEST_MS = 1_500
const PERIOD_MS = 50

let requests = 0

/** Answer to a sound request; null if none came. */
interface Answer {
  readonly status: number
  readonly server: string
}

/** @returns the answer of a sound server to a sound request through the node */
const ask = async (fleet: FuzzFleet): Promise<Answer | null> => {
  requests += 1
  return await new Promise((resolve) => {
    const request = httpRequest({
      host: fleet.nodeHost, port: PORT.callers, agent: false, path: '/safe/check', timeout: REQUEST_MS, headers: { host: HOST, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: `check-${requests}`, [HeaderName.Deadline]: String(REQUEST_MS) }
    })
    request.once('timeout', () => request.destroy())
    request.once('error', () => resolve(null))
    request.once('response', (response) => {
      response.resume().once('close', () => resolve({ status: response.statusCode ?? 0, server: String(response.headers[HeaderName.ServerId]) }))
      response.on('error', () => {})
    })
    request.end()
  })
}

/**
 * Registers a server, and sends sound requests until it answers one: the node serves, and follows the list.
 *
 * @param fleet - the fleet
 * @returns why it does not; null if it does
 */
export const findSilence = async (fleet: FuzzFleet): Promise<string | null> => {
  const server = fleet.registerSoundServer()
  const from = performance.now()
  let last: Answer | null = null
  while (performance.now() - from < RECOVERY_MS) {
    last = await ask(fleet)
    if (last?.status === 200 && last.server === server) return null
    await sleep(PERIOD_MS)
  }
  return `${server} was registered and answers no request within ${RECOVERY_MS} ms; the last answer: ${JSON.stringify(last)}`
}
