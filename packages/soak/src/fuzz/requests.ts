/** Requests of callers that are as they should be, to servers that need not be. */
import { request as httpRequest } from 'node:http'

import { HeaderName } from '@bluebellhill/platform'

import { HOST, INPUT_MS, KEY, PORT } from './constants.js'
import type { FuzzFleet } from './FuzzFleet.js'

const DEADLINE_MS = 1_000

/** What is sent. */
export interface SoundRequest {
  readonly id: string
  readonly path: string
  readonly method: string
  readonly promptSize: string
  readonly promptParts: string
}

/**
 * @param fleet - the fleet
 * @param request - what is sent to its node
 * @returns whether it has come to an end, whatever it is
 */
export const isEnded = async (fleet: FuzzFleet, { id, path, method, promptSize, promptParts }: SoundRequest): Promise<boolean> => await new Promise((resolve) => {
  const headers = { host: HOST, authorization: `Bearer ${KEY}`, [HeaderName.AttemptId]: id, [HeaderName.Deadline]: String(DEADLINE_MS), [HeaderName.PromptSize]: promptSize, [HeaderName.PromptParts]: promptParts }
  const request = httpRequest({ host: fleet.nodeHost, port: PORT.callers, agent: false, path, method, headers })
  const end = (hasEnded: boolean): void => {
    clearTimeout(timer)
    resolve(hasEnded)
    request.destroy()
  }
  const timer = setTimeout(() => end(false), INPUT_MS)
  request.once('response', (response) => { response.resume().once('close', () => end(true)).on('error', () => end(true)) })
  request.on('error', () => end(true))
  request.end()
})

/** @returns what is reported of a request without an end */
export const noEnd = (id: string, path: string): string => `request ${id} to ${path} had no end within ${INPUT_MS} ms`
