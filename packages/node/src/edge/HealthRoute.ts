/** Routes of the health probes and the metrics: `/healthz`, `/readyz` and `/metrics`. */
import type { Metrics } from '../metrics/index.js'
import { writeJson } from './response.js'
import { Route } from './Route.js'
import type { EdgeCall } from './Route.js'

/** Returns the reason why the load balancer should send no calls to this node, or null if the node is ready. */
export type ReadinessCheck = () => string | null

/** Answers the probes of the load balancer and the requests of the metrics collector. */
export class HealthRoute extends Route {
  readonly #findUnreadyReason: ReadinessCheck
  readonly #metrics: Metrics

  constructor (findUnreadyReason: ReadinessCheck, metrics: Metrics) {
    super()
    this.#findUnreadyReason = findUnreadyReason
    this.#metrics = metrics
  }

  matches (method: string, path: string): boolean {
    return method === 'GET' && ['/healthz', '/readyz', '/metrics'].includes(path)
  }

  async handle (call: EdgeCall): Promise<void> {
    if (call.path === '/healthz') return writeJson(call.response, 200, { status: 'alive' })
    if (call.path === '/readyz') return this.#answerReadiness(call)
    const text = await this.#metrics.toPrometheusText()
    call.response.writeHead(200, { 'content-type': this.#metrics.contentType })
    call.response.end(text)
  }

  #answerReadiness (call: EdgeCall): void {
    const reason = this.#findUnreadyReason()
    if (reason === null) writeJson(call.response, 200, { status: 'ready' })
    else writeJson(call.response, 503, { status: 'not ready', reason })
  }
}
