/** Decodes a YAML file by a schema, and tells an operator where it is wrong. */
import { isMap, isNode, LineCounter, parseDocument } from 'yaml'
import type { Document } from 'yaml'

import { allowedIn, infoOf, schemaAt } from './schemaInfo.js'
import { failed, success } from '../result.js'
import type { DocumentProblem } from './types.js'
import type { Result } from '../result.js'
import type { z } from 'zod'

/** Bytes of a file at most: a value of the key-value service holds no more. */
export const MAX_DOCUMENT_BYTES = 1_000_000

/** Problems that are reported of one file. */
const MAX_PROBLEMS = 50

const MAX_SHOWN_VALUE = 60

type Path = readonly PropertyKey[]

/** YAML with the places of its fields. */
export interface Parsed {
  readonly document: Document.Parsed
  readonly lines: LineCounter
}

/** A file that is valid YAML, before its content is checked. */
export interface YamlFile {
  readonly file: string
  readonly value: unknown
  readonly parsed: Parsed
}

/**
 * Reads YAML.
 *
 * @param text - the file's text
 * @param file - the file's name, for problems
 * @returns the content with its lines, or why it is no YAML
 */
export const readYaml = (text: string, file: string): Result<YamlFile, readonly DocumentProblem[]> => {
  if (Buffer.byteLength(text) > MAX_DOCUMENT_BYTES) {
    return failed([{ file, line: 1, field: '', message: 'is too large', allowed: `at most ${MAX_DOCUMENT_BYTES} bytes` }])
  }
  const parsed = parse(text)
  if (typeof parsed === 'string') return failed([notYaml(file, 1, parsed)])
  const { document, lines } = parsed
  if (document.errors.length > 0) {
    return failed(document.errors.slice(0, MAX_PROBLEMS).map((error) => notYaml(file, lines.linePos(error.pos[0]).line, error.message)))
  }
  const value = toValue(document)
  return value.ok ? success({ file, value: value.value, parsed }) : failed([notYaml(file, 1, value.failure)])
}

/**
 * Checks a file's content.
 *
 * @param yaml - the file
 * @param schema - what it has to hold
 * @returns the checked value, or every problem in the order of lines
 */
export const checkYaml = <Value>({ file, value, parsed }: YamlFile, schema: z.ZodType<Value>): Result<Value, readonly DocumentProblem[]> => {
  const checked = schema.safeParse(value)
  if (checked.success) return success(checked.data)
  const problems = checked.error.issues.flatMap((issue) => problemsOf(issue, parsed, file, schema, value))
  return failed(problems.sort((left, right) => left.line - right.line).slice(0, MAX_PROBLEMS))
}

/**
 * Reads and checks a file.
 *
 * @param text - the file's text
 * @param file - the file's name, for problems
 * @param schema - what it has to hold
 * @returns the checked value, or every problem in the order of lines
 */
export const decodeDocument = <Value>(text: string, file: string, schema: z.ZodType<Value>): Result<Value, readonly DocumentProblem[]> => {
  const yaml = readYaml(text, file)
  return yaml.ok ? checkYaml(yaml.value, schema) : yaml
}

const notYaml = (file: string, line: number, reason: string): DocumentProblem =>
  ({ file, line, field: '', message: `is not valid YAML: ${reason.split('\n')[0]}`, allowed: 'one YAML document' })

const parse = (text: string): Parsed | string => {
  const lines = new LineCounter()
  try {
    return { document: parseDocument(text, { lineCounter: lines, prettyErrors: false, uniqueKeys: true, logLevel: 'error' }), lines }
  } catch (error) {
    return reasonOf(error)
  }
}

const toValue = (document: Document.Parsed): Result<unknown, string> => {
  try {
    return success(document.toJS())
  } catch (error) {
    return failed(reasonOf(error))
  }
}

const reasonOf = (error: unknown): string => error instanceof Error ? error.message : String(error)

type Issue = z.core.$ZodIssue

const problemsOf = (issue: Issue, parsed: Parsed, file: string, schema: z.ZodType, value: unknown): DocumentProblem[] => {
  const { path } = issue
  if (issue.code === 'unrecognized_keys') {
    const parent = schemaAt(schema, path)
    return issue.keys.map((key) => ({
      file,
      line: lineOf(parsed, [...path, key]),
      field: fieldName([...path, key]),
      message: 'is not known',
      allowed: parent === null ? 'no such field' : allowedIn(parent)
    }))
  }
  return [{ file, line: lineOf(parsed, path), field: fieldName(path), message: messageOf(issue, schema, value), allowed: allowedAt(issue, schema) }]
}

const allowedAt = (issue: Issue, schema: z.ZodType): string => {
  const custom = issue.code === 'custom' ? issue.params?.allowed : undefined
  if (typeof custom === 'string') return custom
  const found = schemaAt(schema, issue.path)
  return found === null ? issue.message : allowedIn(found)
}

const messageOf = (issue: Issue, schema: z.ZodType, value: unknown): string => {
  if (issue.code === 'custom' && issue.params?.allowed !== undefined) return issue.message
  const given = valueAt(value, issue.path)
  if (given === undefined) return 'is missing'
  const found = schemaAt(schema, issue.path)
  if (found !== null && infoOf(found).secret === true) return 'is not as it has to be'
  return `must not be ${shown(given)}`
}

const shown = (value: unknown): string => {
  if (Array.isArray(value)) return value.length === 0 ? 'an empty list' : 'a list'
  if (typeof value === 'object' && value !== null) return 'a group of fields'
  const text = JSON.stringify(value) ?? String(value)
  return text.length > MAX_SHOWN_VALUE ? `${text.slice(0, MAX_SHOWN_VALUE)}…` : text
}

const valueAt = (value: unknown, path: Path): unknown =>
  path.reduce<unknown>((current, step) => {
    if (typeof current !== 'object' || current === null || !Object.hasOwn(current, step)) return undefined
    return (current as Record<PropertyKey, unknown>)[step]
  }, value)

/**
 * Finds the line of a field.
 *
 * @param text - YAML that was decoded before
 * @param field - the field's path, such as `templates[2].model`
 * @returns the line, counted from 1
 */
export const lineOfField = (text: string, field: string): number => {
  const parsed = parse(text)
  const path = [...field.matchAll(/([^.[\]]+)|\[(\d+)\]/g)].map(([, key, index]) => key ?? Number(index))
  return typeof parsed === 'string' ? 1 : lineOf(parsed, path)
}

/** The line of a field, or of the nearest group around it that is in the file. */
const lineOf = ({ document, lines }: Parsed, path: Path): number => {
  for (let length = path.length; length > 0; length -= 1) {
    const offset = offsetOf(document, path.slice(0, length))
    if (offset !== null) return lines.linePos(offset).line
  }
  const start = isNode(document.contents) ? document.contents.range?.[0] : 0
  return lines.linePos(start ?? 0).line || 1
}

const offsetOf = (document: Document.Parsed, path: Path): number | null => {
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

const fieldName = (path: Path): string => path
  .map((step, index) => typeof step === 'number' ? `[${step}]` : `${index === 0 ? '' : '.'}${String(step)}`)
  .join('')
