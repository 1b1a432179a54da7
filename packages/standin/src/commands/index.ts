/** The subcommands by name. */
import { engineCommand } from './engine.js'

export const COMMANDS = {
  engine: engineCommand
}
