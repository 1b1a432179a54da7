/** Reads back from a schema what an operator has to know of a field. */
import { z } from 'zod'

import type { $ZodType } from 'zod/v4/core'

/** What a field's schema carries besides its checks. */
export interface FieldInfo {
  /** What the field may hold, in words. */
  readonly allowed?: string
  /** What the field is for. */
  readonly description?: string
  /** The value is never shown. */
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
 * Gives the definition behind a schema.
 *
 * @param schema - any schema
 * @returns its definition
 */
export const definitionOf = (schema: $ZodType): SchemaDefinition => schema._zod.def as unknown as SchemaDefinition

/**
 * Describes a schema without changing its checks.
 *
 * @param schema - the field's schema
 * @param info - what to add to what it carries already
 * @returns the described schema
 */
export const describeField = <Schema extends z.ZodType>(schema: Schema, info: FieldInfo): Schema =>
  schema.meta({ ...collectInfo(schema), ...info }) as Schema

const ownInfo = (schema: $ZodType): FieldInfo => (z.globalRegistry.get(schema) ?? {}) as FieldInfo

const innerSchemaOf = (schema: $ZodType): $ZodType | undefined => {
  const definition = definitionOf(schema)
  return definition.innerType ?? definition.in
}

/**
 * Gathers what a schema and the schemas that it wraps carry; the outer goes first.
 *
 * @param schema - the field's schema
 * @returns the gathered description
 */
export const collectInfo = (schema: $ZodType): FieldInfo => {
  const inner = innerSchemaOf(schema)
  return { ...(inner === undefined ? {} : collectInfo(inner)), ...ownInfo(schema) }
}

/**
 * Removes defaults, optionality and transformations.
 *
 * @param schema - the field's schema
 * @returns the schema of what is written in the file
 */
export const unwrap = (schema: $ZodType): $ZodType => {
  const inner = innerSchemaOf(schema)
  return inner === undefined ? schema : unwrap(inner)
}

/**
 * Finds the schema of a field.
 *
 * @param schema - the schema of the whole file
 * @param path - keys and indices that lead to the field
 * @returns the field's schema, or null where the path leads outside
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
 * Says what a field may hold.
 *
 * @param schema - the field's schema
 * @returns a phrase for the operator
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
