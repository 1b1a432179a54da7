/** `/services/<name>/...`: calls to plain services. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'
import type { RequestSpec } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/services'

import type { ServiceRequest } from '../requests/ServiceAttempt.js'
import { ServiceSource } from '../requests/ServiceSource.js'
import type { Admission, AdmittedCall } from './Admission.js'
import type { AdmittedRunner } from './AdmittedRunner.js'
import { readBody } from './body.js'
import type { BodyLimits } from './body.js'
import { RefusedCall } from './errors.js'
import { readDeadline } from './headers.js'
import type { KnownOrganisation } from './Organisations.js'
import { OrganisationRoute } from './Route.js'
import type { EdgeCall } from './Route.js'
import { ServiceReply } from './ServiceReply.js'

const PATH = /^\/services\/([A-Za-z0-9._-]{1,128})(\/.*)?$/
const NOT_FORWARDED = new Set(['host', 'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'expect', 'te', 'upgrade', 'authorization', 'proxy-authorization'])

/** What the service route works with. */
export interface ServiceRouteParts {
  readonly admission: Admission
  readonly runner: AdmittedRunner
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
    const admitted = this.#parts.admission.service(organisation, { service: match[1], method: call.request.method ?? 'GET', path: match[2] ?? '/' }, deadline)
    await this.#run(admitted, call, {
      method: call.request.method ?? 'GET',
      path: `${match[2] ?? '/'}${call.query}`,
      headers: forwardedHeaders(call.request.headers, admitted.spec),
      body
    })
  }

  async #run ({ spec, limited }: AdmittedCall, call: EdgeCall, body: ServiceRequest): Promise<void> {
    call.response.setHeader('x-request-id', spec.id)
    const answer = new ServiceReply(call.response, spec.id)
    const source = new ServiceSource(spec, body, this.#parts.services, this.#parts.limits.bytes, answer)
    await this.#parts.runner.run({ spec, limited, call, answer, source, identity: identityOf(body) })
  }
}

/** What makes two service calls the same: method, path with query, and body. */
const identityOf = ({ method, path, body }: ServiceRequest): Buffer => Buffer.concat([Buffer.from(`${method} ${path}\n`), body])

const forwardedHeaders = (headers: IncomingHttpHeaders, spec: RequestSpec): Record<string, string | string[]> => {
  const kept = Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !NOT_FORWARDED.has(entry[0]))
  return { ...Object.fromEntries(kept), 'x-request-id': spec.id }
}
