/** Runs the granted attempt of a request: its connection to the backend server and the progress reports that renew its grant. */
import { ProgressKind } from '@bluebellhill/domain'
import type { AttemptId, DispatchOrder, Grant, RunnerId, Tokens } from '@bluebellhill/domain'

import type { Attempt } from './Attempt.js'
import type { DispatchClient, OrderResult } from './DispatchClient.js'

type GrantedOrder = Extract<OrderResult, { type: 'granted' }>

/** Minimum number of progress reports within the validity of a grant. */
const REPORTS_PER_GRANT = 3
const MAX_REPORT_INTERVAL_MS = 1_000

/** Notified when the dispatcher recalls the runner. */
export interface RecallListener {
  post (event: { readonly type: 'recalled', readonly attempt: AttemptId }): void
}

/** Runs one attempt and reports its progress to the dispatcher at an interval. */
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
   * @param attempt - id of the attempt
   * @param granted - the dispatcher's grant
   * @param dispatchClient - receives the progress reports
   * @param readGenerated - returns the number of tokens that the caller has
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
   * Starts a connection and aborts the previous one.
   *
   * @param connection - the new connection to the backend server, not yet started
   * @param order - sent with each report, so that a new dispatcher can adopt the attempt
   * @param listener - notified of a recall
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
   * Aborts the connection and reports to the dispatcher that the attempt has ended.
   *
   * @param kind - how the attempt ended
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

  /** Runners to report on. The members of a sequence group may have different dispatchers, so each member is reported on. */
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
