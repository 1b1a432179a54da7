/** Queries on the operators' configuration: organisations by API key, templates with defaults, and prompts. */
import { fillPlaceholders, INPUT_PLACEHOLDER, parameterTypeOf } from './schema.js'
import { failed, success } from '../result.js'
import type { Fleet, FleetModel, Organisation, RequestShape, Template } from './schema.js'
import type { Millis, Tokens } from '@bluebellhill/domain'
import type { Result } from '../result.js'

/** A request template whose missing fields are filled in from the fleet's defaults. */
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
  /** The template as it is in the organisation's file, without defaults. */
  readonly source: Template
}

/** Values of a template's parameters by name, unchecked, from the caller's request. */
export type ParameterValues = Readonly<Record<string, unknown>>

const EMPTY_FLEET: Fleet = {
  kind: 'fleet',
  models: [],
  services: [],
  defaults: { deadline: 60_000, urgency: 5, maxTokens: 1_024, warmCopies: 0 }
}

/** Immutable snapshot of the configuration of the fleet and of all organisations. A change creates a new instance. */
export class Configuration {
  readonly fleet: Fleet
  readonly organisations: readonly Organisation[]
  readonly #organisationsByKeyHash = new Map<string, Organisation | null>()
  readonly #modelsByName: ReadonlyMap<string, FleetModel>
  readonly #templates = new Map<Organisation, readonly ResolvedTemplate[]>()

  /**
   * @param fleet - the fleet's configuration; null if none has been applied yet
   * @param organisations - the organisations' configurations
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
   * Finds the organisation that owns an API key. A key that two organisations list identifies neither of them.
   *
   * @param hash - SHA-256 of the API key, in hexadecimal
   * @returns the organisation; null if no or more than one organisation lists the key
   */
  organisationByKeyHash (hash: string): Organisation | null {
    return this.#organisationsByKeyHash.get(hash) ?? null
  }

  /**
   * Lists the templates of an organisation, with defaults filled in.
   *
   * @param organisation - an organisation of this configuration, by identity
   * @returns the templates in the order of the organisation's file
   */
  templatesOfOrganisation (organisation: Organisation): readonly ResolvedTemplate[] {
    return this.#templates.get(organisation) ?? []
  }

  /**
   * Finds the template for a completion request.
   *
   * @param organisation - organisation that sent the request
   * @param name - name of a template, or of a model, for which the first template with this model is used
   * @returns the template; null if the organisation has none for this name
   */
  templateFor (organisation: Organisation, name: string): ResolvedTemplate | null {
    const templates = this.templatesOfOrganisation(organisation).filter((template) => template.model !== null)
    return templates.find((template) => template.name === name) ?? templates.find((template) => template.model === name) ?? null
  }

  /**
   * Finds the template for a call to a plain service: among the matching ones, the one with the longest path prefix.
   *
   * @param organisation - organisation that sent the call
   * @param service - name of the plain service
   * @param method - HTTP method
   * @param path - path within the service, without query
   * @returns the template; null if none matches
   */
  serviceTemplateFor (organisation: Organisation, service: string, method: string, path: string): ResolvedTemplate | null {
    const length = (template: ResolvedTemplate): number => template.source.pathPrefix?.length ?? 0
    return this.templatesOfOrganisation(organisation)
      .filter((template) => template.service === service && matchesCall(template.source, method, path))
      .reduce<ResolvedTemplate | null>((best, template) => best === null || length(template) > length(best) ? template : best, null)
  }

  /**
   * Looks up a model of the fleet.
   *
   * @param name - the model's name
   * @returns the model; null if the fleet has none with this name
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
 * Renders the prompt of a request: the template's prompt with its placeholders replaced.
 *
 * @param template - template of the request
 * @param values - parameter values from the caller
 * @param input - the caller's own prompt, which replaces `{{input}}`
 * @returns the prompt for the engine, or an error message for the caller
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
