/** Schema of the operators' configuration files: one file for the fleet and one for each organisation. */
import { z } from 'zod'

import { countField, durationField, nameField, numberField, uniqueBy } from '../document/fields.js'
import { describeField } from '../document/schemaInfo.js'

/** Kind of a configuration file, from its field `kind`. */
export const ConfigurationKind = {
  Fleet: 'fleet',
  Organisation: 'organisation'
} as const
export type ConfigurationKind = typeof ConfigurationKind[keyof typeof ConfigurationKind]

/** Kind of request that a template is for. */
export const RequestShape = {
  Completion: 'completion',
  Chat: 'chat',
  Service: 'service'
} as const
export type RequestShape = typeof RequestShape[keyof typeof RequestShape]

/** Type of the values of a template parameter. */
export const ParameterType = {
  Text: 'text',
  Number: 'number',
  Boolean: 'boolean'
} as const
export type ParameterType = typeof ParameterType[keyof typeof ParameterType]

/** Maximum size of prompt and answer together, in tokens. */
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
  requestsAtOnce: describeField(countField(1, MAX_CONCURRENT_REQUESTS).optional(), { description: 'Maximum number of requests in progress, over all nodes.' }),
  tokensPerSecond: describeField(numberField(1, MAX_TOKENS_PER_SECOND).optional(), { description: 'Maximum tokens of prompts and answers per second, over all nodes.' })
})

const modelVersion = z.strictObject({
  name: describeField(nameField, { description: 'Name of the version in the weight store.' })
})

const model = z.strictObject({
  name: describeField(nameField, { description: 'Name of the model.' }),
  versions: describeField(z.array(modelVersion).min(1).max(32).superRefine(uniqueBy((entry) => entry.name, 'version')), { description: 'Versions that engines may load.' }),
  current: describeField(nameField, { description: 'Version for requests whose template sets none.' }),
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
  maxTokens: describeField(answerTokens.default(1_024), { description: 'Maximum tokens of an answer if neither the caller nor the template sets a limit.' }),
  warmCopies: describeField(warmCopies.default(0), { description: 'Warm copies of a model that sets no number.' })
})

/** Schema of the fleet's file. */
export const fleetSchema = z.strictObject({
  kind: describeField(z.literal(ConfigurationKind.Fleet), { description: 'Marks the file of the fleet.' }),
  models: describeField(z.array(model).max(64).default([]).superRefine(uniqueBy((entry) => entry.name, 'model')), { description: 'Models that the engines serve.' }),
  services: describeField(z.array(service).max(256).default([]).superRefine(uniqueBy((entry) => entry.name, 'service')), { description: 'Plain services.' }),
  defaults: describeField(defaults.prefault({}), { description: 'Values for fields that a template does not set.' })
})

const key = z.strictObject({
  name: describeField(nameField, { description: 'Name of the key in logs.' }),
  sha256: describeField(z.string().regex(SHA256).meta({ allowed: '64 hexadecimal digits in small letters, from "bluebellhill hash"', secret: true }), { description: 'SHA-256 of the API key.' })
})

const parameter = z.strictObject({
  name: describeField(nameField, { description: 'Name, used as {{name}} in the prompt.' }),
  type: describeField(z.enum(ParameterType).default(ParameterType.Text), { description: 'Type of the value.' }),
  default: describeField(z.union([z.string().max(MAX_PROMPT_CHARACTERS), z.number(), z.boolean()]).optional().meta({ allowed: 'a value of the parameter\'s type' }), { description: 'Value if the caller gives none; without a default the caller has to give one.' })
}).superRefine((entry, context) => {
  if (entry.default === undefined || parameterTypeOf(entry.default) === entry.type) return
  context.addIssue({ code: 'custom', path: ['default'], message: 'is of another type than the parameter', params: { allowed: `a value of the type ${entry.type}` } })
})

const requestShape = z.strictObject({
  shape: describeField(z.enum(RequestShape), { description: 'Kind of the requests.' }),
  typicalPromptTokens: describeField(countField(1, MAX_TOKENS).optional(), { description: 'Typical prompt length, which placement uses before there is traffic.' }),
  maxPromptTokens: describeField(countField(1, MAX_TOKENS).optional(), { description: 'Longest prompt; a longer one is refused.' }),
  maxTokens: describeField(answerTokens.optional(), { description: 'Maximum tokens of an answer if the caller sets no limit.' })
})

