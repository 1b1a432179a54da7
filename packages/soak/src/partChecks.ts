/** Checks what requests that end servers, by themselves or by a part of their prompt, may do, against what servers and callers have recorded. */
import type { ServerCrash } from '@bluebellhill/platform-standin'

import { CONTACT_MS, CRASHES_UNTIL_KNOWN, FEWEST_SAMPLES, LEAST_SERVED_SHARE, MOST_AFTER_KNOWN } from './constants.js'
import type { Fleet } from './Fleet.js'
import { RequestKind } from './types.js'
import type { Exchange, Violation } from './types.js'

const hasCause = ({ path, parts }: Exchange, cause: string): boolean => path === cause || parts.slice(0, -1).includes(cause)

const isPath = (cause: string): boolean => cause.startsWith('/')

/** The last crash before the cause is known; undefined if it has not come to that. */
const knownSince = (cause: string, crashes: readonly ServerCrash[]): ServerCrash | undefined =>
  crashes[(isPath(cause) ? CRASHES_UNTIL_KNOWN.request : CRASHES_UNTIL_KNOWN.part) - 1]

/** Whether the node of a request ran without interruption for the whole contact time before, and knows of such parts. */
const isInTouch = ({ nodes }: Fleet, exchange: Exchange, at: number): boolean => {
  const node = nodes[exchange.node]
  return node !== undefined && !node.isEarlierBuild && node.process.wasSound(at - CONTACT_MS, at)
}

const ruleFor = (cause: string, rule: string): string => `${rule} ${isPath(cause) ? 'requests' : 'parts'}`

/** Once enough servers have ended, hardly any request with the cause reaches one. */
const fewReachServers = (exchanges: ReadonlyMap<string, Exchange>, fleet: Fleet, cause: string, crashes: readonly ServerCrash[]): Violation[] => {
  const known = knownSince(cause, crashes)
  if (known === undefined) return []
  const late = fleet.ledger.arrivals.filter(({ request, at }) => {
    const exchange = exchanges.get(request)
    return exchange !== undefined && fleet.delays.runningTime(known.at, at) > CONTACT_MS && hasCause(exchange, cause) && isInTouch(fleet, exchange, at)
  })
  if (late.length <= MOST_AFTER_KNOWN) return []
  return [{ rule: ruleFor(cause, 'crashing'), detail: `${late.length} requests with ${cause} reached servers later than ${CONTACT_MS} ms after it was known from ${crashes.length} crashes, ${MOST_AFTER_KNOWN} may` }]
}

/** Sound requests that share their other parts and their key are served while those that end servers still come. */
const soundAreServed = (exchanges: readonly Exchange[], fleet: Fleet, cause: string, crashes: readonly ServerCrash[]): Violation[] => {
  const known = knownSince(cause, crashes) ?? crashes.at(-1)
  if (known === undefined) return []
  const isLate = ({ sentAt }: Exchange): boolean => fleet.delays.runningTime(known.at, sentAt) > 2 * CONTACT_MS
  const sound = exchanges.filter((exchange) => exchange.kind === RequestKind.Stream && isLate(exchange) && !hasCause(exchange, cause) && isInTouch(fleet, exchange, exchange.sentAt))
  const served = sound.filter(({ status, whole }) => status === 200 && whole).length
  if (sound.length < FEWEST_SAMPLES || served >= LEAST_SERVED_SHARE * sound.length) return []
  return [{ rule: ruleFor(cause, 'requests beside crashing'), detail: `${served} of ${sound.length} sound streams were served after ${crashes.length} crashes by ${cause}` }]
}

/**
 * @param exchanges - what callers saw
 * @param fleet - what ran
 * @returns promises on requests that end servers that were not kept
 */
export const partViolationsOf = (exchanges: readonly Exchange[], fleet: Fleet): Violation[] => {
  const byId = new Map(exchanges.map((exchange) => [exchange.id, exchange]))
  const { ledger } = fleet
  return [...new Set(ledger.crashes.map(({ cause }) => cause))].flatMap((cause) => {
    const crashes = ledger.crashes.filter((crash) => crash.cause === cause)
    return [...fewReachServers(byId, fleet, cause, crashes), ...soundAreServed(exchanges, fleet, cause, crashes)]
  })
}
