/** Sizes and bounds of a fuzzing run. */

/** Inputs of one batch; a sound request, the list of servers and the memory are checked after each. */
export const BATCH_INPUTS: Readonly<Record<string, number>> = {
  callers: 400,
  entries: 120,
  configuration: 40,
  evacuations: 60,
  datagrams: 400,
  nodes: 60,
  answers: 200,
  store: 12,
  settings: 6
}

/** Time within which a node serves a sound request, and uses a server that has just been registered, after any inputs. */
export const RECOVERY_MS = 10_000

/** Time after the last input in which nothing is sent, before the memory of the node is read. */
export const REST_MS = 3_000

/** Memory of the smallest machine that nodes are run on. */
export const MEMORY_BYTES = 250 * 1_000_000

/** Heap of a node on such a machine, as its deploy file sets it. */
export const HEAP_MIB = 160

/** Time within which an ordinary input at a door has to end. */
export const INPUT_MS = 5_000

/** Time within which the process exits after SIGTERM. */
export const STOP_GRACE_S = 4

export const HOST = 'fuzz.example'
export const KEY = 'key-of-the-callers'

/** Service of the sound servers, and those of the servers that answer oddly. */
export const SERVICE = { sound: 'app', odd: 'odd-app', oddEngines: 'odd-lm' } as const

/** Sizes of prompts that one engine reads, and of ones that several read. */
export const PROMPT_SIZES = ['5000,400', '250000,400', '370000,400'] as const

/** Ports on the addresses of one run. */
export const PORT = { callers: 8_060, readiness: 8_061, peers: 7_120, store: 8_068, server: 8_129 } as const
