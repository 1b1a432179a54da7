/** Schema of the configuration that operators write: one file for the fleet, one for each organisation. */
import { z } from 'zod'

import { countField, durationField, nameField, numberField, uniqueBy } from '../document/fields.js'
import { describeField } from '../document/schemaInfo.js'

/** What a configuration file describes. */
export const ConfigurationKind = {
  Fleet: 'fleet',
  Organisation: 'organisation'
} as const
export type ConfigurationKind = typeof ConfigurationKind[keyof typeof ConfigurationKind]

/** Form of a template's requests. */
export const RequestShape = {
  Completion: 'completion',
  Chat: 'chat',
  Service: 'service'
} as const
export type RequestShape = typeof RequestShape[keyof typeof RequestShape]

/** Type of a template's parameter. */
export const ParameterType = {
  Text: 'text',
  Number: 'number',
  Boolean: 'boolean'
} as const
export type ParameterType = typeof ParameterType[keyof typeof ParameterType]

/** Prompt and answer together, in tokens, at most. */
const MAX_TOKENS = 4_194_304
const MAX_WARM_COPIES = 1_000
const MAX_URGENCY = 9
const MAX_CONCURRENT_REQUESTS = 1_000_000
const MAX_TOKENS_PER_SECOND = 100_000_000
const MAX_PROMPT_CHARACTERS = 200_000

const SHA256 = /^[0-9a-f]{64}$/

const urgency = countField(0, MAX_URGENCY)
const deadline = durationField('100ms', '1d')
const warmCopies = countField(0, MAX_WARM_COPIES)
const answerTokens = countField(1, MAX_TOKENS)

const limits = z.strictObject({
  requestsAtOnce: describeField(countField(1, MAX_CONCURRENT_REQUESTS).optional(), { description: 'Requests in progress at most, over all nodes.' }),
  tokensPerSecond: describeField(numberField(1, MAX_TOKENS_PER_SECOND).optional(), { description: 'Tokens of prompts and answers a second, over all nodes.' })
})

const modelVersion = z.strictObject({
  name: describeField(nameField, { description: 'Name of the version in the weight store.' })
})

const model = z.strictObject({
  name: describeField(nameField, { description: 'Name of the model.' }),
  versions: describeField(z.array(modelVersion).min(1).max(32).superRefine(uniqueBy((entry) => entry.name, 'version')), { description: 'Versions that engines may load.' }),
  current: describeField(nameField, { description: 'Version that requests get unless their template names one.' }),
  adapters: describeField(z.array(nameField).max(256).default([]).superRefine(uniqueBy((entry) => entry, 'adapter')), { description: 'Adapters that the model\'s engines may load.' }),
  warmCopies: describeField(warmCopies.optional(), { description: 'Engines that keep the model loaded while idle, in each failure domain.' })
}).superRefine((entry, context) => {
  if (entry.versions.some((version) => version.name === entry.current)) return
  const allowed = `one of ${entry.versions.map((version) => version.name).join(', ')}`
  context.addIssue({ code: 'custom', path: ['current'], message: `names the version "${entry.current}", which is not listed`, params: { allowed } })
})

const service = z.strictObject({
  name: describeField(nameField, { description: 'Name of the plain service, as in `/services/NAME/`.' })
})

const defaults = z.strictObject({
  deadline: describeField(deadline.prefault('60s'), { description: 'Time limit of a template that sets none.' }),
  urgency: describeField(urgency.default(5), { description: 'Urgency of a template that sets none; 0 is the most urgent.' }),
  maxTokens: describeField(answerTokens.default(1_024), { description: 'Tokens of an answer whose caller and template set no limit.' }),
  warmCopies: describeField(warmCopies.default(0), { description: 'Warm copies of a model that sets none.' })
})

