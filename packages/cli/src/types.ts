import type { CommandDef } from 'citty'

/** One action (subcommand) of the command line, as a citty command definition. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- citty's own type argument differs by action
export type Action = CommandDef<any>
