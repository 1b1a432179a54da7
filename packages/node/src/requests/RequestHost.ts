/** Starts and tracks the requests in progress at this entry node. */
import type { AttemptId, NodeId, Outcome, RequestId, RequestOptions, RequestSpec } from '@bluebellhill/domain'
import type { Ref } from 'nact'

import type { Answer } from './Answer.js'
import type { AttemptSource, SessionPorts } from './ports.js'
import { RequestSession } from './RequestSession.js'

/** The session of a started request and a promise of its final result. */
export interface StartedRequest {
  readonly session: RequestSession
  readonly finished: Promise<Outcome>
}

/** Starts requests, routes recalls to them by attempt id, and signals when none is in progress. */
export class RequestHost {
  readonly #node: NodeId
  readonly #options: RequestOptions
  readonly #ports: SessionPorts
  readonly #parent: Ref<unknown>
  readonly #sessions = new Map<RequestId, RequestSession>()
  readonly #idleWaiters: Array<() => void> = []

  constructor (node: NodeId, options: RequestOptions, ports: SessionPorts, parent: Ref<unknown>) {
    this.#node = node
    this.#options = options
    this.#ports = ports
    this.#parent = parent
  }

  /** Number of requests in progress. */
  get size (): number {
    return this.#sessions.size
  }

  /**
   * Starts a request.
   *
   * @param spec - the admitted request
   * @param answer - receives the answer for the caller
   * @param source - creates the attempts of the request
   * @returns the session and a promise of its final result
   */
  start (spec: RequestSpec, answer: Answer, source: AttemptSource): StartedRequest {
    let settle: (outcome: Outcome) => void = () => {}
    const finished = new Promise<Outcome>((resolve) => { settle = resolve })
    const session = new RequestSession(spec, this.#options, answer, source, this.#ports, this.#parent, this.#node, (outcome) => {
      this.#remove(spec.id)
      settle(outcome)
    })
    this.#sessions.set(spec.id, session)
    session.start()
    return { session, finished }
  }

  /**
   * Makes an attempt give up its runner.
   *
   * @param attempt - id of the attempt, which begins with the id of its request
   * @returns false if the request is not in progress on this node
   */
  recall (attempt: AttemptId): boolean {
    const request = attempt.slice(0, attempt.lastIndexOf('.')) as RequestId
    const session = this.#sessions.get(request)
    session?.post({ type: 'recalled', attempt })
    return session !== undefined
  }

  /** Resolves when no request is in progress. */
  async whenIdle (): Promise<void> {
    if (this.#sessions.size === 0) return
    await new Promise<void>((resolve) => { this.#idleWaiters.push(resolve) })
  }

  #remove (id: RequestId): void {
    this.#sessions.delete(id)
    if (this.#sessions.size > 0) return
    for (const resolve of this.#idleWaiters.splice(0)) resolve()
  }
}
