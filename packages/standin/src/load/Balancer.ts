/** Chooses a node for each call as the platform's balancer would. */
import { request } from 'undici'

import type { Disposable } from '../Disposables.js'

const CHECK_MS = 500
const CHECK_TIMEOUT_MS = 400

/** Takes the nodes in turn, without those whose readiness check fails. */
export class Balancer implements Disposable {
  private readonly ready: Set<string>
  private readonly timer: NodeJS.Timeout
  private turn = 0

  /**
   * @param targets - addresses of the nodes
   */
  constructor (private readonly targets: readonly string[]) {
    this.ready = new Set(targets)
    this.timer = setInterval(() => this.checkAll(), CHECK_MS)
  }

  /**
   * Chooses a node.
   *
   * @param avoid - nodes that just failed
   * @returns its address; a node that is not ready only where there is no other
   */
  pick (avoid: ReadonlySet<string> = new Set()): string {
    const wanted = this.targets.filter((target) => this.ready.has(target) && !avoid.has(target))
    const choices = wanted.length > 0 ? wanted : this.targets
    return choices[this.turn++ % choices.length]!
  }

  dispose (): void {
    clearInterval(this.timer)
  }

  private checkAll (): void {
    for (const target of this.targets) void this.check(target)
  }

  private async check (target: string): Promise<void> {
    try {
      const { statusCode, body } = await request(`http://${target}/readyz`, { signal: AbortSignal.timeout(CHECK_TIMEOUT_MS) })
      await body.dump()
      if (statusCode === 200) this.ready.add(target)
      else this.ready.delete(target)
    } catch {
      this.ready.delete(target)
    }
  }
}
