/** Ownership and clean-up of whatever a stand-in or a test opened. */

/** Something that is closed once by its owner. */
export interface Disposable {
  dispose: () => void | Promise<void>
}

/** Owns disposables and closes them in the reverse order of their opening. */
export class Disposables implements Disposable {
  private readonly owned: Disposable[] = []

  /**
   * Takes ownership.
   *
   * @param disposable - what is closed together with this store
   * @returns the same object
   */
  add<Owned extends Disposable> (disposable: Owned): Owned {
    this.owned.push(disposable)
    return disposable
  }

  /**
   * Registers a clean-up step.
   *
   * @param dispose - called once when the store is disposed
   */
  defer (dispose: () => void | Promise<void>): void {
    this.owned.push({ dispose })
  }

  /** Closes everything owned, the youngest first. */
  async dispose (): Promise<void> {
    for (let last = this.owned.pop(); last; last = this.owned.pop()) await last.dispose()
  }
}
