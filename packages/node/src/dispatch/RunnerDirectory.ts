/** Directory of the backend servers from all sources: the settings, the VM list and gossip. */
import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import type { BackendKind } from '@bluebellhill/services'

/** Address and properties of one backend server. */
export interface Backend {
  readonly id: RunnerId
  /** `ip:port` */
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly kind: BackendKind
  /** The plain service's name; null for an engine. */
  readonly service: string | null
  /** Whether the backend server is leaving: it finishes its requests and gets no new ones. */
  readonly leaving: boolean
}

/** Called when a backend server was added, removed or changed. */
export type DirectoryListener = () => void

/** Merges the backend servers of the settings and the VM list, and marks those that other nodes announce as leaving. */
export class RunnerDirectory {
  readonly #configured: readonly Backend[]
  readonly #listed = new Map<RunnerId, Backend>()
  readonly #leaving = new Set<RunnerId>()
  readonly #listeners = new Set<DirectoryListener>()

  /**
   * @param configured - backend servers from the settings
   */
  constructor (configured: readonly Backend[]) {
    this.#configured = configured
  }

  /** Lists the backend servers of all sources. An entry of the VM list replaces one of the settings with the same id. */
  all (): readonly Backend[] {
    const byId = new Map<RunnerId, Backend>()
    for (const backend of [...this.#configured, ...this.#listed.values()]) byId.set(backend.id, this.#withLeavingFlag(backend))
    return [...byId.values()]
  }

  /**
   * Looks up a backend server by its id.
   *
   * @param id - id of the backend server
   */
  find (id: RunnerId): Backend | undefined {
    const backend = this.#listed.get(id) ?? this.#configured.find((configured) => configured.id === id)
    return backend === undefined ? undefined : this.#withLeavingFlag(backend)
  }

  /** Replaces the backend servers of the VM list; those missing from the new list are removed. */
  replaceListed (backends: readonly Backend[]): void {
    const before = JSON.stringify([...this.#listed.values()])
    this.#listed.clear()
    for (const backend of backends) this.#listed.set(backend.id, backend)
    if (JSON.stringify([...this.#listed.values()]) !== before) this.#notifyListeners()
  }

  /** Replaces the set of backend servers that other nodes announce as leaving. */
  replaceLeaving (ids: Iterable<RunnerId>): void {
    const next = new Set(ids)
    const isUnchanged = next.size === this.#leaving.size && [...next].every((id) => this.#leaving.has(id))
    if (isUnchanged) return
    this.#leaving.clear()
    for (const id of next) this.#leaving.add(id)
    this.#notifyListeners()
  }

  /**
   * Registers a listener for changes.
   *
   * @param listener - called after each change
   * @returns a function that removes the listener
   */
  onChange (listener: DirectoryListener): () => void {
    this.#listeners.add(listener)
    return () => { this.#listeners.delete(listener) }
  }

  #withLeavingFlag (backend: Backend): Backend {
    return this.#leaving.has(backend.id) ? { ...backend, leaving: true } : backend
  }

  #notifyListeners (): void {
    for (const listener of this.#listeners) listener()
  }
}
