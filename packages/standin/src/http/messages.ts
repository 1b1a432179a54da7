/** Reading requests and writing answers of the stand-ins. */
import type { IncomingMessage, ServerResponse } from 'node:http'

/**
 * Answers with JSON.
 *
 * @param response - where to write
 * @param status - HTTP status
 * @param body - what is sent
 * @param headers - further headers
 */
export const sendJson = (response: ServerResponse, status: number, body: unknown, headers: Record<string, string> = {}): void => {
  if (response.destroyed) return
  response.writeHead(status, { 'content-type': 'application/json', ...headers })
  response.end(JSON.stringify(body))
}

/**
 * Reads a whole body.
 *
 * @param request - where to read
 * @returns the bytes
 * @throws when the connection breaks before the end
 */
export const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = []
  for await (const part of request) parts.push(part as Buffer)
  return Buffer.concat(parts)
}

/**
 * Reads about half of a body and cuts the connection.
 *
 * @param request - where to read
 */
export const cutHalfway = async (request: IncomingMessage): Promise<void> => {
  const { socket } = request
  const half = Number(request.headers['content-length'] ?? 0) / 2
  let received = 0
  for await (const part of request) {
    received += (part as Buffer).length
    if (received >= half) break
  }
  socket.destroy()
}

/**
 * Reads a body as a JSON object.
 *
 * @param request - where to read
 * @returns the object; empty for an empty body
 * @throws when the body is not a JSON object
 */
export const readJson = async (request: IncomingMessage): Promise<Record<string, unknown>> => {
  const body = await readBody(request)
  if (body.length === 0) return {}
  const value: unknown = JSON.parse(body.toString())
  if (typeof value !== 'object' || value === null || Array.isArray(value)) throw new Error('the body must be a JSON object')
  return value as Record<string, unknown>
}
