import type { CommandDef } from 'citty'

/** One action of the command line, as citty takes it. */
// eslint-disable-next-line @typescript-eslint/no-explicit-any -- citty's own type argument differs by action
export type Action = CommandDef<any>
