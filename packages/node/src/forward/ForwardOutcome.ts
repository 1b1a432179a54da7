/** Outcomes of requests, for logs and metrics. */
export const ForwardOutcome = {
  Answered: 'answered',
  ServerFailed: 'server_failed',
  Refused: 'refused',
  Lost: 'lost',
  TimedOut: 'timed_out',
  CallerDisconnected: 'caller_gone',
  /** The node has cut the caller off, because it reads too slowly. */
  CallerCutOff: 'caller_cut_off'
} as const
export type ForwardOutcome = typeof ForwardOutcome[keyof typeof ForwardOutcome]
