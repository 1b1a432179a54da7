/** Derives what a node may hold from the settings of its VM. */
import { bufferLimit, callerConnectionLimit, heapRequestLimit, openRequestLimit, peerConnectionLimit, sentAheadLimit } from '@bluebellhill/domain'
import type { PlatformSettings } from '@bluebellhill/platform'

import type { NodeBuffersOptions } from './buffers/NodeBuffers.js'

/** Largest numbers of connections that others may open to a node. */
export interface ConnectionLimits {
  readonly callers: number
  readonly peers: number
}

/**
 * @param settings - settings of the node
 * @returns its limits of connections; Infinity where the settings state no descriptors
 */
export const connectionLimitsOf = ({ fileDescriptors }: PlatformSettings): ConnectionLimits => fileDescriptors === null
  ? { callers: Infinity, peers: Infinity }
  : { callers: callerConnectionLimit(fileDescriptors), peers: peerConnectionLimit(fileDescriptors) }

/**
 * @param settings - settings of the node
 * @param heap - largest heap of its process in bytes
 * @returns its limits of buffers and requests; none where the settings state no memory
 */
export const bufferLimitsOf = (settings: PlatformSettings, heap: number): Pick<NodeBuffersOptions, 'limit' | 'requestLimit' | 'sentAheadLimit'> => {
  const { memory } = settings
  if (memory === null) return { limit: null }
  return {
    limit: bufferLimit(memory),
    requestLimit: Math.min(openRequestLimit(memory), heapRequestLimit(heap), connectionLimitsOf(settings).callers),
    sentAheadLimit: sentAheadLimit(memory)
  }
}
