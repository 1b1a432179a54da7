/** Recognises callers by the configuration in force. */
import { createHash } from 'node:crypto'

import type { OrganisationId } from '@bluebellhill/domain'
import type { Configuration, Organisation } from '@bluebellhill/services'

import { serviceModelName } from '../dispatch/PlainServiceMonitor.js'

/** An organisation that was recognised by its key, with the configuration that recognised it. */
export interface KnownOrganisation {
  readonly id: OrganisationId
  readonly organisation: Organisation
  readonly configuration: Configuration
}

/** The organisations of the configuration in force. */
export class Organisations {
  readonly #current: () => Configuration | null

  /**
   * @param current - gives the configuration in force, or null while there is none
   */
  constructor (current: () => Configuration | null) {
    this.#current = current
  }

  /** Whether any configuration is in force yet. */
  get ready (): boolean {
    return this.#current() !== null
  }

  /** Names under which the fleet's models and plain services are dispatched. */
  dispatchNames (): string[] {
    const fleet = this.#current()?.fleet
    if (fleet === undefined) return []
    return [...fleet.models.map((model) => model.name), ...fleet.services.map((service) => serviceModelName(service.name))]
  }

  /**
   * Recognises a caller. Only hashes are looked up, so the time taken tells nothing of a key.
   *
   * @param apiKey - the key as the caller sent it
   * @returns the organisation, or null where none has the key
   */
  byKey (apiKey: string): KnownOrganisation | null {
    const configuration = this.#current()
    const hash = createHash('sha256').update(apiKey).digest('hex')
    const organisation = configuration?.organisationByKeyHash(hash) ?? null
    if (configuration === null || organisation === null) return null
    return { id: organisation.name as OrganisationId, organisation, configuration }
  }
}
