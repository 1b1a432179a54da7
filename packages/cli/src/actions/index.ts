import type { Action } from '../types.js'
import { codes } from './codes.js'
import { drain } from './drain.js'
import { explain } from './explain.js'
import { status } from './status.js'
import { timeline } from './timeline.js'
import { top } from './top.js'

/** Every action of the command line; one file each in this folder. */
export const ACTIONS: Record<string, Action> = {
  status,
  top,
  timeline,
  explain,
  drain,
  codes
}
