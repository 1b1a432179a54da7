/** The operators' configuration in force, as the daemon asks for it. */
import { fillPlaceholders, INPUT_PLACEHOLDER, parameterTypeOf } from './schema.js'
import { failed, success } from '../result.js'
import type { Fleet, FleetModel, Organisation, RequestShape, Template } from './schema.js'
import type { Millis, Tokens } from '@bluebellhill/domain'
import type { Result } from '../result.js'

/** A template with the fleet's defaults filled in. */
export interface ResolvedTemplate {
  readonly name: string
  readonly shape: RequestShape
  readonly model: string | null
  readonly version: string | null
  readonly adapter: string | null
  readonly service: string | null
  readonly urgency: number
  readonly deadline: Millis
  readonly maxTokens: Tokens
  readonly maxPromptTokens: Tokens | null
  readonly warmCopies: number
  readonly idempotent: boolean
  /** As the operator wrote it. */
  readonly source: Template
}

/** Values of a template's parameters as the caller gave them. */
export type ParameterValues = Readonly<Record<string, unknown>>

const EMPTY_FLEET: Fleet = {
  kind: 'fleet',
  models: [],
  services: [],
  defaults: { deadline: 60_000, urgency: 5, maxTokens: 1_024, warmCopies: 0 }
}

/** One consistent view of the fleet's value and all organisations' values; never changed, only replaced. */
export class Configuration {
  readonly fleet: Fleet
  readonly organisations: readonly Organisation[]
  readonly #organisationsByKeyHash = new Map<string, Organisation | null>()
  readonly #modelsByName: ReadonlyMap<string, FleetModel>
  readonly #templates = new Map<Organisation, readonly ResolvedTemplate[]>()

  /**
   * @param fleet - the fleet's value; null before there is one
   * @param organisations - the organisations' values
   */
  constructor (fleet: Fleet | null, organisations: readonly Organisation[]) {
    this.fleet = fleet ?? EMPTY_FLEET
    this.organisations = organisations
    this.#modelsByName = new Map(this.fleet.models.map((model) => [model.name, model]))
    for (const organisation of organisations) {
      this.#templates.set(organisation, organisation.templates.map((template) => this.#resolveTemplate(template)))
      for (const key of organisation.keys) this.#addKey(key.sha256, organisation)
    }
  }

  /**
   * Recognises an organisation. A key that two organisations claim belongs to neither.
   *
   * @param hash - SHA-256 of the API key, in hexadecimal
   * @returns the organisation, or null
   */
  organisationByKeyHash (hash: string): Organisation | null {
    return this.#organisationsByKeyHash.get(hash) ?? null
  }

  /**
   * Lists the templates of an organisation with defaults filled in.
   *
   * @param organisation - one of this configuration
   * @returns its templates, in the order of its file
   */
  templatesOfOrganisation (organisation: Organisation): readonly ResolvedTemplate[] {
    return this.#templates.get(organisation) ?? []
  }

  /**
   * Finds the template of a completion.
   *
   * @param organisation - whose request it is
   * @param name - a template's name, else a model's; the first template of the model is taken
   * @returns the template, or null
   */
  templateFor (organisation: Organisation, name: string): ResolvedTemplate | null {
    const templates = this.templatesOfOrganisation(organisation).filter((template) => template.model !== null)
    return templates.find((template) => template.name === name) ?? templates.find((template) => template.model === name) ?? null
  }

  /**
   * Finds the template of a call to a plain service: the one with the longest matching path.
   *
   * @param organisation - whose call it is
   * @param service - the service's name
   * @param method - the call's method
   * @param path - the call's path within the service, without query
   * @returns the template, or null
   */
  serviceTemplateFor (organisation: Organisation, service: string, method: string, path: string): ResolvedTemplate | null {
    const length = (template: ResolvedTemplate): number => template.source.pathPrefix?.length ?? 0
    return this.templatesOfOrganisation(organisation)
      .filter((template) => template.service === service && matchesCall(template.source, method, path))
      .reduce<ResolvedTemplate | null>((best, template) => best === null || length(template) > length(best) ? template : best, null)
  }

  /**
   * Gives a model's entry.
   *
   * @param name - the model's name
   * @returns its versions and adapters, or null
   */
  model (name: string): FleetModel | null {
    return this.#modelsByName.get(name) ?? null
  }

  #addKey (hash: string, organisation: Organisation): void {
    const owner = this.#organisationsByKeyHash.get(hash)
    this.#organisationsByKeyHash.set(hash, owner === undefined || owner === organisation ? organisation : null)
  }

  #resolveTemplate (template: Template): ResolvedTemplate {
    const { defaults } = this.fleet
    const model = template.model === undefined ? null : this.model(template.model)
    return {
      name: template.name,
      shape: template.request.shape,
      model: template.model ?? null,
      version: template.version ?? model?.current ?? null,
      adapter: template.adapter ?? null,
      service: template.service ?? null,
      urgency: template.urgency ?? defaults.urgency,
      deadline: template.deadline ?? defaults.deadline,
      maxTokens: template.request.maxTokens ?? defaults.maxTokens,
      maxPromptTokens: template.request.maxPromptTokens ?? null,
      warmCopies: template.warmCopies ?? model?.warmCopies ?? defaults.warmCopies,
      idempotent: template.idempotent,
      source: template
    }
  }
}

const matchesCall = (template: Template, method: string, path: string): boolean => {
  if (template.methods !== undefined && !template.methods.some((allowed) => allowed === method)) return false
  const { pathPrefix } = template
  if (pathPrefix === undefined) return true
  return path === pathPrefix || path.startsWith(pathPrefix.endsWith('/') ? pathPrefix : `${pathPrefix}/`)
}

/**
 * Writes the prompt of a request from its template.
 *
 * @param template - the template
 * @param values - parameters from the caller
 * @param input - the caller's own prompt
 * @returns the text for the engine, or a sentence that tells the caller what is wrong
 */
export const renderPrompt = (template: Template, values: ParameterValues, input: string): Result<string, string> => {
  const valuesByName = new Map([[INPUT_PLACEHOLDER, input]])
  for (const parameter of template.parameters) {
    const value = Object.hasOwn(values, parameter.name) ? values[parameter.name] : parameter.default
    if (value === undefined) return failed(`the parameter "${parameter.name}" of the template "${template.name}" is missing`)
    if (parameterTypeOf(value) !== parameter.type) return failed(`the parameter "${parameter.name}" has to be of the type ${parameter.type}`)
    valuesByName.set(parameter.name, String(value))
  }
  const unknown = Object.keys(values).find((name) => !template.parameters.some((parameter) => parameter.name === name))
  if (unknown !== undefined) return failed(`the template "${template.name}" has no parameter "${unknown}"`)
  return success(template.prompt === undefined ? input : fillPlaceholders(template.prompt, valuesByName))
}
