/** The granted attempt of a request: its connection and the reports that renew its grant. */
import { ProgressKind } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, Grant, RunnerId, Tokens } from '@bluebellhill/domain'

import type { Attempt } from './Attempt.js'
import type { DispatchClient, OrderResult } from './DispatchClient.js'

type GrantedOrder = Extract<OrderResult, { type: 'granted' }>

/** Reports of one grant's life that are sent at the least. */
const REPORTS_PER_GRANT = 3
const MAX_REPORT_INTERVAL_MS = 1_000

/** Told when the dispatcher wants the runner back. */
export interface RecallListener {
  post (event: { readonly type: 'recalled', readonly attempt: AttemptId }): void
}

/** Runs one attempt and keeps its dispatcher informed. */
export class ActiveAttempt {
  readonly attempt: AttemptId
  readonly address: string
  readonly groupAddresses: readonly string[]
  readonly #grant: Grant
  readonly #runner: RunnerId
  readonly #dispatchClient: DispatchClient
  readonly #readGenerated: () => Tokens
  #connection: Attempt | null = null
  #order: DispatchOrder | null = null
  #listener: RecallListener | null = null
  #timer: NodeJS.Timeout | null = null

  /**
   * @param attempt - the attempt's id
   * @param granted - the dispatcher's grant
   * @param dispatchClient - the way to the dispatchers
   * @param readGenerated - reads how many tokens the caller has
   */
  constructor (attempt: AttemptId, granted: GrantedOrder, dispatchClient: DispatchClient, readGenerated: () => Tokens) {
    this.attempt = attempt
    this.address = granted.address
    this.groupAddresses = granted.groupAddresses
    this.#grant = granted.grant
    this.#runner = granted.grant.runner
    this.#dispatchClient = dispatchClient
    this.#readGenerated = readGenerated
  }

  /**
   * Starts a connection, in place of the one before.
   *
   * @param connection - the prepared try
   * @param order - handed on with reports, so that a new dispatcher can take the attempt up
   * @param listener - told of a recall
   */
  run (connection: Attempt, order: DispatchOrder, listener: RecallListener): void {
    const isFirst = this.#connection === null
    this.#connection?.abort()
    this.#connection = connection
    this.#order = order
    this.#listener = listener
    void connection.run()
    if (isFirst) this.#startReports()
  }

  reportFirstToken (): void {
    void this.#report(ProgressKind.FirstToken)
  }

  /**
   * Drops the connection and tells the dispatcher that the attempt is over.
   *
   * @param kind - how it ended
   */
  stop (kind: ProgressKind): void {
    this.#connection?.abort()
    if (this.#timer !== null) clearInterval(this.#timer)
    this.#timer = null
    void this.#report(kind)
  }

  #startReports (): void {
    const interval = Math.min(MAX_REPORT_INTERVAL_MS, this.#grant.validFor / REPORTS_PER_GRANT)
    this.#timer = setInterval(() => { void this.#report(ProgressKind.Streaming) }, interval)
    void this.#report(ProgressKind.Sent)
  }

  /** Each member of a group has a dispatcher of its own. */
  #runners (): readonly RunnerId[] {
    return this.#grant.group.length === 0 ? [this.#runner] : this.#grant.group
  }

  async #report (kind: ProgressKind): Promise<void> {
    if (this.#order === null) return
    const progress = { attempt: this.attempt, kind, generated: this.#readGenerated(), order: this.#order }
    const recalls = await Promise.all(this.#runners().map(async (runner) => await this.#dispatchClient.report({ ...progress, runner })))
    if (recalls.includes(true)) this.#listener?.post({ type: 'recalled', attempt: this.attempt })
  }
}
