/** Tells what a crash may be blamed on: prompt parts that requests share, and single requests that come again. */
import { QuarantineStatus } from './types.js'
import type { Verdict, Suspect } from './types.js'

/** First character of the suspects that stand for a whole request; ids of prompt parts are hexadecimal. */
const REQUEST_MARK = '@'

/**
 * @param digest - digest of all that tells the request from others of the fleet
 * @returns the suspect that stands for the request whenever it comes
 */
export const requestSuspect = (digest: string): Suspect => `${REQUEST_MARK}${digest}`

/**
 * @param suspect - what a crash may be blamed on
 * @returns whether it stands for a whole request
 */
export const isRequest = (suspect: Suspect): boolean => suspect.startsWith(REQUEST_MARK)

/**
 * @param verdict - verdict on a request
 * @returns the request if it has to run apart from others that may have crashed servers; null if it need not
 */
export const isolatedRequest = (verdict: Verdict): Suspect | null => {
  switch (verdict.status) {
    case QuarantineStatus.Clear:
      return null
    case QuarantineStatus.Suspected:
      return isRequest(verdict.evidence.part) ? verdict.evidence.part : null
    case QuarantineStatus.Quarantined:
      return verdict.parts.find(isRequest) ?? null
  }
}