/** The fleet's own value. */
export const fleetSchema = z.strictObject({
  kind: describeField(z.literal(ConfigurationKind.Fleet), { description: 'Marks the file of the fleet.' }),
  models: describeField(z.array(model).max(64).default([]).superRefine(uniqueBy((entry) => entry.name, 'model')), { description: 'Models that the engines serve.' }),
  services: describeField(z.array(service).max(256).default([]).superRefine(uniqueBy((entry) => entry.name, 'service')), { description: 'Plain services.' }),
  defaults: describeField(defaults.prefault({}), { description: 'What holds where a template says nothing.' })
})

const key = z.strictObject({
  name: describeField(nameField, { description: 'What the key is called in logs.' }),
  sha256: describeField(z.string().regex(SHA256).meta({ allowed: '64 hexadecimal digits in small letters, from "bluebellhill hash"', secret: true }), { description: 'SHA-256 of the API key.' })
})

const parameter = z.strictObject({
  name: describeField(nameField, { description: 'Name, used as {{name}} in the prompt.' }),
  type: describeField(z.enum(ParameterType).default(ParameterType.Text), { description: 'Type of the value.' }),
  default: describeField(z.union([z.string().max(MAX_PROMPT_CHARACTERS), z.number(), z.boolean()]).optional().meta({ allowed: 'a value of the parameter\'s type' }), { description: 'Value where the caller gives none; without it the caller has to.' })
}).superRefine((entry, context) => {
  if (entry.default === undefined || parameterTypeOf(entry.default) === entry.type) return
  context.addIssue({ code: 'custom', path: ['default'], message: 'is of another type than the parameter', params: { allowed: `a value of the type ${entry.type}` } })
})

const requestShape = z.strictObject({
  shape: describeField(z.enum(RequestShape), { description: 'Form of the requests.' }),
  typicalPromptTokens: describeField(countField(1, MAX_TOKENS).optional(), { description: 'Length of a usual prompt, for placement before there is traffic.' }),
  maxPromptTokens: describeField(countField(1, MAX_TOKENS).optional(), { description: 'Longest prompt; a longer one is refused.' }),
  maxTokens: describeField(answerTokens.optional(), { description: 'Tokens of an answer whose caller sets no limit.' })
})

