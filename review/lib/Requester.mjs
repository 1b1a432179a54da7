// Sends requests as a requester of the platform does, and records the answers.
import { randomUUID } from 'node:crypto'
import { request as httpRequest } from 'node:http'

import { HeaderName } from '@bluebellhill/platform'

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
      headers: { host, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: id, [HeaderName.Deadline]: String(deadlineMs), 'content-length': Buffer.byteLength(body), ...headers }
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

/**
 * @param prompt - number of tokens of the prompt
 * @param maximum - greatest number of output tokens
 * @param part - id of the part of the prompt that no other request has
 * @returns the headers of a request with a prompt; its first 40 tokens are shared
 */
export const promptHeaders = (prompt, maximum, part) => ({
  'x-bluebellhill-model': 'm',
  [HeaderName.PromptSize]: `${prompt},${maximum}`,
  [HeaderName.PromptParts]: `5c1e07a2:40,${part.toString(16)}:${prompt - 40}`
})
