import type { Action } from '../types.js'
import { apply } from './apply.js'
import { check } from './check.js'
import { codes } from './codes.js'
import { diff } from './diff.js'
import { docs } from './docs.js'
import { drain } from './drain.js'
import { explain } from './explain.js'
import { get } from './get.js'
import { hash } from './hash.js'
import { history } from './history.js'
import { remove } from './remove.js'
import { status } from './status.js'
import { timeline } from './timeline.js'
import { top } from './top.js'

/** All actions of the command line by name; each is defined in its own file of this folder. */
export const ACTIONS: Record<string, Action> = {
  check,
  apply,
  get,
  diff,
  history,
  remove,
  hash,
  status,
  top,
  timeline,
  explain,
  drain,
  codes,
  docs
}
