/** Parses and validates YAML files by a schema, and reports problems with line and field. */
import { isMap, isNode, LineCounter, parseDocument } from 'yaml'
import type { Document } from 'yaml'

import { describeAllowed, collectInfo, findSchemaAt } from './schemaInfo.js'
import { failed, success } from '../result.js'
import type { DocumentProblem } from './DocumentProblem.js'
import type { Result } from '../result.js'
import type { z } from 'zod'

/** Maximum size of a file in bytes: a larger one does not fit into a value of the key-value service. */
export const MAX_DOCUMENT_BYTES = 1_000_000

/** Maximum number of problems that are reported for one file. */
const MAX_PROBLEMS = 50

const MAX_SHOWN_CHARACTERS = 60

type Path = readonly PropertyKey[]

/** Parsed YAML with the positions of its fields. */
export interface ParsedYaml {
  readonly document: Document.Parsed
  readonly lines: LineCounter
}

/** A file that is valid YAML, before its content is validated by a schema. */
export interface YamlFile {
  readonly file: string
  readonly value: unknown
  readonly parsed: ParsedYaml
}

/**
 * Parses a YAML file without validating its content.
 *
 * @param text - content of the file
 * @param file - file name that problems are reported with
 * @returns the parsed content with line positions, or the syntax errors
 */
export const parseYaml = (text: string, file: string): Result<YamlFile, readonly DocumentProblem[]> => {
  if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
    return failed([{ file, line: 1, field: '', message: 'is too large', allowed: `at most ${MAX_DOCUMENT_BYTES} bytes` }])
  }
  const parsed = parseWithLines(text)
  if (typeof parsed === 'string') return failed([invalidYamlProblem(file, 1, parsed)])
  const { document, lines } = parsed
  if (document.errors.length > 0) {
    return failed(document.errors.slice(0, MAX_PROBLEMS).map((error) => invalidYamlProblem(file, lines.linePos(error.pos[0]).line, error.message)))
  }
  const value = convertToValue(document)
  return value.ok ? success({ file, value: value.value, parsed }) : failed([invalidYamlProblem(file, 1, value.failure)])
}

/**
 * Validates the content of a YAML file by a schema.
 *
 * @param yaml - parsed file
 * @param schema - schema of the content
 * @returns the output of the schema, or the problems sorted by line, at most {@link MAX_PROBLEMS}
 */
export const checkYaml = <Value>({ file, value, parsed }: YamlFile, schema: z.ZodType<Value>): Result<Value, readonly DocumentProblem[]> => {
  const checked = schema.safeParse(value)
  if (checked.success) return success(checked.data)
  const problems = checked.error.issues.flatMap((issue) => issueToProblems(issue, parsed, file, schema, value))
  return failed(problems.sort((left, right) => left.line - right.line).slice(0, MAX_PROBLEMS))
}

/**
 * Parses a YAML file and validates its content.
 *
 * @param text - content of the file
 * @param file - file name that problems are reported with
 * @param schema - schema of the content
 * @returns the output of the schema, or the problems sorted by line
 */
export const decodeDocument = <Value>(text: string, file: string, schema: z.ZodType<Value>): Result<Value, readonly DocumentProblem[]> => {
  const yaml = parseYaml(text, file)
  return yaml.ok ? checkYaml(yaml.value, schema) : yaml
}

const invalidYamlProblem = (file: string, line: number, reason: string): DocumentProblem =>
  ({ file, line, field: '', message: `is not valid YAML: ${reason.split('\n')[0]}`, allowed: 'one YAML document' })

const parseWithLines = (text: string): ParsedYaml | string => {
  const lines = new LineCounter()
  try {
    return { document: parseDocument(text, { lineCounter: lines, prettyErrors: false, uniqueKeys: true, logLevel: 'error' }), lines }
  } catch (error) {
    return errorMessage(error)
  }
}

const convertToValue = (document: Document.Parsed): Result<unknown, string> => {
  try {
    return success(document.toJS())
  } catch (error) {
    return failed(errorMessage(error))
  }
}

