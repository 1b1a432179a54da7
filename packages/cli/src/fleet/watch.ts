/** Prints a view once, or repeatedly until the operator interrupts the program. */
import { setTimeout as sleep } from 'node:timers/promises'

/** Time between two prints of a view, in milliseconds. */
export const WATCH_INTERVAL = 2_000

const CLEAR_SCREEN = '\u001b[2J\u001b[H'

/**
 * Prints a view once, or every `WATCH_INTERVAL`. On a terminal each print replaces the previous one.
 *
 * @param repeat - whether to print the view repeatedly
 * @param view - produces the text of the view
 */
export const showView = async (repeat: boolean, view: () => Promise<string>): Promise<void> => {
  const clear = repeat && process.stdout.isTTY === true ? CLEAR_SCREEN : ''
  console.log(clear + await view())
  if (!repeat) return
  for (;;) {
    await sleep(WATCH_INTERVAL)
    console.log(clear + await view())
  }
}
