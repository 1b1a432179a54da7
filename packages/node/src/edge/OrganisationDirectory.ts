/** Authenticates callers by the API keys of the configuration in force. */
import { createHash } from 'node:crypto'

import type { OrganisationId } from '@bluebellhill/domain'
import type { Configuration, Organisation } from '@bluebellhill/services'

import { serviceModelName } from '../dispatch/PlainServiceMonitor.js'

/** The organisation to which a caller's API key belongs, and the configuration in which the key was found. */
export interface AuthenticatedCaller {
  readonly organisationId: OrganisationId
  readonly organisation: Organisation
  readonly configuration: Configuration
}

/** Looks up the organisations of the configuration in force. */
export class OrganisationDirectory {
  readonly #currentConfiguration: () => Configuration | null

  /**
   * @param currentConfiguration - returns the configuration in force, or null before the first one is installed
   */
  constructor (currentConfiguration: () => Configuration | null) {
    this.#currentConfiguration = currentConfiguration
  }

  /** Whether a configuration is in force. */
  get hasConfiguration (): boolean {
    return this.#currentConfiguration() !== null
  }

  /** Returns the names by which dispatchers identify the models and plain services of the fleet. */
  dispatchNames (): string[] {
    const fleet = this.#currentConfiguration()?.fleet
    if (fleet === undefined) return []
    return [...fleet.models.map((model) => model.name), ...fleet.services.map((service) => serviceModelName(service.name))]
  }

  /**
   * Finds the organisation of an API key. The key is hashed before the lookup, so the duration reveals nothing about a valid
   * key.
   *
   * @param apiKey - the key that the caller sent
   * @returns the organisation, or null if no organisation has the key
   */
  authenticate (apiKey: string): AuthenticatedCaller | null {
    const configuration = this.#currentConfiguration()
    const hash = createHash('sha256').update(apiKey).digest('hex')
    const organisation = configuration?.organisationByKeyHash(hash) ?? null
    if (configuration === null || organisation === null) return null
    return { organisationId: organisation.name as OrganisationId, organisation, configuration }
  }
}
