/** Answers of the store, and the settings file. */
import { readFileSync, writeFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'

import { Door } from './Door.js'

/** Time in which a node makes several calls to the store. */
const CALLS_MS = 1_500
const CHECK_PERIOD_MS = 50

/** Answers to the node's calls to the store. */
export class StoreDoor extends Door {
  readonly name = 'store'

  override async send (count: number): Promise<number> {
    const { oddStore } = this.fleet
    const before = oddStore.oddCount
    oddStore.oddLeft = count
    for (let waited = 0; waited < CALLS_MS && oddStore.oddLeft > 0; waited += CHECK_PERIOD_MS) {
      // Changes end the watches that wait.
      this.fleet.register('i-of-others', 'app-of-others', '127.0.0.1:9')
      await sleep(CHECK_PERIOD_MS)
    }
    oddStore.oddLeft = 0
    this.fleet.unregister('i-of-others')
    return oddStore.oddCount - before
  }
}

/** Time in which the node reads its settings again. */
const RELOAD_MS = 30

const LINES = [
  'grace_s = -1', 'grace_s = 1e400', 'grace_s = inf', 'grace_s = nan', 'grace_s = 0', 'grace_s = 1e308', 'grace_s = 99999999999', 'grace_s = "8"', 'retry_budget_ratio = 1e400', 'retry_budget_ratio = -1', 'budget_slack = 1e308',
  'grace_s = 9223372036854775808', 'grace_s = {}', 'grace_s = []', 'grace_s', '[bounds]', '= 1'
]

/** Settings that are read again. */
export class SettingsDoor extends Door {
  readonly name = 'settings'

  override async send (count: number): Promise<number> {
    const { settingsFile, node } = this.fleet
    const sound = readFileSync(settingsFile, 'utf8')
    for (let index = 0; index < count; index += 1) {
      writeFileSync(settingsFile, this.#draw(sound))
      node.reload()
      await sleep(RELOAD_MS)
    }
    writeFileSync(settingsFile, sound)
    node.reload()
    await sleep(RELOAD_MS)
    return count
  }

  #draw (sound: string): string | Buffer {
    const { values, values: { random } } = this
    const lines = sound.split('\n')
    const kinds: Array<() => string | Buffer> = [
      () => sound.replace(/^grace_s.*$/m, random.pick(LINES)),
      () => sound.replace(/^grace_s.*$/m, random.pick(LINES)),
      () => lines.filter((_, index) => index !== random.between(0, lines.length - 1)).join('\n'),
      () => sound.slice(0, random.between(0, sound.length)),
      () => sound.replace(/^zone.*$/m, `zone = ${'['.repeat(random.between(1, 50_000))}`),
      () => sound.replace(/^zone.*$/m, `${'a.'.repeat(random.between(1, 20_000))}b = 1`),
      () => sound.replace(/^ip.*$/m, `ip = "${random.pick(['', '999.1.1.1', 'localhost', '::1', 'x'.repeat(100_000)])}"`),
      () => sound.replace(/^internal_ports.*$/m, `internal_ports = ${random.pick(['[]', '[1]', '[-1, 99999]', '[1e400, 2]', '"7"', '[[1], [2]]'])}`),
      () => values.bytes(2_000),
      () => ''
    ]
    return random.pick(kinds)()
  }
}
