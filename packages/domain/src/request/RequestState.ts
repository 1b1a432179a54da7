/** States of a request at its entry node. */
export const RequestState = {
  /** The request is not admitted yet. */
  New: 'new',
  /** A dispatcher was asked for a grant. */
  AwaitingGrant: 'seeking',
  /** The attempt has a grant; no byte was sent to the backend server. */
  Granted: 'granted',
  /** Bytes of the attempt were sent to the backend server. */
  Sent: 'sent',
  /** The request waits for the retry delay before its next attempt. */
  Delayed: 'delayed',
  Finished: 'finished'
} as const
export type RequestState = typeof RequestState[keyof typeof RequestState]
