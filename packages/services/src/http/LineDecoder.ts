/** Splits a UTF-8 byte stream into lines of bounded length. */
import { StringDecoder } from 'node:string_decoder'

/** Maximum length of a line: enough for a value of 1 MiB in base64 with the JSON around it. */
const MAX_LINE_CHARACTERS = 4 * 1024 * 1024

export class LineDecoder {
  readonly #decoder = new StringDecoder('utf8')
  #incompleteLine = ''

  /**
   * Decodes the next bytes of the stream.
   *
   * @param chunk - next bytes of the stream
   * @returns the lines that these bytes complete, without line ends
   * @throws RangeError if the incomplete line exceeds the maximum length
   */
  push (chunk: Buffer): string[] {
    const lines = (this.#incompleteLine + this.#decoder.write(chunk)).split('\n')
    this.#incompleteLine = lines.pop() ?? ''
    if (this.#incompleteLine.length > MAX_LINE_CHARACTERS) throw new RangeError(`a line is longer than ${MAX_LINE_CHARACTERS} characters`)
    return lines
  }
}
