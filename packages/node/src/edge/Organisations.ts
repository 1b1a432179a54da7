/** What the caller edge needs of the configuration in force. */
import type { Millis, OrganisationId, Tokens } from '@bluebellhill/domain'

/** What a template settles for its requests. */
export interface TemplateRules {
  readonly name: string
  /** The model's name; null for a template of plain service calls. */
  readonly model: string | null
  readonly version: string | null
  readonly adapter: string | null
  /** The plain service's name; null for a template of completions. */
  readonly service: string | null
  /** A smaller number is more urgent. */
  readonly urgency: number
  readonly deadline: Millis
  /** Tokens of an answer whose caller sets no limit. */
  readonly maxTokens: Tokens
  readonly idempotent: boolean
}

/** An organisation that was recognised by its key. */
export interface KnownOrganisation {
  readonly id: OrganisationId
  readonly templates: readonly TemplateRules[]
}

/** The organisations of the configuration in force. */
export abstract class Organisations {
  /**
   * Recognises a caller.
   *
   * @param apiKey - the key as the caller sent it
   * @returns the organisation, or null where no organisation has the key
   */
  abstract byKey (apiKey: string): KnownOrganisation | null

  /** Whether any configuration is in force yet. */
  abstract get ready (): boolean
}
