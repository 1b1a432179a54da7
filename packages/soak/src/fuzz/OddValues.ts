/** Values that are out of range, of the wrong type, too large or no text of their format. */
import type { Random } from '../Random.js'

const DEEP = 20_000
const LONG_BYTES = 100_000

/** Longest text that stands in a header; heads beyond this are refused as a whole. */
const HEADER_BYTES = 12_000

const NUMBERS = [
  '0', '-0', '1', '-1', '0.5', '1e-320', '2147483647', '2147483648', '-2147483649', '4294967295', '4294967296', '68719476736', '9007199254740991', '9007199254740993',
  '18446744073709551615', '18446744073709551616', '1e21', '1e308', '1e309', '-1e309', '1e400', '9'.repeat(400)
]

const NO_NUMBERS = ['', ' ', 'NaN', 'Infinity', '-Infinity', '0x10', '1,2', '1e', '--1', '+5', '١', 'null', 'many', '[]', '{"a":1}']

const JSON_VALUES = [
  'null', 'true', 'false', '""', '"text"', '[]', '{}', '[null]', '[[]]', '{"":{}}', '"__proto__"', '{"__proto__":{"slots":1}}', '{"constructor":null}', '"\\ud800"', '"\\u0000"', '"127.0.0.1:99999"', '"999.1.1.1:80"',
  '"127.0.0.1:0"', '"127.0.0.1"', '"[::1]:80"', '"127.0.0.1:80/x"'
]

/** Places of a JSON document that hold a value. */
type Path = ReadonlyArray<string | number>

/** Seeded odd values. */
export class OddValues {
  /** @param random - choices */
  constructor (readonly random: Random) {}

  /** @returns a number in decimal, which JSON and headers allow */
  number (): string {
    return this.random.pick(NUMBERS)
  }

  /** @returns text where a number is expected */
  numberText (): string {
    return this.random.pick([...NUMBERS, ...NO_NUMBERS])
  }

  /** @returns bytes of any value */
  bytes (most: number): Buffer {
    return Buffer.from(Array.from({ length: this.random.between(0, most) }, () => this.random.between(0, 255)))
  }

  /** @returns a value for a header that a parser accepts */
  headerValue (): string {
    const { random } = this
    const kinds = [
      () => this.numberText(),
      () => `${this.numberText()},${this.numberText()}`,
      () => 'a'.repeat(random.between(0, HEADER_BYTES)),
      () => '['.repeat(random.between(1, HEADER_BYTES)),
      () => Array.from({ length: random.between(1, 700) }, (_, index) => `${index.toString(16)}:${this.numberText()}`).join(','),
      () => Array.from({ length: random.between(0, 40) }, () => String.fromCharCode(random.between(32, 126))).join(''),
      () => Array.from({ length: random.between(1, 40) }, () => String.fromCharCode(random.between(128, 255))).join(''),
      () => random.pick(['close', 'keep-alive', 'chunked', '100-continue', 'gzip', 'timeout=-1', 'timeout=1e9, max=0', 'Bearer', 'Bearer a b', 'Wed, 21 Oct 9999 07:28:00 GMT', 'Thu, 01 Jan 1970 00:00:00 GMT', 'x, x, x', '1, 1', '\t'])
    ]
    return random.pick(kinds)().trim()
  }

  /** @returns JSON text of any value */
  json (): string {
    const { random } = this
    const kinds = [
      () => this.number(),
      () => random.pick(JSON_VALUES),
      () => random.pick(JSON_VALUES),
      () => `${'['.repeat(DEEP)}${']'.repeat(DEEP)}`,
      () => `${'{"a":'.repeat(DEEP)}1${'}'.repeat(DEEP)}`,
      () => JSON.stringify('x'.repeat(LONG_BYTES))
    ]
    return random.pick(kinds)()
  }

  /** @returns the text of a document with one of its values replaced or left out, or a text that is no such document */
  document (sound: object): string {
    const { random } = this
    const kinds = [
      () => this.changed(sound), () => this.changed(sound), () => this.changed(sound), () => this.changed(sound), () => this.changed(sound), () => this.changed(sound),
      () => JSON.stringify(sound).slice(0, random.between(0, JSON.stringify(sound).length - 1)),
      () => this.json(),
      () => '['.repeat(DEEP),
      () => this.bytes(200).toString('latin1')
    ]
    return random.pick(kinds)()
  }

  /** @returns the text of a document with one of its values replaced or left out */
  changed (sound: object, isKept: (path: Path) => boolean = () => false): string {
    const path = this.random.pick(pathsOf(sound).filter((candidate) => !isKept(candidate)))
    return replaced(sound, path, this.random.between(0, 7) === 0 ? undefined : this.json())
  }
}

const pathsOf = (value: unknown, path: Path = []): Path[] => {
  if (typeof value !== 'object' || value === null) return [path]
  return [path, ...Object.entries(value).flatMap(([key, child]) => pathsOf(child, [...path, key]))]
}

/** JSON text of a value in which the one at a path is replaced by a text, which need not be a value of JavaScript; undefined leaves it out. */
const replaced = (value: unknown, path: Path, text: string | undefined): string => {
  const [first, ...rest] = path
  if (first === undefined) return text ?? ''
  const children = Object.entries(value as object).flatMap(([key, child]) => {
    const isOnPath = key === String(first)
    if (isOnPath && rest.length === 0 && text === undefined) return []
    return [[key, isOnPath ? replaced(child, rest, text) : JSON.stringify(child)] as const]
  })
  if (Array.isArray(value)) return `[${children.map(([, child]) => child).join(',')}]`
  return `{${children.map(([key, child]) => `${JSON.stringify(key)}:${child ?? 'null'}`).join(',')}}`
}
