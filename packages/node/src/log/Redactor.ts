/** Removes secrets and prompts from the text of log lines. */

/** Replacement for removed text. */
export const REDACTED = '[redacted]'

/** Maximum length of a field value in characters; longer values are truncated. */
export const MAX_VALUE_LENGTH = 240

/** Minimum length of a registered secret; removing a shorter one would also remove ordinary words. */
const MIN_SECRET_LENGTH = 6

/** Names of fields whose values are never logged; compared in lower case without punctuation. */
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
   * Registers a secret, which is then removed from all text.
   *
   * @param secret - plain text of the secret; ignored if shorter than six characters
   */
  addSecret (secret: string): void {
    if (secret.length < MIN_SECRET_LENGTH || this.secrets.includes(secret)) return
    this.secrets.push(secret)
    // longest first, so that a secret that contains another one is removed completely
    this.secrets.sort((left, right) => right.length - left.length)
  }

  /**
   * Formats the value of a field without secrets and prompts. Objects are replaced as a whole, since they may contain prompts.
   *
   * @param name - name of the field
   * @param value - value of the field
   * @returns one line of text, at most 240 characters long
   */
  field (name: string, value: unknown): string {
    if (SECRET_NAMES.has(normalizedName(name))) return REDACTED
    return this.text(describe(value))
  }

  /**
   * Removes secrets and control characters from free text.
   *
   * @param text - text to log
   * @returns one line of text, at most 240 characters long
   */
  text (text: string): string {
    let clean = text
    for (const secret of this.secrets) clean = clean.replaceAll(secret, REDACTED)
    for (const pattern of CREDENTIAL_PATTERNS) clean = clean.replace(pattern, REDACTED)
    return escapeControl(clean).slice(0, MAX_VALUE_LENGTH)
  }
}

const describeError = (error: Error): string => {
  // the message of a syntax error quotes the text that could not be parsed, which may contain a prompt
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
