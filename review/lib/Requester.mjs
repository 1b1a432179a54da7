// Sends requests as a requester of the platform does, and records the answers.
import { randomUUID } from 'node:crypto'
import { request as httpRequest } from 'node:http'

import { KEY } from './Deployment.mjs'

/**
 * Sends one request, by default on a channel of its own, and waits for its end.
 *
 * @param record - record of the case
 * @param node - node that gets it
 * @param spec - host, path, method, body, deadline and further headers
 * @returns what was seen; `status` is null without the head of an answer, `isWhole` tells whether the answer was framed as complete
 */
export const send = async (record, node, { host, path, method = 'POST', body = '', deadlineMs = 10_000, headers = {}, agent = false, id = randomUUID().replaceAll('-', '').slice(0, 16) }) => {
  const exchange = { id, path, node: node.name, sentAt: performance.now(), status: null, headers: {}, body: '', isWhole: false, error: '', endedAt: null }
  await new Promise((resolve) => {
    const request = httpRequest({
      ...node.callers,
      method,
      path,
      agent,
      headers: { host, authorization: `Bearer ${KEY}`, 'x-bluebellhill-attempt-id': id, 'x-bluebellhill-deadline-ms': String(deadlineMs), 'content-length': Buffer.byteLength(body), ...headers }
    }, (response) => {
      exchange.status = response.statusCode
      exchange.headers = response.headers
      response.setEncoding('utf8')
      response.on('data', (text) => { exchange.body += text })
      response.once('end', () => { exchange.isWhole = response.complete })
      response.once('error', (error) => { exchange.error = error.message })
      response.once('close', resolve)
    })
    const timer = setTimeout(() => request.destroy(new Error('given up after the deadline')), deadlineMs + 1_000)
    request.once('error', (error) => {
      exchange.error = error.message
      resolve()
    })
    request.once('close', () => {
      clearTimeout(timer)
      resolve()
    })
    request.end(body)
  })
  exchange.endedAt = performance.now()
  const { status, isWhole, error } = exchange
  record.write('requester', `${id} ${method} ${path} at ${node.name}: ${status ?? 'no answer'}${status !== null && !isWhole ? ', broken off' : ''}${error === '' ? '' : `, ${error}`}, after ${Math.round(exchange.endedAt - exchange.sentAt)} ms`)
  return exchange
}
