/** Open watches of the key-value service. */
import type { ServerResponse } from 'node:http'

import { integerField, messageField, readRange, writeChange, writeHeader } from './codec.js'
import type { Json } from './codec.js'
import type { KeyValueStore } from './KeyValueStore.js'
import type { Change, KeyRange } from './types.js'

interface Watch {
  readonly range: KeyRange
  readonly response: ServerResponse
}

const covers = ({ key: from, end }: KeyRange, key: string): boolean =>
  end === null ? key === from : key >= from && (end === '\0' || key < end)

/** Sends each revision's changes to the watches that cover them. */
export class WatchHub {
  private readonly watches = new Set<Watch>()

  /**
   * @param store - what is watched
   */
  constructor (private readonly store: KeyValueStore) {
    store.onChanges = (changes) => this.publish(changes)
  }

  /** Watches that wait now. */
  get waiting (): number {
    return this.watches.size
  }

  /**
   * Opens a watch.
   *
   * @param body - the request
   * @param response - receives one JSON object a line
   */
  open (body: Json, response: ServerResponse): void {
    const create = messageField(body, 'create_request')
    const watch = { range: readRange(create), response }
    const from = integerField(create, 'start_revision')
    response.writeHead(200, { 'content-type': 'application/json' })
    this.send(response, { created: true })
    if (from > 0 && from <= this.store.compactedRevision) {
      this.send(response, { canceled: true, compact_revision: String(this.store.compactedRevision) })
      response.end()
      return
    }
    if (from > 0) this.sendChanges(watch, this.store.history(watch.range, from))
    this.watches.add(watch)
    response.on('close', () => this.watches.delete(watch))
  }

  /** Cuts all watches. */
  cut (): void {
    for (const { response } of this.watches) response.destroy()
  }

  private publish (changes: readonly Change[]): void {
    for (const watch of this.watches) {
      this.sendChanges(watch, changes.filter(({ key }) => covers(watch.range, key)))
    }
  }

  private sendChanges ({ response }: Watch, changes: readonly Change[]): void {
    if (changes.length > 0) this.send(response, { events: changes.map(writeChange) })
  }

  private send (response: ServerResponse, result: Json): void {
    response.write(`${JSON.stringify({ result: { header: writeHeader(this.store.revision), ...result } })}\n`)
  }
}