const template = z.strictObject({
  name: describeField(nameField, { description: 'Name that callers may give as the model.' }),
  request: describeField(requestShape, { description: 'What the requests look like.' }),
  parameters: describeField(z.array(parameter).max(64).default([]).superRefine(uniqueBy((entry) => entry.name, 'parameter')), { description: 'Parameters of the prompt.' }),
  prompt: describeField(z.string().max(MAX_PROMPT_CHARACTERS).optional().meta({ allowed: `a text of at most ${MAX_PROMPT_CHARACTERS} characters with {{name}} for each parameter, and {{input}} for the caller's prompt` }), { description: 'Text that the engine gets; without it the caller\'s own prompt.' }),
  urgency: describeField(urgency.optional(), { description: '0 is the most urgent.' }),
  model: describeField(nameField.optional(), { description: 'Model, for completion and chat.' }),
  version: describeField(nameField.optional(), { description: 'Version of the model; the current one unless given.' }),
  adapter: describeField(nameField.optional(), { description: 'Adapter of the model.' }),
  service: describeField(nameField.optional(), { description: 'Plain service, for the shape service.' }),
  methods: describeField(z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1).max(6).optional(), { description: 'Methods of the service calls that the template is for; all unless given.' }),
  pathPrefix: describeField(z.string().regex(/^\/[^\s?#]{0,200}$/).optional().meta({ allowed: 'a path that begins with "/", without query' }), { description: 'Beginning of the paths of the service calls that the template is for.' }),
  deadline: describeField(deadline.optional(), { description: 'Time limit of a request; a caller may set a shorter one.' }),
  limits: describeField(limits.prefault({}), { description: 'Limits of this template\'s requests.' }),
  warmCopies: describeField(warmCopies.optional(), { description: 'Engines that keep model and adapter loaded while idle, in each failure domain.' }),
  idempotent: describeField(z.boolean(), { description: 'Whether a request may run more than once. With false it is sent at most once.' })
})

type TemplateFile = z.output<typeof template>

const checkTemplate = (entry: TemplateFile, context: z.core.$RefinementCtx<TemplateFile>): void => {
  const report = (field: string, message: string, allowed: string): void => {
    context.addIssue({ code: 'custom', path: [field], message, params: { allowed } })
  }
  if (entry.request.shape === RequestShape.Service) {
    if (entry.service === undefined) report('service', 'is missing for the shape service', 'the name of a plain service')
    for (const field of ['model', 'version', 'adapter', 'prompt'] as const) {
      if (entry[field] !== undefined) report(field, 'is not for the shape service', 'nothing here')
    }
    return
  }
  if (entry.model === undefined) report('model', `is missing for the shape ${entry.request.shape}`, 'the name of a model of the fleet')
  for (const field of ['service', 'methods', 'pathPrefix'] as const) {
    if (entry[field] !== undefined) report(field, `is not for the shape ${entry.request.shape}`, 'nothing here')
  }
  for (const name of listPlaceholders(entry.prompt ?? '')) {
    if (name === INPUT_PLACEHOLDER || entry.parameters.some((candidate) => candidate.name === name)) continue
    report('prompt', `uses {{${name}}}, which is no parameter`, `{{${INPUT_PLACEHOLDER}}} and the parameters of the template`)
  }
}

/** One organisation's value. */
export const organisationSchema = z.strictObject({
  kind: describeField(z.literal(ConfigurationKind.Organisation), { description: 'Marks the file of an organisation.' }),
  name: describeField(nameField, { description: 'Name of the organisation.' }),
  keys: describeField(z.array(key).max(64).superRefine(uniqueBy((entry) => entry.name, 'key')), { description: 'API keys, as hashes. Several serve to change keys without a stop.' }),
  limits: describeField(limits.prefault({}), { description: 'Limits of all its requests together.' }),
  templates: describeField(z.array(template.superRefine(checkTemplate)).max(512).superRefine(uniqueBy((entry) => entry.name, 'template')), { description: 'Kinds of requests.' })
})

/** Name of the placeholder for the caller's own prompt. */
export const INPUT_PLACEHOLDER = 'input'

const PLACEHOLDER = /\{\{([A-Za-z0-9][A-Za-z0-9._-]*)\}\}/g

/**
 * Lists the placeholders of a prompt.
 *
 * @param prompt - a template's text
 * @returns the names, each once
 */
export const listPlaceholders = (prompt: string): string[] => [...new Set([...prompt.matchAll(PLACEHOLDER)].map((match) => match[1]!))]

/**
 * Replaces the placeholders of a prompt in one pass, so that a value's own braces stay as they are.
 *
 * @param prompt - a template's text
 * @param values - what stands for each name
 * @returns the text that the engine gets
 */
export const fillPlaceholders = (prompt: string, values: ReadonlyMap<string, string>): string =>
  prompt.replace(PLACEHOLDER, (placeholder, name: string) => values.get(name) ?? placeholder)

/**
 * Tells a value's type in the words of a parameter.
 *
 * @param value - a value from YAML or JSON
 * @returns its type, or null where parameters have no such type
 */
export const parameterTypeOf = (value: unknown): ParameterType | null => {
  switch (typeof value) {
    case 'string':
      return ParameterType.Text
    case 'number':
      return ParameterType.Number
    case 'boolean':
      return ParameterType.Boolean
    default:
      return null
  }
}

export type Fleet = z.output<typeof fleetSchema>
export type Organisation = z.output<typeof organisationSchema>
export type FleetModel = Fleet['models'][number]
export type Template = Organisation['templates'][number]
export type TemplateParameter = Template['parameters'][number]
export type RequestLimits = z.output<typeof limits>
