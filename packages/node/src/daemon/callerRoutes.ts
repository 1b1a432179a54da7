/** The routes of the caller interface. */
import type { IncomingMessage } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'

import type { Admission } from '../edge/Admission.js'
import type { AdmittedRequestExecutor } from '../edge/AdmittedRequestExecutor.js'
import type { BodyLimits } from '../edge/readBody.js'
import { CompletionRoute } from '../edge/CompletionRoute.js'
import { RefusedCall } from '../edge/errors.js'
import { readApiKey } from '../edge/headers.js'
import { HealthRoute } from '../edge/HealthRoute.js'
import type { ReadinessCheck } from '../edge/HealthRoute.js'
import { ModelsRoute } from '../edge/ModelsRoute.js'
import type { AuthenticatedCaller, OrganisationDirectory } from '../edge/OrganisationDirectory.js'
import type { Route } from '../edge/Route.js'
import { ServiceRoute } from '../edge/ServiceRoute.js'
import type { Metrics } from '../metrics/index.js'
import type { CompletionSources } from '../requests/CompletionSource.js'
import type { BackendClients } from './adapters.js'

const CONFIGURATION_RETRY_AFTER_MS = 1_000

/** What the routes work with. */
export interface RouteParts {
  readonly organisations: OrganisationDirectory
  readonly admission: Admission
  readonly runner: AdmittedRequestExecutor
  readonly sources: CompletionSources
  readonly clients: BackendClients
  readonly limits: BodyLimits
  readonly unready: ReadinessCheck
  readonly metrics: Metrics
}

/**
 * Lists every route of the caller interface.
 *
 * @param parts - what the routes work with
 */
export const callerRoutes = (parts: RouteParts): readonly Route[] => {
  const { admission, runner, sources, limits, clients } = parts
  const recognise = (request: IncomingMessage): AuthenticatedCaller => recogniseCaller(parts.organisations, request)
  return [
    new CompletionRoute(recognise, { admission, executor: runner, sources, limits }),
    new ServiceRoute(recognise, { admission, executor: runner, services: clients.service, limits }),
    new ModelsRoute(recognise),
    new HealthRoute(parts.unready, parts.metrics)
  ]
}

const recogniseCaller = (organisations: OrganisationDirectory, request: IncomingMessage): AuthenticatedCaller => {
  const key = readApiKey(request.headers)
  if (!organisations.hasConfiguration) throw new RefusedCall(OutcomeKind.Starting, 'no configuration is in force yet', CONFIGURATION_RETRY_AFTER_MS)
  const organisation = organisations.authenticate(key)
  if (organisation === null) throw new RefusedCall(OutcomeKind.Unauthorised, 'the API key is not known')
  return organisation
}
