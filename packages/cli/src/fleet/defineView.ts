/** Defines actions that show a view of the fleet, once or repeatedly. */
import { defineCommand } from 'citty'
import type { CommandDef } from 'citty'

import { runAction } from '../terminal/index.js'
import type { ActionMeta } from '../terminal/index.js'
import { durationOption, FLEET_ARGS } from './args.js'
import { parseNodeAddresses } from './nodes.js'
import { showView } from './watch.js'

const VIEW_ARGS = {
  ...FLEET_ARGS,
  watch: { type: 'boolean', description: 'repeat every two seconds', default: false }
} as const

/** What a view shows, and how. */
export interface ViewQuery {
  /** Admin addresses of the nodes. */
  readonly nodes: readonly string[]
  /** Time limit for the answer of a node, in milliseconds. */
  readonly timeout: number
  readonly isJson: boolean
  /** Indentation of JSON; 0 for one line a print. */
  readonly indent: number
}

/**
 * @param meta - name, description and examples of the action
 * @param view - produces the text of the view
 * @returns the action
 */
export const defineView = (meta: ActionMeta, view: (query: ViewQuery) => Promise<string>): CommandDef<typeof VIEW_ARGS> => defineCommand({
  meta,
  args: VIEW_ARGS,
  run: ({ args }) => runAction(args, async () => {
    const query: ViewQuery = { nodes: parseNodeAddresses(args.nodes, process.env), timeout: durationOption('timeout', args.timeout), isJson: args.json, indent: args.watch ? 0 : 2 }
    await showView(args.watch, async () => await view(query))
  })
})