const errorMessage = (error: unknown): string => error instanceof Error ? error.message : String(error)

type Issue = z.core.$ZodIssue

const issueToProblems = (issue: Issue, parsed: ParsedYaml, file: string, schema: z.ZodType, value: unknown): DocumentProblem[] => {
  const { path } = issue
  if (issue.code === 'unrecognized_keys') {
    const parent = findSchemaAt(schema, path)
    return issue.keys.map((key) => ({
      file,
      line: findLine(parsed, [...path, key]),
      field: formatPath([...path, key]),
      message: 'is not a known field',
      allowed: parent === null ? 'no such field' : describeAllowed(parent)
    }))
  }
  return [{ file, line: findLine(parsed, path), field: formatPath(path), message: messageForIssue(issue, schema, value), allowed: allowedForIssue(issue, schema) }]
}

const allowedForIssue = (issue: Issue, schema: z.ZodType): string => {
  const custom = issue.code === 'custom' ? issue.params?.allowed : undefined
  if (typeof custom === 'string') return custom
  const found = findSchemaAt(schema, issue.path)
  return found === null ? issue.message : describeAllowed(found)
}

const messageForIssue = (issue: Issue, schema: z.ZodType, value: unknown): string => {
  if (issue.code === 'custom' && issue.params?.allowed !== undefined) return issue.message
  const given = valueAt(value, issue.path)
  if (given === undefined) return 'is missing'
  const found = findSchemaAt(schema, issue.path)
  if (found !== null && collectInfo(found).secret === true) return 'is not as it has to be'
  return `must not be ${formatValue(given)}`
}

const formatValue = (value: unknown): string => {
  if (Array.isArray(value)) return value.length === 0 ? 'an empty list' : 'a list'
  if (typeof value === 'object' && value !== null) return 'a group of fields'
  const text = JSON.stringify(value) ?? String(value)
  return text.length > MAX_SHOWN_CHARACTERS ? `${text.slice(0, MAX_SHOWN_CHARACTERS)}…` : text
}

const valueAt = (value: unknown, path: Path): unknown =>
  path.reduce<unknown>((current, step) => {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, step)) return undefined
    return (current as Record<PropertyKey, unknown>)[step]
  }, value)

/**
 * Finds the line of a field in a YAML file.
 *
 * @param text - content of a valid YAML file
 * @param field - path of the field, such as `templates[2].model`
 * @returns line number, counted from 1; the line of the nearest enclosing group if the file does not contain the field
 */
export const findFieldLine = (text: string, field: string): number => {
  const parsed = parseWithLines(text)
  const path = [...field.matchAll(/([^.[\]]+)|\[(\d+)\]/g)].map(([, key, index]) => key ?? Number(index))
  return typeof parsed === 'string' ? 1 : findLine(parsed, path)
}

/** Finds the line of a field; if the file does not contain the field, the line of its nearest enclosing group. */
const findLine = ({ document, lines }: ParsedYaml, path: Path): number => {
  for (let length = path.length; length > 0; length -= 1) {
    const offset = findOffset(document, path.slice(0, length))
    if (offset !== null) return lines.linePos(offset).line
  }
  const start = isNode(document.contents) ? document.contents.range?.[0] : 0
  return lines.linePos(start ?? 0).line || 1
}

const findOffset = (document: Document.Parsed, path: Path): number | null => {
  const parent = path.length === 1 ? document.contents : document.getIn(path.slice(0, -1), true)
  const step = path.at(-1)
  if (isMap(parent)) {
    const pair = parent.items.find(({ key }) => isNode(key) && String((key as { value?: unknown }).value) === String(step))
    if (pair !== undefined && isNode(pair.key)) return pair.key.range?.[0] ?? null
    return null
  }
  const node = document.getIn(path, true)
  return isNode(node) ? node.range?.[0] ?? null : null
}

const formatPath = (path: Path): string => path
  .map((step, index) => typeof step === 'number' ? `[${step}]` : `${index === 0 ? '' : '.'}${String(step)}`)
  .join('')
