/** Splits a stream of bytes into lines of bounded length. */
import { StringDecoder } from 'node:string_decoder'

/** Characters of one line at most: a value of 1 MiB in base64 with room for its envelope. */
const MAX_LINE = 4 * 1024 * 1024

export class LineDecoder {
  readonly #decoder = new StringDecoder('utf8')
  #rest = ''

  /**
   * Takes in bytes.
   *
   * @param piece - the next bytes of the stream
   * @returns the lines that are whole now
   * @throws RangeError where a line grows above the bound
   */
  push (piece: Buffer): string[] {
    const lines = (this.#rest + this.#decoder.write(piece)).split('\n')
    this.#rest = lines.pop() ?? ''
    if (this.#rest.length > MAX_LINE) throw new RangeError(`a line is longer than ${MAX_LINE} characters`)
    return lines
  }
}
