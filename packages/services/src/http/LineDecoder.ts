/** Splits a stream of bytes into lines of bounded length. */
import { StringDecoder } from 'node:string_decoder'

/** Characters of one line at most: a value of 1 MiB in base64 with room for its envelope. */
const MAX_LINE_CHARACTERS = 4 * 1024 * 1024

export class LineDecoder {
  readonly #decoder = new StringDecoder('utf8')
  #incompleteLine = ''

  /**
   * Takes in bytes.
   *
   * @param chunk - the next bytes of the stream
   * @returns the lines that are whole now
   * @throws RangeError where a line grows above the bound
   */
  push (chunk: Buffer): string[] {
    const lines = (this.#incompleteLine + this.#decoder.write(chunk)).split('\n')
    this.#incompleteLine = lines.pop() ?? ''
    if (this.#incompleteLine.length > MAX_LINE_CHARACTERS) throw new RangeError(`a line is longer than ${MAX_LINE_CHARACTERS} characters`)
    return lines
  }
}
