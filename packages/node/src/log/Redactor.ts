/** Keeps secrets and prompts out of the log. */

/** Stands in for what was removed. */
export const REDACTED = '[redacted]'

/** Longest value of a field, in characters. */
export const MAX_VALUE_LENGTH = 240

/** Shortest registered secret; a shorter one would blot out ordinary words. */
const MIN_SECRET_LENGTH = 6

/** Names of fields, compared in lower case without punctuation, whose values are never logged. */
const SECRET_NAMES: ReadonlySet<string> = new Set([
  'apikey', 'apikeys', 'authorization', 'body', 'content', 'cookie', 'credentials', 'headers', 'input', 'key',
  'idempotencykey', 'message', 'messages', 'output', 'password', 'payload', 'prompt', 'prompts', 'secret', 'secrets',
  'text', 'token', 'xapikey'
])

const CREDENTIAL_PATTERNS = [
  /\b(bearer|basic)\s+[^\s"',;]+/gi,
  /\b(sk|bbh)[-_][A-Za-z0-9_-]{8,}/gi,
  /(api[-_ ]?key|authorization|password|secret|idempotency-key)("?\s*[:=]\s*"?)[^\s"',;&]+/gi,
  /-----BEGIN [A-Z ]+-----[\s\S]*?(-----END [A-Z ]+-----|$)/g
]

const normalizedName = (name: string): string => name.toLowerCase().replace(/[^a-z0-9]/g, '')

const escapeControl = (text: string): string => text.replace(/[\p{Cc}\u2028\u2029]/gu, ' ')

/** Removes registered secrets, credentials and the values of fields that hold prompts. */
export class Redactor {
  private secrets: string[] = []

  /**
   * Registers a secret, so that it is removed wherever it appears.
   *
   * @param secret - its plain text; ignored when shorter than six characters
   */
  addSecret (secret: string): void {
    if (secret.length < MIN_SECRET_LENGTH || this.secrets.includes(secret)) return
    this.secrets.push(secret)
    // the longest first, so that a secret which contains another is removed whole
    this.secrets.sort((left, right) => right.length - left.length)
  }

  /**
   * Cleans the value of a field.
   *
   * @param name - the field's name
   * @param value - what to log
   * @returns one line of text, at most 240 characters long
   */
  field (name: string, value: unknown): string {
    if (SECRET_NAMES.has(normalizedName(name))) return REDACTED
    return this.text(describe(value))
  }

  /**
   * Cleans free text.
   *
   * @param text - the text
   * @returns one line without secrets, at most 240 characters long
   */
  text (text: string): string {
    let clean = text
    for (const secret of this.secrets) clean = clean.replaceAll(secret, REDACTED)
    for (const pattern of CREDENTIAL_PATTERNS) clean = clean.replace(pattern, REDACTED)
    return escapeControl(clean).slice(0, MAX_VALUE_LENGTH)
  }
}

const describeError = (error: Error): string => {
  // the message of a syntax error quotes the text that could not be parsed, which may be a prompt
  if (error instanceof SyntaxError) return `${error.name}: the text could not be parsed`
  const code = 'code' in error && typeof error.code === 'string' ? ` (${error.code})` : ''
  return `${error.name}: ${error.message}${code}`
}

const describe = (value: unknown): string => {
  if (value instanceof Error) return describeError(value)
  if (Array.isArray(value)) return value.map(describe).join(',')
  if (typeof value === 'object' && value !== null) return REDACTED
  return String(value)
}
