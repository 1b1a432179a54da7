/** Writes the operators' page about every field, from the schemas that check the files. */
import { allowedIn, definitionOf, infoOf, unwrap } from './schemaInfo.js'
import { fleetSchema, organisationSchema } from '../configuration/schema.js'
import { settingsSchema } from '../settings/schema.js'
import type { $ZodType } from 'zod/v4/core'

interface FieldRow {
  readonly field: string
  readonly allowed: string
  readonly fallback: string
  readonly description: string
}

const INTRODUCTION = `# Settings and configuration

This page is written by \`bluebellhill docs\` from the schema that checks the files; a test compares the two.
Check a file with \`bluebellhill check FILE\`. Times are written with a unit (\`250ms\`, \`30s\`, \`5m\`, \`2h\`, \`1d\`),
sizes as \`512KiB\` or \`16MiB\`. A field that is not listed here is refused. \`[]\` stands for an entry of a list.
`

/**
 * Writes the page.
 *
 * @returns Markdown
 */
export const configurationDocument = (): string => [
  INTRODUCTION,
  sectionOf('Settings of a node', 'One file for each `bluebellhilld`, given with `--settings FILE`. A change takes a restart.', settingsSchema),
  sectionOf('Configuration of the fleet', 'One file for all nodes, put in force with `bluebellhill apply FILE`.', fleetSchema),
  sectionOf('Configuration of an organisation', 'One file for each organisation, put in force with `bluebellhill apply FILE`.', organisationSchema)
].join('\n')

const sectionOf = (title: string, text: string, schema: $ZodType): string => {
  const rows = rowsOf(schema, '').map(({ field, allowed, fallback, description }) => `| \`${field}\` | ${allowed} | ${fallback} | ${description} |`)
  return `## ${title}\n\n${text}\n\n| Field | Allowed | Default | Meaning |\n|---|---|---|---|\n${rows.join('\n')}\n`
}

const rowsOf = (schema: $ZodType, path: string): FieldRow[] => {
  const { shape, element } = definitionOf(unwrap(schema))
  if (shape !== undefined) return Object.entries(shape).flatMap(([key, field]) => fieldRows(field, path === '' ? key : `${path}.${key}`))
  return element === undefined ? [] : rowsOf(element, `${path}[]`)
}

const fieldRows = (schema: $ZodType, field: string): FieldRow[] => {
  const inner = rowsOf(schema, field)
  const { description = '' } = infoOf(schema)
  const allowed = inner.length === 0 ? allowedIn(schema) : groupOf(schema)
  return [{ field, allowed: cell(allowed), fallback: cell(fallbackOf(schema)), description: cell(description) }, ...inner]
}

const groupOf = (schema: $ZodType): string => definitionOf(unwrap(schema)).type === 'array' ? 'a list' : 'a group of fields'

const fallbackOf = (schema: $ZodType): string => {
  const { type, defaultValue, innerType } = definitionOf(schema)
  if (type === 'optional') return 'none'
  if (type === 'default' || type === 'prefault') return shownDefault(defaultValue)
  return innerType === undefined ? 'required' : fallbackOf(innerType)
}

const shownDefault = (value: unknown): string => {
  if (Array.isArray(value)) return value.length === 0 ? 'empty' : JSON.stringify(value)
  return typeof value === 'object' && value !== null ? 'as below' : `\`${String(value)}\``
}

const cell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ')
