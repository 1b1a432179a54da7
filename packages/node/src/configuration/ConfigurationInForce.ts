/** Parses and checks configuration values, and builds the configuration in force from them. */
import { setImmediate } from 'node:timers/promises'

import type { ConfigurationValue } from '@bluebellhill/domain'
import { Configuration, ConfigurationKind, failed, FLEET_VALUE_NAME, formatProblem, parseConfiguration, success, valueNameOfFile } from '@bluebellhill/services'
import type { ConfigurationFile, Fleet, Organisation, Result } from '@bluebellhill/services'

/** Number of values that are checked before the event loop handles other work. */
const VALUES_PER_EVENT_LOOP_TURN = 1

const parseValue = (value: ConfigurationValue): Result<ConfigurationFile, string> => {
  const parsed = parseConfiguration(value.text, value.name)
  if (!parsed.ok) return failed(parsed.failure[0] === undefined ? 'the text is not a valid configuration' : formatProblem(parsed.failure[0]))
  const name = valueNameOfFile(parsed.value)
  return name === value.name ? success(parsed.value) : failed(`the text is the configuration of another value: ${name}`)
}

/** The configuration that this node currently uses. Keeps the result of each check, so that each value is parsed once. */
export class ConfigurationInForce {
  readonly #files = new Map<string, ConfigurationFile>()
  readonly #checkResults = new WeakMap<ConfigurationValue, Result<ConfigurationFile, string>>()
  #current: Configuration | null = null

  /** The configuration in force; null before the first one is installed. */
  get current (): Configuration | null {
    return this.#current
  }

  /**
   * Checks whether the text of a value can be used.
   *
   * @param value - a value from the store or a peer
   * @returns the reason why it cannot be used, or null if it can
   */
  check (value: ConfigurationValue): string | null {
    const result = this.#checkResults.get(value) ?? parseValue(value)
    this.#checkResults.set(value, result)
    return result.ok ? null : result.failure
  }

  /**
   * Checks many values, and lets the event loop handle other work in between.
   *
   * @param values - values that may be put in force
   */
  async checkAll (values: readonly ConfigurationValue[]): Promise<void> {
    for (const [index, value] of values.entries()) {
      if (!value.removed) this.check(value)
      if (index % VALUES_PER_EVENT_LOOP_TURN === VALUES_PER_EVENT_LOOP_TURN - 1) await setImmediate()
    }
  }

  /**
   * Puts values in force in one step.
   *
   * @param values - checked values; a removed or unusable one ends the value that was in force under its name
   */
  install (values: readonly ConfigurationValue[]): void {
    for (const value of values) {
      const result = this.#checkResults.get(value)
      if (value.removed || result?.ok !== true) this.#files.delete(value.name)
      else this.#files.set(value.name, result.value)
    }
    const fleet = this.#files.get(FLEET_VALUE_NAME) as Fleet | undefined
    const organisations = [...this.#files.values()].filter((file): file is Organisation => file.kind === ConfigurationKind.Organisation)
    this.#current = new Configuration(fleet ?? null, organisations)
  }
}
