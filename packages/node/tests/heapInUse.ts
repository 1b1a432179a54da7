/** Measures the memory that objects of this process keep. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

setFlagsFromString('--expose-gc')
const collectGarbage = runInNewContext('gc') as () => void

/** @returns bytes of the heap and of buffers outside of it, after a garbage collection */
export const heapInUse = (): number => {
  collectGarbage()
  const { heapUsed, external } = process.memoryUsage()
  return heapUsed + external
}
