/** The checked configuration that the node works with, built from the values in force. */
import type { ConfigurationValue } from '@bluebellhill/domain'
import { Configuration, ConfigurationKind, FLEET_NAME, formatProblem, parseConfiguration, valueNameOf } from '@bluebellhill/platform'
import type { ConfigurationFile, Fleet, Organisation } from '@bluebellhill/platform'

export class ConfigurationInForce {
  readonly #files = new Map<string, ConfigurationFile>()
  readonly #checked = new WeakMap<ConfigurationValue, ConfigurationFile>()
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
    const parsed = parseConfiguration(value.text, value.name)
    if (!parsed.ok) return parsed.failure[0] === undefined ? 'the text is not valid' : formatProblem(parsed.failure[0])
    if (valueNameOf(parsed.value) !== value.name) return `the text describes ${valueNameOf(parsed.value)}`
    this.#checked.set(value, parsed.value)
    return null
  }

  /**
   * Puts values in force together.
   *
   * @param values - values that were checked; removed ones leave
   */
  install (values: readonly ConfigurationValue[]): void {
    for (const value of values) {
      const file = this.#checked.get(value)
      if (value.removed || file === undefined) this.#files.delete(value.name)
      else this.#files.set(value.name, file)
    }
    const fleet = this.#files.get(FLEET_NAME) as Fleet | undefined
    const organisations = [...this.#files.values()].filter((file): file is Organisation => file.kind === ConfigurationKind.Organisation)
    this.#current = new Configuration(fleet ?? null, organisations)
  }
}
