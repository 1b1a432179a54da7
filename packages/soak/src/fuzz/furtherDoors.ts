/** Answers of the store, and the settings file. */
import { readFileSync, writeFileSync } from 'node:fs'
import { setTimeout as sleep } from 'node:timers/promises'

import { oddSettings } from '@bluebellhill/platform-standin'

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
    oddStore.answerOddly(count)
    for (let waited = 0; waited < CALLS_MS && oddStore.oddLeft > 0; waited += CHECK_PERIOD_MS) {
      // Changes end the watches that wait.
      this.fleet.register('i-of-others', 'app-of-others', '127.0.0.1:9')
      await sleep(CHECK_PERIOD_MS)
    }
    oddStore.answerSoundly()
    this.fleet.unregister('i-of-others')
    return oddStore.oddCount - before
  }
}

/** Time in which the node reads its settings again. */
const RELOAD_MS = 30

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
      () => random.pick(oddSettings(sound)),
      () => random.pick(oddSettings(sound)),
      () => random.pick(oddSettings(sound)),
      () => lines.toSpliced(random.between(0, lines.length - 1), 1).join('\n'),
      () => sound.slice(0, random.between(0, sound.length)),
      () => values.bytes(2_000)
    ]
    return random.pick(kinds)()
  }
}
