/** Repeats a view until the operator stops it. */
import { setTimeout as sleep } from 'node:timers/promises'

/** Time between two views, in milliseconds. */
export const WATCH_INTERVAL = 2_000

const CLEAR_SCREEN = '\u001b[2J\u001b[H'

/**
 * Shows a view once, or again and again. On a terminal each view takes the place of the one before.
 *
 * @param repeat - whether to go on
 * @param view - makes the text
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