const template = z.strictObject({
  name: describeField(nameField, { description: 'Name that callers may give as the model.' }),
  request: describeField(requestShape, { description: 'Kind and size of the requests.' }),
  parameters: describeField(z.array(parameter).max(64).default([]).superRefine(uniqueBy((entry) => entry.name, 'parameter')), { description: 'Parameters of the prompt.' }),
  prompt: describeField(z.string().max(MAX_PROMPT_CHARACTERS).optional().meta({ allowed: `a text of at most ${MAX_PROMPT_CHARACTERS} characters with {{name}} for each parameter, and {{input}} for the caller's prompt` }), { description: 'Prompt that is sent to the engine; without it, the caller\'s own prompt is sent.' }),
  urgency: describeField(urgency.optional(), { description: '0 is the most urgent.' }),
  model: describeField(nameField.optional(), { description: 'Model, for completion and chat.' }),
  version: describeField(nameField.optional(), { description: 'Version of the model; the current version if not set.' }),
  adapter: describeField(nameField.optional(), { description: 'Adapter of the model.' }),
  service: describeField(nameField.optional(), { description: 'Plain service, for the shape service.' }),
  methods: describeField(z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1).max(6).optional(), { description: 'HTTP methods of the service calls that the template is for; all methods if not set.' }),
  pathPrefix: describeField(z.string().regex(/^\/[^\s?#]{0,200}$/).optional().meta({ allowed: 'a path that begins with "/", without query' }), { description: 'Path prefix of the service calls that the template is for.' }),
  deadline: describeField(deadline.optional(), { description: 'Time limit of a request; a caller may set a shorter one.' }),
  limits: describeField(limits.prefault({}), { description: 'Limits for the requests of this template.' }),
  warmCopies: describeField(warmCopies.optional(), { description: 'Engines that keep model and adapter loaded while idle, in each failure domain.' }),
  idempotent: describeField(z.boolean(), { description: 'Whether a request may run more than once. If false, it is sent at most once.' })
})

type TemplateFile = z.output<typeof template>

const checkTemplate = (entry: TemplateFile, context: z.core.$RefinementCtx<TemplateFile>): void => {
  const report = (field: string, message: string, allowed: string): void => {
    context.addIssue({ code: 'custom', path: [field], message, params: { allowed } })
  }
  if (entry.request.shape === RequestShape.Service) {
    if (entry.service === undefined) report('service', 'is missing for the shape service', 'the name of a plain service')
    for (const field of ['model', 'version', 'adapter', 'prompt'] as const) {
      if (entry[field] !== undefined) report(field, 'is not allowed for the shape service', 'no value')
    }
    return
  }
  if (entry.model === undefined) report('model', `is missing for the shape ${entry.request.shape}`, 'the name of a model of the fleet')
  for (const field of ['service', 'methods', 'pathPrefix'] as const) {
    if (entry[field] !== undefined) report(field, `is not allowed for the shape ${entry.request.shape}`, 'no value')
  }
  for (const name of listPlaceholders(entry.prompt ?? '')) {
    if (name === INPUT_PLACEHOLDER || entry.parameters.some((candidate) => candidate.name === name)) continue
    report('prompt', `uses {{${name}}}, which is not a parameter of the template`, `{{${INPUT_PLACEHOLDER}}} and the parameters of the template`)
  }
}

/** Schema of an organisation's file. */
export const organisationSchema = z.strictObject({
  kind: describeField(z.literal(ConfigurationKind.Organisation), { description: 'Marks the file of an organisation.' }),
  name: describeField(nameField, { description: 'Name of the organisation.' }),
  keys: describeField(z.array(key).max(64).superRefine(uniqueBy((entry) => entry.name, 'key')), { description: 'API keys, as hashes. With several keys, one can be replaced without an interruption.' }),
  limits: describeField(limits.prefault({}), { description: 'Limits for all requests of the organisation together.' }),
  templates: describeField(z.array(template.superRefine(checkTemplate)).max(512).superRefine(uniqueBy((entry) => entry.name, 'template')), { description: 'Templates for the organisation\'s requests.' })
})

/** Name of the placeholder that the caller's own prompt replaces. */
export const INPUT_PLACEHOLDER = 'input'

const PLACEHOLDER = /\{\{([A-Za-z0-9][A-Za-z0-9._-]*)\}\}/g

/**
 * Lists the names of the placeholders in a prompt.
 *
 * @param prompt - prompt of a template
 * @returns the names without duplicates
 */
export const listPlaceholders = (prompt: string): string[] => [...new Set([...prompt.matchAll(PLACEHOLDER)].map((match) => match[1]!))]

/**
 * Replaces the placeholders of a prompt in one pass, so that placeholders inside a value are not replaced.
 *
 * @param prompt - prompt of a template
 * @param values - replacements by placeholder name
 * @returns the prompt; placeholders without a replacement stay
 */
export const fillPlaceholders = (prompt: string, values: ReadonlyMap<string, string>): string =>
  prompt.replace(PLACEHOLDER, (placeholder, name: string) => values.get(name) ?? placeholder)

/**
 * Returns the parameter type that a value has.
 *
 * @param value - parsed YAML or JSON value
 * @returns the type; null if parameters cannot have such a value
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
