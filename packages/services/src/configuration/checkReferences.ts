/** Checks references between configuration files: models and services of templates, and API keys that must be unique. */
import type { Fleet, Organisation, Template } from './schema.js'

/** A field of an organisation's file that refers to a missing entry of the fleet's file, or a key that two organisations list. */
export interface ReferenceProblem {
  readonly organisation: string
  /** Path of the field in the organisation's file, such as `templates[2].model`. */
  readonly field: string
  readonly message: string
  readonly allowed: string
}

/**
 * Checks that the fleet lists the models, versions, adapters and services of all templates, and that no two organisations share an API key.
 *
 * @param fleet - the fleet's configuration
 * @param organisations - the organisations' configurations
 * @returns all problems
 */
export const checkReferences = (fleet: Fleet, organisations: readonly Organisation[]): ReferenceProblem[] => [
  ...organisations.flatMap((organisation) => organisation.templates.flatMap((template, index) =>
    findTemplateProblems(fleet, template).map((problem) => ({ ...problem, organisation: organisation.name, field: `templates[${index}].${problem.field}` })))),
  ...findSharedKeys(organisations)
]

type TemplateProblem = Omit<ReferenceProblem, 'organisation'>

const findTemplateProblems = (fleet: Fleet, template: Template): TemplateProblem[] => {
  if (template.service !== undefined) return checkName('service', template.service, fleet.services.map((service) => service.name))
  if (template.model === undefined) return []
  const model = fleet.models.find((candidate) => candidate.name === template.model)
  if (model === undefined) return checkName('model', template.model, fleet.models.map((candidate) => candidate.name))
  return [
    ...checkName('version', template.version, model.versions.map((version) => version.name)),
    ...checkName('adapter', template.adapter, model.adapters)
  ]
}

const checkName = (field: string, name: string | undefined, listedNames: readonly string[]): TemplateProblem[] => {
  if (name === undefined || listedNames.includes(name)) return []
  return [{ field, message: `names "${name}", which the fleet's file does not list`, allowed: listedNames.length === 0 ? 'nothing yet; add it to the fleet\'s file' : `one of ${listedNames.join(', ')}` }]
}

const findSharedKeys = (organisations: readonly Organisation[]): ReferenceProblem[] => {
  const owners = new Map<string, string>()
  const problems: ReferenceProblem[] = []
  for (const organisation of organisations) {
    organisation.keys.forEach((key, index) => {
      const owner = owners.get(key.sha256)
      if (owner === undefined) owners.set(key.sha256, organisation.name)
      else problems.push({ organisation: organisation.name, field: `keys[${index}].sha256`, message: `is also a key of "${owner}"`, allowed: 'a key that no other organisation lists; a shared key is refused' })
    })
  }
  return problems
}
