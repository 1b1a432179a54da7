/** What the operators' configuration asks of each failure domain. */
import { EngineRole } from '@bluebellhill/domain'
import type { WantedModel } from '@bluebellhill/domain'
import type { Configuration, FleetModel, ResolvedTemplate } from '@bluebellhill/services'

/** Size that is assumed of a model's weights, for the pace of loads. */
const ASSUMED_WEIGHT_BYTES = 2_000_000_000

const LEAST_URGENT = 9

/**
 * Derives the wanted models from the fleet's value and all templates.
 *
 * @param configuration - the configuration in force
 */
export const wantedModels = (configuration: Configuration): WantedModel[] => {
  const templates = configuration.organisations.flatMap((organisation) => configuration.templatesOfOrganisation(organisation))
  return configuration.fleet.models.map((model) => wantedModel(model, templates.filter((template) => template.model === model.name)))
}

const wantedModel = (model: FleetModel, templates: readonly ResolvedTemplate[]): WantedModel => ({
  model: model.name,
  version: model.current,
  adapters: [...new Set(templates.flatMap((template) => template.adapter ?? []))].sort(),
  role: EngineRole.Mixed,
  warmCopies: Math.max(model.warmCopies ?? 0, ...templates.map((template) => template.warmCopies)),
  urgency: Math.min(LEAST_URGENT, ...templates.map((template) => template.urgency)),
  weightBytes: ASSUMED_WEIGHT_BYTES
})
