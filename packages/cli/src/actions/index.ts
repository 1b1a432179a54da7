import type { Action } from '../types.js'

/** Every action of the command line; one file each in this folder. */
export const ACTIONS: Record<string, Action> = {}
