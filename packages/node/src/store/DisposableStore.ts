/** Collects resources that have to be released together, such as sockets, timers, actors and watches. */

/** A resource that has to be released once. */
export interface Disposable {
  dispose (): void | Promise<void>
}

/** Owns disposables and releases them in reverse order of addition. */
export class DisposableStore implements Disposable {
  private readonly items: Disposable[] = []
  private disposal: Promise<void> | null = null

  /** Whether the release of the store has started or finished. */
  get disposed (): boolean {
    return this.disposal !== null
  }

  /**
   * Adds a disposable. If the store is disposed, the disposable is released immediately and its errors are ignored.
   *
   * @param item - disposable that the store releases
   * @returns the same item
   */
  add<Item extends Disposable>(item: Item): Item {
    if (this.disposed) void Promise.resolve(item.dispose()).catch(() => {})
    else this.items.push(item)
    return item
  }

  /**
   * Adds a clean-up step.
   *
   * @param dispose - called once when the store is released
   */
  addCleanup (dispose: () => void | Promise<void>): void {
    this.add({ dispose })
  }

  /**
   * Releases all disposables sequentially, in reverse order of addition. Further calls return the same promise.
   *
   * @throws AggregateError with the errors of all disposables that failed; the others are still released
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
