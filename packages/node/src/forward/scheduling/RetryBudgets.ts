/** Keeps the retry budgets of the services, for the requests that one scheduler places. */
import { RetryBudget } from '@bluebellhill/domain'
import type { Millis } from '@bluebellhill/domain'

/** Limits on retries, for all nodes together. */
export interface RetryBounds {
  /** Retries that each request adds to the budget. */
  readonly ratio: number
  /** Retries within each window that are allowed in addition. */
  readonly slack: number
  readonly window: Millis
}

export interface RetryBudgetsOptions {
  /** Returns the limits in force. */
  readonly bounds: () => RetryBounds
  /** Returns the number of schedulers that share the limits. */
  readonly sharedBy: () => number
  readonly clock: () => Millis
}

const MS_PER_SECOND = 1_000

/** Share of the allowed retries per request that is used, because schedulers count requests at different moments. */
const RATIO_SHARE = 0.7

/** Share of the slack that may be used at once; a scheduler that takes over starts with it too. */
const BURST_SHARE = 0.3

/** Share of the slack that accrues over one window. */
const ACCRUAL_SHARE = 0.3

/** Retry budget of each service. */
export class RetryBudgets {
  readonly #options: RetryBudgetsOptions
  readonly #budgets = new Map<string, RetryBudget>()

  /** @param options - the limits and how many schedulers share them */
  constructor (options: RetryBudgetsOptions) {
    this.#options = options
  }

  /** Adds the retries that one request allows. */
  countRequest (service: string): void {
    this.#budgetOf(service).deposit(this.#options.clock())
  }

  /** Takes one retry. Returns false if the budget of the service is used up. */
  acquire (service: string): boolean {
    return this.#budgetOf(service).withdraw(this.#options.clock())
  }

  #budgetOf (service: string): RetryBudget {
    const { ratio, slack, window } = this.#options.bounds()
    const ownSlack = slack / Math.max(1, this.#options.sharedBy())
    const capacity = Math.max(1, ownSlack * BURST_SHARE)
    const existing = this.#budgets.get(service)
    if (existing !== undefined) {
      existing.resize(capacity, ratio * RATIO_SHARE)
      return existing
    }
    const perSecond = ownSlack * ACCRUAL_SHARE * MS_PER_SECOND / window
    const budget = new RetryBudget({ ratio: ratio * RATIO_SHARE, capacity, perSecond })
    this.#budgets.set(service, budget)
    return budget
  }
}
