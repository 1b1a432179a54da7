/** The subcommands by name. */
import { engineCommand } from './engine.js'
import { loadCommand } from './load.js'
import { keyValueCommand, plainCommand, vmListCommand, weightStoreCommand } from './platform.js'

export const COMMANDS = {
  engine: engineCommand,
  'key-value': keyValueCommand,
  'vm-list': vmListCommand,
  'weight-store': weightStoreCommand,
  plain: plainCommand,
  load: loadCommand
}
