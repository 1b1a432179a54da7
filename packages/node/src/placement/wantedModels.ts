/** Derives the models that each failure domain must have loaded from the operators' configuration. */
import { EngineRole } from '@bluebellhill/domain'
import type { WantedModel } from '@bluebellhill/domain'
import type { Configuration, FleetModel, ResolvedTemplate } from '@bluebellhill/services'

/** Assumed size of a model's weights, for the rate limit of loads. */
const ASSUMED_WEIGHT_BYTES = 2_000_000_000

/** A smaller number is more urgent. */
const LEAST_URGENT = 9

/**
 * Derives the wanted models from the fleet's models and the templates of all organisations.
 *
 * @param configuration - the configuration in force
 */
export const wantedModels = (configuration: Configuration): WantedModel[] => {
  const templates = configuration.organisations.flatMap((organisation) => configuration.templatesOfOrganisation(organisation))
  return configuration.fleet.models.map((model) => wantedModelOf(model, templates.filter((template) => template.model === model.name)))
}

const wantedModelOf = (model: FleetModel, templates: readonly ResolvedTemplate[]): WantedModel => ({
  model: model.name,
  version: model.current,
  adapters: [...new Set(templates.flatMap((template) => template.adapter ?? []))].sort(),
  role: EngineRole.Mixed,
  warmCopies: Math.max(model.warmCopies ?? 0, ...templates.map((template) => template.warmCopies)),
  urgency: Math.min(LEAST_URGENT, ...templates.map((template) => template.urgency)),
  weightBytes: ASSUMED_WEIGHT_BYTES
})
