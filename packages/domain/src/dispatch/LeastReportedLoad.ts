/** Baseline routing policy that chooses the runner whose last report shows the fewest requests. */
import type { QueuedOrder } from './DispatchQueue.js'
import type { RunnerChoice } from './RoutingPolicy.js'
import { RoutingPolicy } from './RoutingPolicy.js'
import type { Runner } from './Runner.js'

/** Compares only the reported load, which lags behind; the attempts granted since the report do not count. */
export class LeastReportedLoad extends RoutingPolicy {
  override readonly name = 'least_reported_load'

  override choose (queued: QueuedOrder, serving: readonly Runner[]): RunnerChoice | null {
    const withRoom = serving.filter((runner) => runner.hasRoom(queued.order))
    const best = withRoom.reduce<Runner | null>((least, runner) => least === null || reportedLoad(runner) < reportedLoad(least) ? runner : least, null)
    return best === null ? null : { runner: best, reason: `reported load ${reportedLoad(best)}` }
  }
}

const reportedLoad = (runner: Runner): number =>
  (runner.report?.running ?? 0) + (runner.report?.waiting ?? 0)
