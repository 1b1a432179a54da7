/** What other writers leave in the store: entries of backend servers, configurations and evacuations. */
import { setTimeout as sleep } from 'node:timers/promises'

import { StoreKey } from '@bluebellhill/platform'
import { SERVER_ENTRY } from '@bluebellhill/platform-standin'

import { Door } from './Door.js'

/** Time in which a node reads what was written. */
const READING_MS = 400

const ODD_KEYS = ['', '/', '__proto__', 'constructor', '..', 'i%00', 'é', 'x'.repeat(190), `../${StoreKey.Configuration}`]

/** Entries of backend servers. */
export class EntryDoor extends Door {
  readonly name = 'entries'

  override async send (count: number): Promise<number> {
    const { store } = this.fleet
    const { random } = this.values
    const keys = Array.from({ length: count }, (_, index) => `${StoreKey.BackendServers}${random.between(0, 9) === 0 ? random.pick(ODD_KEYS) : `odd-${index}`}`)
    for (const key of keys) store.put(key, this.values.document(SERVER_ENTRY))
    await sleep(READING_MS)
    for (const key of keys) store.remove(key)
    return count
  }
}

/** Configurations of the operator. */
export class ConfigurationDoor extends Door {
  readonly name = 'configuration'

  override async send (count: number): Promise<number> {
    const { store } = this.fleet
    for (let index = 0; index < count; index += 1) {
      // A further version that can be used is followed like any other; the sound one at the end has a later one.
      const sound = JSON.parse(this.fleet.nextConfiguration()) as object
      const isVersion = (path: ReadonlyArray<string | number>): boolean => path.length === 0 || path[0] === 'version'
      store.put(StoreKey.Configuration, this.values.random.between(0, 3) === 0 ? this.values.json() : this.values.changed(sound, isVersion))
    }
    await sleep(READING_MS)
    this.fleet.configure()
    return count
  }
}

/** Evacuations of the operator, and other keys of theirs. */
export class EvacuationDoor extends Door {
  readonly name = 'evacuations'

  override async send (count: number): Promise<number> {
    const { store } = this.fleet
    const { random } = this.values
    const keys = Array.from({ length: count }, (_, index) => random.between(0, 4) === 0 ? `${StoreKey.Operator}${random.pick(ODD_KEYS)}` : `${StoreKey.Evacuations}${random.between(0, 2) === 0 ? random.pick(ODD_KEYS) : `hall-z${index}`}`)
    for (const key of keys) store.put(key, this.values.document({ since: 1, by: 'operator' }))
    await sleep(READING_MS)
    for (const key of keys) store.remove(key)
    return count
  }
}
