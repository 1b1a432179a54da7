/** Route of `GET /v1/models`: lists the models and templates that an organisation may use. */
import type { AuthenticatedCaller } from './OrganisationDirectory.js'
import { writeJson } from './response.js'
import { AuthenticatedRoute } from './Route.js'
import type { EdgeCall } from './Route.js'

/** Lists models in the JSON format of OpenAI. */
export class ModelsRoute extends AuthenticatedRoute {
  matches (method: string, path: string): boolean {
    return method === 'GET' && path === '/v1/models'
  }

  protected async handleFor (caller: AuthenticatedCaller, call: EdgeCall): Promise<void> {
    writeJson(call.response, 200, { object: 'list', data: modelNames(caller).map(modelBody) })
  }
}

const modelNames = (caller: AuthenticatedCaller): string[] => {
  const templates = caller.configuration.templatesOfOrganisation(caller.organisation)
  return [...new Set(templates.flatMap((template) => template.model === null ? [] : [template.name, template.model]))].sort()
}

const modelBody = (id: string): object => ({ id, object: 'model', created: 0, owned_by: 'bluebellhill' })
