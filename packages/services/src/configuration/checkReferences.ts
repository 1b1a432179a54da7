/** Checks of what one file says about another. */
import type { Fleet, Organisation, Template } from './schema.js'

/** A name in one file that another file does not bear out. */
export interface ReferenceProblem {
  readonly organisation: string
  /** Path of the field in the organisation's file. */
  readonly field: string
  readonly message: string
  readonly allowed: string
}

/**
 * Checks the models, adapters, versions and services that templates name, and that no key belongs to two organisations.
 *
 * @param fleet - the fleet's value
 * @param organisations - the organisations' values
 * @returns what does not fit
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
  return [{ field, message: `names "${name}", which the fleet's file does not list`, allowed: listedNames.length === 0 ? 'none yet; add it to the fleet\'s file' : `one of ${listedNames.join(', ')}` }]
}

const findSharedKeys = (organisations: readonly Organisation[]): ReferenceProblem[] => {
  const owners = new Map<string, string>()
  const problems: ReferenceProblem[] = []
  for (const organisation of organisations) {
    organisation.keys.forEach((key, index) => {
      const owner = owners.get(key.sha256)
      if (owner === undefined) owners.set(key.sha256, organisation.name)
      else problems.push({ organisation: organisation.name, field: `keys[${index}].sha256`, message: `is also a key of "${owner}"`, allowed: 'a key of one organisation only; a shared one is refused' })
    })
  }
  return problems
}
