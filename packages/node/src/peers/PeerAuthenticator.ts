/** Authenticates calls between nodes by a shared secret that can be changed without a stop. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

import { InterceptingCall } from '@grpc/grpc-js'
import type { Interceptor, Metadata } from '@grpc/grpc-js'

/** Metadata key of the token. */
export const TOKEN_KEY = 'x-peer-token'

const NONCE_BYTES = 8
const MAX_CLOCK_SKEW_MS = 120_000
const TOKEN = /^(\d{1,15})\.([0-9a-f]{16})\.([0-9a-f]{64})$/

/** Makes and checks the tokens of peer calls: time, nonce and an HMAC over both with the called method. */
export class PeerAuthenticator {
  readonly #secrets: readonly string[]
  readonly #wallClock: () => number

  /**
   * @param secrets - the first signs, every one is accepted
   * @param wallClock - milliseconds since the epoch
   */
  constructor (secrets: readonly string[], wallClock: () => number) {
    this.#secrets = secrets
    this.#wallClock = wallClock
  }

  /**
   * Makes a token.
   *
   * @param method - full path of the called method
   */
  createToken (method: string): string {
    const time = String(this.#wallClock())
    const nonce = randomBytes(NONCE_BYTES).toString('hex')
    return `${time}.${nonce}.${tagOf(this.#secrets[0] ?? '', time, nonce, method)}`
  }

  /**
   * Checks a token.
   *
   * @param method - full path of the called method
   * @param token - as the caller sent it
   * @returns whether a known secret signed it for this method a short time ago
   */
  accepts (method: string, token: string): boolean {
    const match = TOKEN.exec(token)
    if (match === null) return false
    const [, time = '', nonce = '', tag = ''] = match
    if (Math.abs(this.#wallClock() - Number(time)) > MAX_CLOCK_SKEW_MS) return false
    return this.#secrets.some((secret) => sameTag(tag, tagOf(secret, time, nonce, method)))
  }

  /** Adds a token to each call of a client. */
  interceptor (): Interceptor {
    return (options, nextCall) => new InterceptingCall(nextCall(options), {
      start: (metadata, listener, next) => {
        metadata.set(TOKEN_KEY, this.createToken(options.method_definition.path))
        next(metadata, listener)
      }
    })
  }

  /**
   * Reads the token of a call that arrived.
   *
   * @param metadata - of the call
   */
  static tokenOf (metadata: Metadata): string {
    return String(metadata.get(TOKEN_KEY)[0] ?? '')
  }
}

const tagOf = (secret: string, time: string, nonce: string, method: string): string =>
  createHmac('sha256', secret).update(`${time}.${nonce}.${method}`).digest('hex')

const sameTag = (left: string, right: string): boolean => timingSafeEqual(Buffer.from(left), Buffer.from(right))
