/** `/services/<name>/...`: calls to plain services. */
import type { IncomingHttpHeaders, IncomingMessage, ServerResponse } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'
import type { AttemptId, Outcome, RequestSpec } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/platform'

import { monotonicNow } from '../clock/monotonic.js'
import { Answer } from '../requests/Answer.js'
import type { Attempt, AttemptListener, AttemptOrder } from '../requests/Attempt.js'
import { AttemptSource } from '../requests/ports.js'
import type { RequestHost } from '../requests/RequestHost.js'
import { ServiceAttempt } from '../requests/ServiceAttempt.js'
import type { ServiceCallBody, WholeServiceAnswer } from '../requests/ServiceAttempt.js'
import type { Admission } from './Admission.js'
import { readBody } from './body.js'
import type { BodyLimits } from './body.js'
import { RefusedCall } from './errors.js'
import { readDeadline } from './headers.js'
import type { KnownOrganisation } from './Organisations.js'
import { writeFailure } from './response.js'
import { OrganisationRoute } from './Route.js'
import type { EdgeCall } from './Route.js'

const PATH = /^\/services\/([A-Za-z0-9._-]{1,128})(\/.*)?$/
const NOT_FORWARDED = new Set(['host', 'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'expect', 'te', 'upgrade', 'authorization', 'proxy-authorization'])

/** What the service route works with. */
export interface ServiceRouteParts {
  readonly admission: Admission
  readonly requests: RequestHost
  readonly services: (address: string) => PlainService
  readonly limits: BodyLimits
}

/** Answers calls to plain services. */
export class ServiceRoute extends OrganisationRoute {
  readonly #parts: ServiceRouteParts

  constructor (recognise: (request: IncomingMessage) => KnownOrganisation, parts: ServiceRouteParts) {
    super(recognise)
    this.#parts = parts
  }

  matches (_method: string, path: string): boolean {
    return path.startsWith('/services/')
  }

  protected async handleFor (organisation: KnownOrganisation, call: EdgeCall): Promise<void> {
    const match = PATH.exec(call.path)
    if (match?.[1] === undefined) throw new RefusedCall(OutcomeKind.UnknownRoute, 'the path has to be /services/NAME/...')
    const deadline = readDeadline(call.request.headers)
    const body = await readBody(call.request, this.#parts.limits)
    const spec = this.#parts.admission.service(organisation, { service: match[1], method: call.request.method ?? 'GET', path: match[2] ?? '/' }, deadline)
    await this.#run(spec, call, {
      method: call.request.method ?? 'GET',
      path: `${match[2] ?? '/'}${call.query}`,
      headers: forwardedHeaders(call.request.headers, spec),
      body
    })
  }

  async #run (spec: RequestSpec, call: EdgeCall, body: ServiceCallBody): Promise<void> {
    call.response.setHeader('x-request-id', spec.id)
    const answer = new ServiceReply(call.response, spec.id)
    const source = new ServiceSource(spec, body, this.#parts.services, this.#parts.limits.bytes, answer)
    const { session, finished } = this.#parts.requests.start(spec, answer, source)
    call.response.on('close', () => session.tell({ type: 'caller_gone' }))
    await finished
  }
}

/** Holds a service's answer until its request counts as answered. */
class ServiceReply extends Answer {
  readonly #response: ServerResponse
  readonly #requestId: string
  #answer: WholeServiceAnswer | null = null

  constructor (response: ServerResponse, requestId: string) {
    super()
    this.#response = response
    this.#requestId = requestId
  }

  whole (answer: WholeServiceAnswer): void {
    this.#answer = answer
  }

  text (): boolean {
    return true
  }

  async drained (): Promise<void> {}

  end (): void {
    if (this.#answer === null || this.#response.destroyed) return
    const { status, headers, body } = this.#answer
    this.#response.writeHead(status, { ...headers, 'content-length': body.length })
    this.#response.end(body)
  }

  fail (outcome: Outcome): void {
    writeFailure(this.#response, outcome, this.#requestId)
  }
}

class ServiceSource extends AttemptSource {
  readonly #spec: RequestSpec
  readonly #body: ServiceCallBody
  readonly #services: (address: string) => PlainService
  readonly #bodyLimit: number
  readonly #reply: ServiceReply

  constructor (spec: RequestSpec, body: ServiceCallBody, services: (address: string) => PlainService, bodyLimit: number, reply: ServiceReply) {
    super()
    this.#spec = spec
    this.#body = body
    this.#services = services
    this.#bodyLimit = bodyLimit
    this.#reply = reply
  }

  create (order: AttemptOrder, listener: AttemptListener): Attempt {
    const timeout = Math.max(1, Math.ceil(this.#spec.deadline - monotonicNow()))
    const service = this.#services(order.address)
    return new ServiceAttempt(service, order, this.#body, listener, timeout, this.#bodyLimit, (answer) => this.#reply.whole(answer))
  }

  // A plain service has no call to cancel; its connection was dropped already.
  async cancel (_address: string, _attempt: AttemptId): Promise<void> {}
}

const forwardedHeaders = (headers: IncomingHttpHeaders, spec: RequestSpec): Record<string, string | string[]> => {
  const kept = Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !NOT_FORWARDED.has(entry[0]))
  return { ...Object.fromEntries(kept), 'x-request-id': spec.id }
}
