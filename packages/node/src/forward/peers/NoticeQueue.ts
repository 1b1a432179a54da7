/** Selects the statements of backend servers that the next message to other nodes contains. */
import type { RunnerId, ServerNotice } from '@bluebellhill/domain'

/** Statements in one message: few enough that a datagram stays below the usual packet size. */
const MAX_NOTICES = 12

/** Changed statements come first; the others follow in turn, so that a lost message is made up for by a later one. */
export class NoticeQueue {
  readonly #changed = new Set<RunnerId>()
  #position = 0

  /** @param notices - returns all statements that may be sent */
  constructor (private readonly notices: () => readonly ServerNotice[]) {}

  /** Whether a changed statement has not been selected yet. */
  get hasChanges (): boolean {
    return this.#changed.size > 0
  }

  /** @param server - backend server whose statement has changed */
  markChanged (server: RunnerId): void {
    this.#changed.add(server)
  }

  /** @returns the statements of the next message */
  next (): ServerNotice[] {
    const all = this.notices()
    const changed = all.filter(({ server }) => this.#changed.has(server)).slice(0, MAX_NOTICES)
    const unchanged = all.filter(({ server }) => !this.#changed.has(server))
    for (const { server } of changed) this.#changed.delete(server)
    if (changed.length < MAX_NOTICES) this.#changed.clear()
    return [...changed, ...this.#nextInTurn(unchanged, MAX_NOTICES - changed.length)]
  }

  #nextInTurn (notices: readonly ServerNotice[], count: number): ServerNotice[] {
    if (notices.length <= count) return [...notices]
    const start = this.#position % notices.length
    this.#position = start + count
    return [...notices.slice(start), ...notices.slice(0, start)].slice(0, count)
  }
}
