/** Ownership of what has to be released: sockets, timers, actors, watches. */

/** Something that has to be released once. */
export interface Disposable {
  dispose (): void | Promise<void>
}

/** Gathers disposables and releases them together, the last added first. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = []
  private disposal: Promise<void> | null = null

  /** Whether the store has been released, or is being released. */
  get disposed (): boolean {
    return this.disposal !== null
  }

  /**
   * Takes ownership of a disposable. A store that has been released already releases it at once.
   *
   * @param item - what to release with the store
   * @returns the same item
   */
  add<Item extends Disposable>(item: Item): Item {
    if (this.disposed) void Promise.resolve(item.dispose()).catch(() => {})
    else this.items.push(item)
    return item
  }

  /**
   * Takes ownership of a clean-up step.
   *
   * @param dispose - run once when the store is released
   */
  addCleanup (dispose: () => void | Promise<void>): void {
    this.add({ dispose })
  }

  /**
   * Releases everything, the last added first, one after the other. Further calls wait for the first.
   *
   * @throws AggregateError with the errors of all steps that failed; the other steps still run
   */
  dispose (): Promise<void> {
    this.disposal ??= this.release()
    return this.disposal
  }

  private async release (): Promise<void> {
    const errors: unknown[] = []
    for (let item = this.items.pop(); item !== undefined; item = this.items.pop()) {
      try {
        await item.dispose()
      } catch (error) {
        errors.push(error)
      }
    }
    if (errors.length > 0) throw new AggregateError(errors, `${errors.length} clean-up steps failed`)
  }
}
