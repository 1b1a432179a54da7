/** Counts calls by kind and by second. */

const SECONDS_KEPT = 600
const MS_PER_SECOND = 1_000

/** Calls and bytes of one kind. */
interface KindCount {
  calls: number
  bytes: number
}

/** Calls of a stand-in, for bounds on their number and rate. */
export class CallCounter {
  private readonly kinds: Record<string, KindCount> = {}
  private readonly seconds = new Map<number, number>()

  /**
   * Counts a call.
   *
   * @param kind - name of the call
   * @param bytes - length of the request's body
   */
  count (kind: string, bytes = 0): void {
    const counted = this.kinds[kind] ??= { calls: 0, bytes: 0 }
    counted.calls++
    counted.bytes += bytes
    const second = Math.floor(Date.now() / MS_PER_SECOND)
    this.seconds.set(second, (this.seconds.get(second) ?? 0) + 1)
    if (this.seconds.size > SECONDS_KEPT) this.seconds.delete(this.seconds.keys().next().value!)
  }

  /** The counts, as they are sent. */
  report (): { total: number, kinds: Record<string, KindCount>, bySecond: Record<string, number> } {
    const total = Object.values(this.kinds).reduce((sum, { calls }) => sum + calls, 0)
    return { total, kinds: structuredClone(this.kinds), bySecond: Object.fromEntries(this.seconds) }
  }
}
