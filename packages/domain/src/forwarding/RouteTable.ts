/** Looks up the route, the service and the organisation of a request in one version of the configuration. */
import type { Deployment, OrganisationKeys, Route, Service } from './types.js'

/** Index of one version of the configuration. */
export class RouteTable {
  readonly #routes = new Map<string, Route[]>()
  readonly #services = new Map<string, Service>()
  readonly #organisations = new Map<string, OrganisationKeys>()

  /** @param deployment - the version of the configuration */
  constructor (readonly deployment: Deployment) {
    for (const route of deployment.routes) this.#addRoute(route)
    for (const routes of this.#routes.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const service of deployment.services) this.#services.set(service.name, service)
    for (const organisation of deployment.organisations ?? []) {
      for (const key of organisation.apiKeys) this.#organisations.set(key, organisation)
    }
  }

  /** Whether callers must send an API key on routes that are not public. */
  get isKeyRequired (): boolean {
    return this.deployment.organisations !== null
  }

  /**
   * @param host - value of the host header, with or without a port
   * @param path - path of the request, with or without a query
   * @returns the route with the longest prefix, or null
   */
  route (host: string, path: string): Route | null {
    const routes = this.#routes.get(hostName(host)) ?? []
    const [withoutQuery = ''] = path.split('?', 1)
    return routes.find(({ pathPrefix }) => withoutQuery.startsWith(pathPrefix)) ?? null
  }

  /**
   * @param key - API key of the caller
   * @returns the organisation that owns the key, or null
   */
  organisation (key: string): OrganisationKeys | null {
    return this.#organisations.get(key) ?? null
  }

  /**
   * @param name - name of a service
   * @returns the service, or null
   */
  service (name: string): Service | null {
    return this.#services.get(name) ?? null
  }

  #addRoute (route: Route): void {
    const host = hostName(route.host)
    const routes = this.#routes.get(host)
    if (routes === undefined) this.#routes.set(host, [route])
    else routes.push(route)
  }
}

/**
 * Picks one of the services of a route at random, by weight.
 *
 * @param route - the route
 * @param random - random number, uniform in [0, 1)
 * @returns the name of the service, or null if no service of the route has a weight above 0
 */
export const pickService = (route: Route, random: number): string | null => {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = random * total
  for (const { service, weight } of route.services) {
    if (weight > 0 && remaining < weight) return service
    remaining -= weight
  }
  return null
}

const hostName = (host: string): string => host.toLowerCase().replace(/:\d+$/, '')
