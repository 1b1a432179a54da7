/** Orders timers behind the input of sockets. */

/**
 * Waits until input that has arrived is read. After the process was held up, expired timers run first, and would take for
 * missing what only waits to be read.
 */
export const waitingInputRead = async (): Promise<void> => {
  await new Promise<void>((resolve) => { setImmediate(resolve) })
}
