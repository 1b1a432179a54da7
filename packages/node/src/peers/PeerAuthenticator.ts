/** Authenticates calls between nodes with a shared secret that can be rotated without stopping the nodes. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto'

import { InterceptingCall } from '@grpc/grpc-js'
import type { Interceptor, Metadata } from '@grpc/grpc-js'

/** gRPC metadata key of the token. */
export const TOKEN_KEY = 'x-peer-token'

const NONCE_BYTES = 8
const MAX_CLOCK_SKEW_MS = 120_000
const TOKEN = /^(\d{1,15})\.([0-9a-f]{16})\.([0-9a-f]{64})$/

/** Creates and checks the tokens of peer calls. A token holds a time, a nonce, and an HMAC of both and the called method. */
export class PeerAuthenticator {
  readonly #secrets: readonly string[]
  readonly #wallClock: () => number

  /**
   * @param secrets - shared secrets: the first signs, and tokens signed with any of them are accepted
   * @param wallClock - returns milliseconds since the epoch
   */
  constructor (secrets: readonly string[], wallClock: () => number) {
    this.#secrets = secrets
    this.#wallClock = wallClock
  }

  /**
   * Creates a token for one call.
   *
   * @param method - full path of the called gRPC method
   */
  createToken (method: string): string {
    const time = String(this.#wallClock())
    const nonce = randomBytes(NONCE_BYTES).toString('hex')
    return `${time}.${nonce}.${computeTag(this.#secrets[0] ?? '', time, nonce, method)}`
  }

  /**
   * Checks the token of a call.
   *
   * @param method - full path of the called gRPC method
   * @param token - token as the peer sent it
   * @returns whether it is signed for this method with a configured secret and its time is within `MAX_CLOCK_SKEW_MS` of the
   * wall clock
   */
  accepts (method: string, token: string): boolean {
    const match = TOKEN.exec(token)
    if (match === null) return false
    const [, time = '', nonce = '', tag = ''] = match
    if (Math.abs(this.#wallClock() - Number(time)) > MAX_CLOCK_SKEW_MS) return false
    return this.#secrets.some((secret) => tagsMatch(tag, computeTag(secret, time, nonce, method)))
  }

  /** Returns an interceptor that adds a token to each call of a gRPC client. */
  interceptor (): Interceptor {
    return (options, nextCall) => new InterceptingCall(nextCall(options), {
      start: (metadata, listener, next) => {
        metadata.set(TOKEN_KEY, this.createToken(options.method_definition.path))
        next(metadata, listener)
      }
    })
  }

  /**
   * Reads the token of a received call.
   *
   * @param metadata - metadata of the call
   * @returns the token; empty if there is none
   */
  static tokenOf (metadata: Metadata): string {
    return String(metadata.get(TOKEN_KEY)[0] ?? '')
  }
}

const computeTag = (secret: string, time: string, nonce: string, method: string): string =>
  createHmac('sha256', secret).update(`${time}.${nonce}.${method}`).digest('hex')

const tagsMatch = (left: string, right: string): boolean => timingSafeEqual(Buffer.from(left), Buffer.from(right))
