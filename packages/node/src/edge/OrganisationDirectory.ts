/** Recognises callers by the configuration in force. */
import { createHash } from 'node:crypto'

import type { OrganisationId } from '@bluebellhill/domain'
import type { Configuration, Organisation } from '@bluebellhill/services'

import { serviceModel } from '../dispatch/PlainMonitor.js'

/** An organisation that was recognised by its key, with the configuration that recognised it. */
export interface AuthenticatedCaller {
  readonly organisationId: OrganisationId
  readonly organisation: Organisation
  readonly configuration: Configuration
}

/** The organisations of the configuration in force. */
export class OrganisationDirectory {
  readonly #currentConfiguration: () => Configuration | null

  /**
   * @param currentConfiguration - gives the configuration in force, or null while there is none
   */
  constructor (currentConfiguration: () => Configuration | null) {
    this.#currentConfiguration = currentConfiguration
  }

  /** Whether any configuration is in force yet. */
  get hasConfiguration (): boolean {
    return this.#currentConfiguration() !== null
  }

  /** Names under which the fleet's models and plain services are dispatched. */
  dispatchNames (): string[] {
    const fleet = this.#currentConfiguration()?.fleet
    if (fleet === undefined) return []
    return [...fleet.models.map((model) => model.name), ...fleet.services.map((service) => serviceModel(service.name))]
  }

  /**
   * Recognises a caller. Only hashes are looked up, so the time taken tells nothing of a key.
   *
   * @param apiKey - the key as the caller sent it
   * @returns the organisation, or null where none has the key
   */
  authenticate (apiKey: string): AuthenticatedCaller | null {
    const configuration = this.#currentConfiguration()
    const hash = createHash('sha256').update(apiKey).digest('hex')
    const organisation = configuration?.organisationByKeyHash(hash) ?? null
    if (configuration === null || organisation === null) return null
    return { organisationId: organisation.name as OrganisationId, organisation, configuration }
  }
}
