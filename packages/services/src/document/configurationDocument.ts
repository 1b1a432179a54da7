/** Writes the operators' page about every field, from the schemas that check the files. */
import { describeAllowed, definitionOf, collectInfo, unwrap } from './schemaInfo.js'
import { fleetSchema, organisationSchema } from '../configuration/schema.js'
import { settingsSchema } from '../settings/schema.js'
import type { $ZodType } from 'zod/v4/core'

interface FieldRow {
  readonly field: string
  readonly allowed: string
  readonly defaultText: string
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
  writeSection('Settings of a node', 'One file for each `bluebellhilld`, given with `--settings FILE`. A change takes a restart.', settingsSchema),
  writeSection('Configuration of the fleet', 'One file for all nodes, put in force with `bluebellhill apply FILE`.', fleetSchema),
  writeSection('Configuration of an organisation', 'One file for each organisation, put in force with `bluebellhill apply FILE`.', organisationSchema)
].join('\n')

const writeSection = (title: string, text: string, schema: $ZodType): string => {
  const rows = collectRows(schema, '').map(({ field, allowed, defaultText: fallback, description }) => `| \`${field}\` | ${allowed} | ${fallback} | ${description} |`)
  return `## ${title}\n\n${text}\n\n| Field | Allowed | Default | Meaning |\n|---|---|---|---|\n${rows.join('\n')}\n`
}

const collectRows = (schema: $ZodType, path: string): FieldRow[] => {
  const { shape, element } = definitionOf(unwrap(schema))
  if (shape !== undefined) return Object.entries(shape).flatMap(([key, field]) => fieldRows(field, path === '' ? key : `${path}.${key}`))
  return element === undefined ? [] : collectRows(element, `${path}[]`)
}

const fieldRows = (schema: $ZodType, field: string): FieldRow[] => {
  const inner = collectRows(schema, field)
  const { description = '' } = collectInfo(schema)
  const allowed = inner.length === 0 ? describeAllowed(schema) : describeGroup(schema)
  return [{ field, allowed: escapeCell(allowed), defaultText: escapeCell(describeDefault(schema)), description: escapeCell(description) }, ...inner]
}

const describeGroup = (schema: $ZodType): string => definitionOf(unwrap(schema)).type === 'array' ? 'a list' : 'a group of fields'

const describeDefault = (schema: $ZodType): string => {
  const { type, defaultValue, innerType } = definitionOf(schema)
  if (type === 'optional') return 'none'
  if (type === 'default' || type === 'prefault') return formatDefault(defaultValue)
  return innerType === undefined ? 'required' : describeDefault(innerType)
}

const formatDefault = (value: unknown): string => {
  if (Array.isArray(value)) return value.length === 0 ? 'empty' : JSON.stringify(value)
  return typeof value === 'object' && value !== null ? 'as below' : `\`${String(value)}\``
}

const escapeCell = (text: string): string => text.replaceAll('|', '\\|').replaceAll('\n', ' ')
