/** Outcomes of requests, for logs and metrics. */
export const ForwardOutcome = {
  Answered: 'answered',
  ServerFailed: 'server_failed',
  Refused: 'refused',
  Lost: 'lost',
  TimedOut: 'timed_out',
  CallerDisconnected: 'caller_gone'
} as const
export type ForwardOutcome = typeof ForwardOutcome[keyof typeof ForwardOutcome]
