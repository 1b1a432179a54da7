/** Route of the calls to plain services: `/services/NAME/...`. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'
import type { RequestSpec } from '@bluebellhill/domain'
import type { PlainService } from '@bluebellhill/services'

import type { ServiceRequest } from '../requests/ServiceAttempt.js'
import { ServiceSource } from '../requests/ServiceSource.js'
import type { Admission, AdmittedCall } from './Admission.js'
import type { AdmittedRequestExecutor } from './AdmittedRequestExecutor.js'
import { readBody } from './readBody.js'
import type { BodyLimits } from './readBody.js'
import { RefusedCall } from './errors.js'
import { readTimeLimit } from './headers.js'
import type { AuthenticatedCaller } from './OrganisationDirectory.js'
import { AuthenticatedRoute } from './Route.js'
import type { EdgeCall } from './Route.js'
import { ServiceReply } from './ServiceReply.js'

const SERVICE_PATH = /^\/services\/([A-Za-z0-9._-]{1,128})(\/.*)?$/
const NOT_FORWARDED = new Set(['host', 'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'expect', 'te', 'upgrade', 'authorization', 'proxy-authorization'])

/** Collaborators and limits of {@link ServiceRoute}. */
export interface ServiceRouteDependencies {
  readonly admission: Admission
  readonly executor: AdmittedRequestExecutor
  /** Returns the client for the backend server at an address. */
  readonly services: (address: string) => PlainService
  readonly limits: BodyLimits
}

/** Admits calls to plain services and forwards them to a backend server. */
export class ServiceRoute extends AuthenticatedRoute {
  readonly #dependencies: ServiceRouteDependencies

  constructor (authenticate: (request: IncomingMessage) => AuthenticatedCaller, dependencies: ServiceRouteDependencies) {
    super(authenticate)
    this.#dependencies = dependencies
  }

  matches (_method: string, path: string): boolean {
    return path.startsWith('/services/')
  }

  protected async handleFor (caller: AuthenticatedCaller, call: EdgeCall): Promise<void> {
    const match = SERVICE_PATH.exec(call.path)
    if (match?.[1] === undefined) throw new RefusedCall(OutcomeKind.UnknownRoute, 'the path has to be /services/NAME/...')
    const timeLimit = readTimeLimit(call.request.headers)
    const body = await readBody(call.request, this.#dependencies.limits)
    const admitted = this.#dependencies.admission.admitServiceCall(caller, { service: match[1], method: call.request.method ?? 'GET', path: match[2] ?? '/' }, timeLimit)
    await this.#run(admitted, call, {
      method: call.request.method ?? 'GET',
      path: `${match[2] ?? '/'}${call.query}`,
      headers: forwardedHeaders(call.request.headers, admitted.spec),
      body
    })
  }

  async #run ({ spec, limitedRequest }: AdmittedCall, call: EdgeCall, body: ServiceRequest): Promise<void> {
    call.response.setHeader('x-request-id', spec.id)
    const answer = new ServiceReply(call.response, spec.id)
    const source = new ServiceSource(spec, body, this.#dependencies.services, this.#dependencies.limits.bytes, answer)
    await this.#dependencies.executor.run({ spec, limitedRequest, call, answer, source, identity: identityOf(body) })
  }
}

/** Two service calls are the same if they have equal method, path with query, and body. */
const identityOf = ({ method, path, body }: ServiceRequest): Buffer => Buffer.concat([Buffer.from(`${method} ${path}\n`), body])

const forwardedHeaders = (headers: IncomingHttpHeaders, spec: RequestSpec): Record<string, string | string[]> => {
  const kept = Object.entries(headers).filter((entry): entry is [string, string | string[]] => entry[1] !== undefined && !NOT_FORWARDED.has(entry[0]))
  return { ...Object.fromEntries(kept), 'x-request-id': spec.id }
}
