/** Creates the routes of the caller interface. */
import type { IncomingMessage } from 'node:http'

import { OutcomeKind } from '@bluebellhill/domain'

import type { Admission } from '../edge/Admission.js'
import type { AdmittedRunner } from '../edge/AdmittedRunner.js'
import type { BodyLimits } from '../edge/body.js'
import { CompletionRoute } from '../edge/CompletionRoute.js'
import { RefusedCall } from '../edge/errors.js'
import { readApiKey } from '../edge/headers.js'
import { HealthRoute } from '../edge/HealthRoute.js'
import type { ReadinessCheck } from '../edge/HealthRoute.js'
import { ModelsRoute } from '../edge/ModelsRoute.js'
import type { KnownOrganisation, Organisations } from '../edge/Organisations.js'
import type { Route } from '../edge/Route.js'
import { ServiceRoute } from '../edge/ServiceRoute.js'
import type { Metrics } from '../metrics/index.js'
import type { CompletionSourceFactory } from '../requests/CompletionSource.js'
import type { BackendClients } from './dispatchAdapters.js'

const CONFIGURATION_RETRY_AFTER_MS = 1_000

/** Dependencies of the routes. */
export interface RouteDependencies {
  readonly organisations: Organisations
  readonly admission: Admission
  readonly runner: AdmittedRunner
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
  const authenticate = (request: IncomingMessage): KnownOrganisation => authenticateCaller(dependencies.organisations, request)
  return [
    new CompletionRoute(authenticate, { admission, runner, sources, limits }),
    new ServiceRoute(authenticate, { admission, runner, services: clients.service, limits }),
    new ModelsRoute(authenticate),
    new HealthRoute(dependencies.unreadyReason, dependencies.metrics)
  ]
}

const authenticateCaller = (organisations: Organisations, request: IncomingMessage): KnownOrganisation => {
  const key = readApiKey(request.headers)
  if (!organisations.ready) throw new RefusedCall(OutcomeKind.Starting, 'no configuration is in force yet', CONFIGURATION_RETRY_AFTER_MS)
  const organisation = organisations.byKey(key)
  if (organisation === null) throw new RefusedCall(OutcomeKind.Unauthorised, 'the API key is not known')
  return organisation
}
