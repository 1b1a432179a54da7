/** Reading and checking files that operators wrote. */
import { readFile } from 'node:fs/promises'

import { checkReferences, ConfigurationKind, findFieldLine, loadSettings, parseConfiguration } from '@bluebellhill/services'
import type { ConfigurationFile, DocumentProblem, Fleet, Organisation } from '@bluebellhill/services'

import { ActionError, ExitCode } from '../terminal/index.js'
import { checkPlatformSettings } from './platformSettings.js'

/** What a file turned out to be. */
export type CheckedFile =
  | { readonly type: 'settings', readonly file: string }
  | { readonly type: 'configuration', readonly file: string, readonly text: string, readonly value: ConfigurationFile }
  | { readonly type: 'wrong', readonly file: string, readonly problems: readonly DocumentProblem[] }

/** The users' platform writes its settings in TOML. */
const PLATFORM_SETTINGS_EXTENSION = '.toml'

/** Settings name listen addresses; configuration begins with its kind. */
const SETTINGS_FIELD = /^["']?(listen|secrets|failureDomain)["']?\s*:/m
const KIND_FIELD = /^["']?kind["']?\s*:/m

/**
 * Reads a file.
 *
 * @param file - its path
 * @returns its text
 * @throws ActionError where it cannot be read
 */
export const readText = async (file: string): Promise<string> => {
  try {
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new ActionError(ExitCode.Failed, `${file} cannot be read: ${(error as Error).message}`, 'give the path of a YAML file that you may read')
  }
}

/**
 * Reads and checks a file of any kind.
 *
 * @param file - its path
 * @returns what it is, or what is wrong with it
 * @throws ActionError where it cannot be read
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
 * Checks what files say about each other, where a file of the fleet is among them.
 *
 * @param files - checked files
 * @returns problems with the lines of the organisations' files
 */
export const checkTogether = (files: readonly CheckedFile[]): DocumentProblem[] => {
  const configurations = files.filter((file): file is ConfigurationCheck => file.type === 'configuration')
  const fleet = configurations.find(({ value }) => value.kind === ConfigurationKind.Fleet)?.value as Fleet | undefined
  const organisations = configurations.filter(({ value }) => value.kind === ConfigurationKind.Organisation)
  if (fleet === undefined) return []
  return checkReferences(fleet, organisations.map(({ value }) => value as Organisation)).map(({ organisation, field, message, allowed }) => {
    const origin = organisations.find(({ value }) => (value as Organisation).name === organisation)!
    return { file: origin.file, line: findFieldLine(origin.text, field), field, message, allowed }
  })
}
