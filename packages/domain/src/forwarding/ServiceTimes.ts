/** Learns from answers how long each server of a plain service takes, relative to the median of its service. */
import type { Millis, RunnerId } from '../types.js'
import type { BackendServer } from './types.js'

/** Weight that earlier observations of a server keep at a new one that follows at once: about ten answers count. */
const KEPT_WEIGHT = 0.9

/** The same for what all servers have in common, of which there are more observations and which changes less: about a hundred answers count. */
const KEPT_COMMON_WEIGHT = 0.99

/** Time after which half of what is known of a server is forgotten: a slow one without requests is tried again, so that its recovery is found. */
const HALF_LIFE: Millis = 2_000

/** Relative difference below which servers count as equal even if their times hardly vary. */
const MIN_DIFFERENCE = 0.25

/** Standard errors by which a server has to differ from the median: of equal servers, one in twenty does by chance. */
const SIGNIFICANT_ERRORS = 2

/** Least relative time: a faster server gets at most twice as many requests at a time as the others, so that it is not filled beyond its slots long before they are. */
const MIN_RELATIVE = 0.5

/** Requests in progress that are told apart. */
const MAX_LOAD = 64

/** Time assumed while nothing is known of a service; any will do, since it is the same for all of its servers. */
const UNKNOWN_TIME: Millis = 1

/** A complete answer. */
export interface ServiceTime {
  /** Time from the sending of the request to the end of the answer. */
  readonly time: Millis
  /** Requests in progress at the server when it was placed, without this one. */
  readonly requestsBefore: number
}

/** Mean of observations that gives more weight to the later ones. */
interface RecentMean {
  value: number
  /** Sum of the weights of the observations. */
  weight: number
}

interface ServerTimes {
  /** Time over the usual one at the same number of requests. */
  readonly ratio: RecentMean
  observedAt: Millis
}

interface ServiceRecord {
  /** Usual time by the number of requests in progress. */
  readonly usual: Map<number, RecentMean>
  /** Squared deviation of a server's ratio from its own mean. */
  readonly variance: RecentMean
  readonly servers: Map<RunnerId, ServerTimes>
  /** Median of the servers' ratios; null if it has to be computed anew. */
  median: number | null
}

/** Observed service times, relative to those of the other servers. */
export class ServiceTimes {
  readonly #services = new Map<string, ServiceRecord>()

  /**
   * Records a complete answer.
   *
   * @param server - the backend server
   * @param answer - the answer; ignored if its time is not a positive number
   * @param now - current time
   */
  observe (server: BackendServer, { time, requestsBefore }: ServiceTime, now: Millis): void {
    if (!Number.isFinite(time) || time <= 0) return
    const record = this.#recordOf(server.service)
    const relative = this.relative(server, now)
    const usual = usualAt(record, Math.min(requestsBefore, MAX_LOAD), time / relative)
    const times = record.servers.get(server.id) ?? { ratio: { value: 1, weight: 0 }, observedAt: now }
    // A server that is slower than this gets no request before the others are full; a single outlier should not count for more.
    const ratio = Math.min(time / usual.value, server.slots + 1)
    if (times.ratio.weight > 0) observe(record.variance, (ratio / times.ratio.value - 1) ** 2, KEPT_COMMON_WEIGHT)
    observe(times.ratio, ratio, KEPT_WEIGHT * 2 ** (-(now - times.observedAt) / HALF_LIFE))
    times.observedAt = now
    record.servers.set(server.id, times)
    record.median = null
    // Slow servers would make their own times the usual ones.
    if (this.relative(server, now) === 1) observe(usual, time, KEPT_COMMON_WEIGHT)
  }

  /**
   * @param server - a backend server
   * @param now - current time
   * @returns its time over that of the median server of its service; 1 if the difference may be chance, or if nothing is known of it
   */
  relative ({ id, service }: BackendServer, now: Millis): number {
    const record = this.#services.get(service)
    const times = record?.servers.get(id)
    if (record === undefined || times === undefined) return 1
    const difference = (times.ratio.value / medianRatio(record) - 1) * 2 ** (-(now - times.observedAt) / HALF_LIFE)
    const error = Math.sqrt(record.variance.value / times.ratio.weight)
    return Math.abs(difference) <= Math.max(MIN_DIFFERENCE, SIGNIFICANT_ERRORS * error) ? 1 : Math.max(MIN_RELATIVE, 1 + difference)
  }

  /**
   * @param service - a service
   * @param requests - number of requests in progress at a server
   * @returns usual time of one more request, compared with other numbers; never less than at a smaller number, so that equal servers are filled evenly
   */
  usualTime (service: string, requests: number): Millis {
    const usual = this.#services.get(service)?.usual ?? []
    return [...usual].reduce((longest, [load, { value }]) => load <= requests ? Math.max(longest, value) : longest, 0) || UNKNOWN_TIME
  }

  /**
   * @param server - a backend server
   * @param now - current time
   * @returns time since its last answer that was recorded; null if there is none
   */
  age ({ id, service }: BackendServer, now: Millis): Millis | null {
    const times = this.#services.get(service)?.servers.get(id)
    return times === undefined ? null : now - times.observedAt
  }

  /**
   * Discards what is known of a server that was removed or has restarted.
   *
   * @param id - the backend server
   */
  remove (id: RunnerId): void {
    for (const record of this.#services.values()) if (record.servers.delete(id)) record.median = null
  }

  #recordOf (service: string): ServiceRecord {
    const existing = this.#services.get(service)
    if (existing !== undefined) return existing
    const record: ServiceRecord = { usual: new Map(), variance: { value: 0, weight: 0 }, servers: new Map(), median: null }
    this.#services.set(service, record)
    return record
  }
}

const observe = (mean: RecentMean, value: number, keptWeight: number): void => {
  mean.weight = mean.weight * keptWeight + 1
  mean.value += (value - mean.value) / mean.weight
}

const usualAt = ({ usual }: ServiceRecord, load: number, first: Millis): RecentMean => {
  const existing = usual.get(load)
  if (existing !== undefined) return existing
  const mean: RecentMean = { value: first, weight: 0 }
  usual.set(load, mean)
  return mean
}

const medianRatio = (record: ServiceRecord): number => {
  record.median ??= lowerMedian([...record.servers.values()].map(({ ratio }) => ratio.value))
  return record.median
}

/** Of two servers, the faster one is the usual one. */
const lowerMedian = (values: readonly number[]): number => [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? 1
