/** Reads and validates settings and configuration files. */
import { readFile } from 'node:fs/promises'

import { checkReferences, ConfigurationKind, findFieldLine, loadSettings, parseConfiguration } from '@bluebellhill/services'
import type { ConfigurationFile, DocumentProblem, Fleet, Organisation } from '@bluebellhill/services'

import { ActionError, ExitCode } from '../terminal/index.js'
import { checkPlatformSettings } from './platformSettings.js'

/** Result of checking a file: node settings, fleet or organisation configuration, or an invalid file. */
export type CheckedFile =
  | { readonly type: 'settings', readonly file: string }
  | { readonly type: 'configuration', readonly file: string, readonly text: string, readonly value: ConfigurationFile }
  | { readonly type: 'wrong', readonly file: string, readonly problems: readonly DocumentProblem[] }

/** Extension of the settings files of the users' platform; settings of other nodes are written in YAML. */
const PLATFORM_SETTINGS_EXTENSION = '.toml'

/** Matches a top-level field that only node settings have. */
const SETTINGS_FIELD = /^["']?(listen|secrets|failureDomain)["']?\s*:/m
/** Matches the top-level field `kind`, which only configuration files have. */
const KIND_FIELD = /^["']?kind["']?\s*:/m

/**
 * Reads a text file.
 *
 * @param file - path of the file
 * @returns its text
 * @throws ActionError if the file cannot be read
 */
export const readText = async (file: string): Promise<string> => {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new ActionError(ExitCode.Failed, `${file} cannot be read: ${(error as Error).message}`, 'give the path of a YAML file that you may read')
  }
}

/**
 * Reads a file, determines its type and validates it.
 *
 * @param file - path of the file
 * @returns the type of the file, or the problems found
 * @throws ActionError if the file cannot be read
 */
export const checkFile = async (file: string): Promise<CheckedFile> => {
  const text = await readText(file)
  if (file.endsWith(PLATFORM_SETTINGS_EXTENSION)) {
    const problems = checkPlatformSettings(text, file)
    return problems.length === 0 ? { type: 'settings', file } : { type: 'wrong', file, problems }
  }
  if (SETTINGS_FIELD.test(text) && !KIND_FIELD.test(text)) {
    const settings = loadSettings(text, file)
    return settings.ok ? { type: 'settings', file } : { type: 'wrong', file, problems: settings.failure }
  }
  const configuration = parseConfiguration(text, file)
  return configuration.ok ? { type: 'configuration', file, text, value: configuration.value } : { type: 'wrong', file, problems: configuration.failure }
}

type ConfigurationCheck = Extract<CheckedFile, { type: 'configuration' }>

/**
 * Checks that the names which organisations refer to are defined in the fleet's file. Checks nothing without a fleet's file.
 *
 * @param files - files that were checked one by one
 * @returns problems, with their lines in the organisations' files
 */
export const checkFileReferences = (files: readonly CheckedFile[]): DocumentProblem[] => {
  const configurations = files.filter((file): file is ConfigurationCheck => file.type === 'configuration')
  const fleet = configurations.find(({ value }) => value.kind === ConfigurationKind.Fleet)?.value as Fleet | undefined
  const organisations = configurations.filter(({ value }) => value.kind === ConfigurationKind.Organisation)
  if (fleet === undefined) return []
  return checkReferences(fleet, organisations.map(({ value }) => value as Organisation)).map(({ organisation, field, message, allowed }) => {
    const origin = organisations.find(({ value }) => (value as Organisation).name === organisation)!
    return { file: origin.file, line: findFieldLine(origin.text, field), field, message, allowed }
  })
}
