/** `GET /v1/models`: the models and templates that an organisation may name. */
import type { KnownOrganisation } from './Organisations.js'
import { writeJson } from './response.js'
import { OrganisationRoute } from './Route.js'
import type { EdgeCall } from './Route.js'

/** Lists models in the OpenAI form. */
export class ModelsRoute extends OrganisationRoute {
  matches (method: string, path: string): boolean {
    return method === 'GET' && path === '/v1/models'
  }

  protected async handleFor (organisation: KnownOrganisation, call: EdgeCall): Promise<void> {
    writeJson(call.response, 200, { object: 'list', data: modelNames(organisation).map(modelBody) })
  }
}

const modelNames = (known: KnownOrganisation): string[] => {
  const templates = known.configuration.templatesOfOrganisation(known.organisation)
  return [...new Set(templates.flatMap((template) => template.model === null ? [] : [template.name, template.model]))].sort()
}

const modelBody = (id: string): object => ({ id, object: 'model', created: 0, owned_by: 'bluebellhill' })
