/** Checks what requests with parts of prompts that end engines may do, against what backend servers and callers have recorded. */
import type { PartCrash } from '@bluebellhill/platform-standin'

import { CONTACT_MS, CRASHES_UNTIL_KNOWN, FEWEST_SAMPLES, LEAST_SERVED_SHARE, MOST_AFTER_KNOWN } from './constants.js'
import type { Fleet } from './Fleet.js'
import { RequestKind } from './types.js'
import type { Exchange, Violation } from './types.js'

const hasPart = ({ parts }: Exchange, part: string): boolean => parts.slice(0, -1).includes(part)

/** Whether the node of a request ran without interruption for the whole contact time before, and knows of such parts. */
const isInTouch = ({ nodes }: Fleet, exchange: Exchange, at: number): boolean => {
  const node = nodes[exchange.node]
  return node !== undefined && !node.isEarlierBuild && node.process.wasSound(at - CONTACT_MS, at)
}

/** Once enough engines have ended, hardly any request with the part reaches an engine. */
const fewReachEngines = (exchanges: ReadonlyMap<string, Exchange>, fleet: Fleet, part: string, crashes: readonly PartCrash[]): Violation[] => {
  const known = crashes[CRASHES_UNTIL_KNOWN - 1]
  if (known === undefined) return []
  const late = fleet.ledger.arrivals.filter(({ request, at }) => {
    const exchange = exchanges.get(request)
    return exchange !== undefined && fleet.delays.runningTime(known.at, at) > CONTACT_MS && hasPart(exchange, part) && isInTouch(fleet, exchange, at)
  })
  if (late.length <= MOST_AFTER_KNOWN) return []
  return [{ rule: 'crashing parts', detail: `${late.length} requests with ${part} reached engines later than ${CONTACT_MS} ms after the fifth of ${crashes.length} crashes, ${MOST_AFTER_KNOWN} may` }]
}

/** Sound requests that share their other parts and their key are served while those with the crashing part still come. */
const soundAreServed = (exchanges: readonly Exchange[], fleet: Fleet, part: string, crashes: readonly PartCrash[]): Violation[] => {
  const known = crashes[CRASHES_UNTIL_KNOWN - 1] ?? crashes.at(-1)
  if (known === undefined) return []
  const isLate = ({ sentAt }: Exchange): boolean => fleet.delays.runningTime(known.at, sentAt) > 2 * CONTACT_MS
  const sound = exchanges.filter((exchange) => exchange.kind === RequestKind.Stream && isLate(exchange) && !hasPart(exchange, part) && isInTouch(fleet, exchange, exchange.sentAt))
  const served = sound.filter(({ status, whole }) => status === 200 && whole).length
  if (sound.length < FEWEST_SAMPLES || served >= LEAST_SERVED_SHARE * sound.length) return []
  return [{ rule: 'requests beside crashing parts', detail: `${served} of ${sound.length} sound streams were served after ${crashes.length} crashes by ${part}` }]
}

/**
 * @param exchanges - what callers saw
 * @param fleet - what ran
 * @returns promises on crashing parts that were not kept
 */
export const partViolationsOf = (exchanges: readonly Exchange[], fleet: Fleet): Violation[] => {
  const byId = new Map(exchanges.map((exchange) => [exchange.id, exchange]))
  const { partCrashes } = fleet.ledger
  return [...new Set(partCrashes.map(({ part }) => part))].flatMap((part) => {
    const crashes = partCrashes.filter((crash) => crash.part === part)
    return [...fewReachEngines(byId, fleet, part, crashes), ...soundAreServed(exchanges, fleet, part, crashes)]
  })
}
