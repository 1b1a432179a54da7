/** Creates the routes of the caller interface. */
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
import type { CompletionSourceFactory } from '../requests/CompletionSource.js'
import type { BackendClients } from './dispatchAdapters.js'

const CONFIGURATION_RETRY_AFTER_MS = 1_000

/** Dependencies of the routes. */
export interface RouteDependencies {
  readonly organisations: OrganisationDirectory
  readonly admission: Admission
  readonly runner: AdmittedRequestExecutor
  readonly sources: CompletionSourceFactory
  readonly clients: BackendClients
  readonly limits: BodyLimits
  /** Returns the reason why the node is not ready, or null if it is. */
  readonly unreadyReason: ReadinessCheck
  readonly metrics: Metrics
}

/** Returns every route of the caller interface. */
export const callerRoutes = (dependencies: RouteDependencies): readonly Route[] => {
  const { admission, runner, sources, limits, clients } = dependencies
  const authenticate = (request: IncomingMessage): AuthenticatedCaller => authenticateCaller(dependencies.organisations, request)
  return [
    new CompletionRoute(authenticate, { admission, executor: runner, sources, limits }),
    new ServiceRoute(authenticate, { admission, executor: runner, services: clients.service, limits }),
    new ModelsRoute(authenticate),
    new HealthRoute(dependencies.unreadyReason, dependencies.metrics)
  ]
}

const authenticateCaller = (organisations: OrganisationDirectory, request: IncomingMessage): AuthenticatedCaller => {
  const key = readApiKey(request.headers)
  if (!organisations.hasConfiguration) throw new RefusedCall(OutcomeKind.Starting, 'no configuration is in force yet', CONFIGURATION_RETRY_AFTER_MS)
  const organisation = organisations.authenticate(key)
  if (organisation === null) throw new RefusedCall(OutcomeKind.Unauthorised, 'the API key is not known')
  return organisation
}
