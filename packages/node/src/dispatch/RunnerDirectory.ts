/** All backend servers that this node knows of, wherever the knowledge came from. */
import type { FailureDomain, RunnerId } from '@bluebellhill/domain'
import type { BackendKind } from '@bluebellhill/services'

/** One backend server. */
export interface Backend {
  readonly id: RunnerId
  /** `ip:port` */
  readonly address: string
  readonly failureDomain: FailureDomain
  readonly kind: BackendKind
  /** The plain service's name; null for an engine. */
  readonly service: string | null
  readonly leaving: boolean
}

/** Told when the known backend servers changed. */
export type DirectoryListener = () => void

/** Merges the backend servers of the settings, the VM list and the gossip. */
export class RunnerDirectory {
  readonly #configured: readonly Backend[]
  readonly #listed = new Map<RunnerId, Backend>()
  readonly #leaving = new Set<RunnerId>()
  readonly #listeners = new Set<DirectoryListener>()

  /**
   * @param configured - backend servers named in the settings
   */
  constructor (configured: readonly Backend[]) {
    this.#configured = configured
  }

  /** Every known backend server. */
  all (): readonly Backend[] {
    const byId = new Map<RunnerId, Backend>()
    for (const backend of [...this.#configured, ...this.#listed.values()]) byId.set(backend.id, this.#withLeavingFlag(backend))
    return [...byId.values()]
  }

  /**
   * Finds a backend server.
   *
   * @param id - its name
   */
  find (id: RunnerId): Backend | undefined {
    const backend = this.#listed.get(id) ?? this.#configured.find((configured) => configured.id === id)
    return backend === undefined ? undefined : this.#withLeavingFlag(backend)
  }

  /** Takes in the VM list; what it does not name any more is gone. */
  replaceListed (backends: readonly Backend[]): void {
    const before = JSON.stringify([...this.#listed.values()])
    this.#listed.clear()
    for (const backend of backends) this.#listed.set(backend.id, backend)
    if (JSON.stringify([...this.#listed.values()]) !== before) this.#notifyListeners()
  }

  /** Replaces the set of backend servers that other nodes know to be leaving. */
  replaceLeaving (ids: Iterable<RunnerId>): void {
    const next = new Set(ids)
    const isUnchanged = next.size === this.#leaving.size && [...next].every((id) => this.#leaving.has(id))
    if (isUnchanged) return
    this.#leaving.clear()
    for (const id of next) this.#leaving.add(id)
    this.#notifyListeners()
  }

  /** @returns a function that removes the listener */
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
