/** The checked configuration that the node works with, built from the values in force. */
import { setImmediate } from 'node:timers/promises'

import type { ConfigurationValue } from '@bluebellhill/domain'
import { Configuration, ConfigurationKind, failed, FLEET_VALUE_NAME, formatProblem, parseConfiguration, success, valueNameOfFile } from '@bluebellhill/services'
import type { ConfigurationFile, Fleet, Organisation, Result } from '@bluebellhill/services'

/** Values that are checked before the node does other work. */
const VALUES_PER_TURN = 1

const readFileOf = (value: ConfigurationValue): Result<ConfigurationFile, string> => {
  const parsed = parseConfiguration(value.text, value.name)
  if (!parsed.ok) return failed(parsed.failure[0] === undefined ? 'the text is not valid' : formatProblem(parsed.failure[0]))
  const name = valueNameOfFile(parsed.value)
  return name === value.name ? success(parsed.value) : failed(`the text describes ${name}`)
}

export class ConfigurationInForce {
  readonly #files = new Map<string, ConfigurationFile>()
  readonly #checked = new WeakMap<ConfigurationValue, Result<ConfigurationFile, string>>()
  #current: Configuration | null = null

  /** The configuration in force; null before there is any. */
  get current (): Configuration | null {
    return this.#current
  }

  /**
   * Checks a value's text.
   *
   * @param value - a value from the store or a peer
   * @returns why it cannot be used, or null
   */
  check (value: ConfigurationValue): string | null {
    const checked = this.#checked.get(value) ?? readFileOf(value)
    this.#checked.set(value, checked)
    return checked.ok ? null : checked.failure
  }

  /**
   * Checks many values, with pauses in which the node does other work.
   *
   * @param values - values that may be put in force
   */
  async prepare (values: readonly ConfigurationValue[]): Promise<void> {
    for (const [index, value] of values.entries()) {
      if (!value.removed) this.check(value)
      if (index % VALUES_PER_TURN === VALUES_PER_TURN - 1) await setImmediate()
    }
  }

  /**
   * Puts values in force together.
   *
   * @param values - values that were checked; removed ones leave
   */
  install (values: readonly ConfigurationValue[]): void {
    for (const value of values) {
      const checked = this.#checked.get(value)
      if (value.removed || checked?.ok !== true) this.#files.delete(value.name)
      else this.#files.set(value.name, checked.value)
    }
    const fleet = this.#files.get(FLEET_VALUE_NAME) as Fleet | undefined
    const organisations = [...this.#files.values()].filter((file): file is Organisation => file.kind === ConfigurationKind.Organisation)
    this.#current = new Configuration(fleet ?? null, organisations)
  }
}
