/** Small stand-in of a requester: one request on a channel of its own. */
import { request } from 'node:http'

import { READINESS_PATH } from '@bluebellhill/platform'

/**
 * Sends one request and reads its answer.
 *
 * @param call - address, method, path, headers and body
 * @returns when it was sent and answered; the status is null if the channel ended without a complete answer
 */
export const send = async ({ host, port, method = 'GET', path, headers, body, timeout = 15_000 }) => await new Promise((resolve) => {
  const sentAt = performance.now()
  const end = (more) => {
    clearTimeout(timer)
    resolve({ sentAt, endedAt: performance.now(), status: null, headers: {}, body: '', problem: '', ...more })
  }
  const call = request({ host, port, method, path, headers, agent: false }, (response) => {
    const chunks = []
    response.on('data', (chunk) => chunks.push(chunk))
    response.on('end', () => {
      const text = Buffer.concat(chunks).toString('utf8')
      if (response.complete) end({ status: response.statusCode, headers: response.headers, body: text })
      else end({ headers: response.headers, body: text, problem: 'incomplete' })
    })
    response.on('error', (error) => end({ headers: response.headers, body: Buffer.concat(chunks).toString('utf8'), problem: error.message }))
  })
  const timer = setTimeout(() => {
    call.destroy()
    end({ problem: 'given up' })
  }, timeout)
  call.on('error', (error) => end({ problem: error.message }))
  call.end(body)
})

/** @returns the status of a node's readiness check; 0 if it does not answer */
export const readiness = async (host, port) => (await send({ host, port, path: READINESS_PATH, headers: {}, timeout: 1_000 })).status ?? 0
