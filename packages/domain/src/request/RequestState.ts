/** Phases of a request's life. */
export const RequestState = {
  /** Not yet admitted. */
  New: 'new',
  /** Waits for a dispatcher's grant. */
  Seeking: 'seeking',
  /** Granted; no byte has left. */
  Granted: 'granted',
  /** Bytes have left for the backend server. */
  Sent: 'sent',
  /** Waits before the next attempt. */
  Delayed: 'delayed',
  Finished: 'finished'
} as const
export type RequestState = typeof RequestState[keyof typeof RequestState]
