/** Attaches descriptions to schema fields and reads them back for error messages and the reference page. */
import { z } from 'zod'

import type { $ZodType } from 'zod/v4/core'

/** Description that is attached to the schema of a field. */
export interface FieldInfo {
  /** Phrase that describes the allowed values. */
  readonly allowed?: string
  /** Meaning of the field, for the reference page. */
  readonly description?: string
  /** Whether the value must not appear in messages. */
  readonly secret?: boolean
}

interface SchemaDefinition {
  readonly type: string
  readonly innerType?: $ZodType
  readonly in?: $ZodType
  readonly element?: $ZodType
  readonly valueType?: $ZodType
  readonly shape?: Record<string, $ZodType>
  readonly entries?: Record<string, string>
  readonly options?: readonly $ZodType[]
  readonly values?: readonly unknown[]
  readonly defaultValue?: unknown
}

/**
 * Returns the internal definition of a Zod schema.
 *
 * @param schema - any schema
 * @returns the definition, typed with the fields used here
 */
export const definitionOf = (schema: $ZodType): SchemaDefinition => schema._zod.def as unknown as SchemaDefinition

/**
 * Attaches a description to a schema without changing its checks.
 *
 * @param schema - schema of the field
 * @param info - description; its entries override those that the schema has already
 * @returns the schema with the description
 */
export const describeField = <Schema extends z.ZodType>(schema: Schema, info: FieldInfo): Schema =>
  schema.meta({ ...collectInfo(schema), ...info }) as Schema

const ownInfo = (schema: $ZodType): FieldInfo => (z.globalRegistry.get(schema) ?? {}) as FieldInfo

const innerSchemaOf = (schema: $ZodType): $ZodType | undefined => {
  const definition = definitionOf(schema)
  return definition.innerType ?? definition.in
}

/**
 * Merges the descriptions of a schema and of the schemas that it wraps; outer entries override inner ones.
 *
 * @param schema - schema of the field
 * @returns the merged description
 */
export const collectInfo = (schema: $ZodType): FieldInfo => {
  const inner = innerSchemaOf(schema)
  return { ...(inner === undefined ? {} : collectInfo(inner)), ...ownInfo(schema) }
}

/**
 * Removes the wrappers of a schema: defaults, optionality and transformations.
 *
 * @param schema - schema of the field
 * @returns schema of the value as it is written in the file
 */
export const unwrap = (schema: $ZodType): $ZodType => {
  const inner = innerSchemaOf(schema)
  return inner === undefined ? schema : unwrap(inner)
}

/**
 * Finds the schema of a field by its path.
 *
 * @param schema - schema of the whole file
 * @param path - keys and indices from the root to the field
 * @returns schema of the field; null if the schema has no such field
 */
export const findSchemaAt = (schema: $ZodType, path: readonly PropertyKey[]): $ZodType | null => {
  const [step, ...rest] = path
  if (step === undefined) return schema
  const { type, shape, element, valueType, options } = definitionOf(unwrap(schema))
  if (type === 'union') return options?.map((option) => findSchemaAt(option, path)).find((found) => found !== null) ?? null
  const next = shape !== undefined ? shape[String(step)] : element ?? valueType
  return next === undefined ? null : findSchemaAt(next, rest)
}

/**
 * Describes the allowed values of a field.
 *
 * @param schema - schema of the field
 * @returns phrase for error messages and the reference page
 */
export const describeAllowed = (schema: $ZodType): string => {
  const { allowed } = collectInfo(schema)
  if (allowed !== undefined) return allowed
  const inner = unwrap(schema)
  const definition = definitionOf(inner)
  switch (definition.type) {
    case 'enum':
      return `one of ${Object.values(definition.entries ?? {}).join(', ')}`
    case 'literal':
      return (definition.values ?? []).join(', ')
    case 'boolean':
      return 'true or false'
    case 'object':
      return `the fields ${Object.keys(definition.shape ?? {}).join(', ')}`
    case 'array':
      return `a list; each entry: ${definition.element === undefined ? 'any' : describeAllowed(definition.element)}`
    case 'record':
      return `names with values; each value: ${definition.valueType === undefined ? 'any' : describeAllowed(definition.valueType)}`
    case 'union':
      return (definition.options ?? []).map(describeAllowed).join(', or ')
    default:
      return `a ${definition.type}`
  }
}
