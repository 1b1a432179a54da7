/** Building blocks of the page; every text passes through `escapeText`. */

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** Markup that needs no further escaping. */
export interface Markup {
  readonly html: string
}

/** What may stand inside an element. */
export type Content = Markup | string | number | ReadonlyArray<Markup | string | number>

export type Attributes = Readonly<Record<string, string | number | undefined>>

const EMPTY_ELEMENTS: ReadonlySet<string> = new Set(['meta', 'br', 'hr'])

/**
 * Escapes a text for an element or an attribute.
 *
 * @param text - any text
 * @returns the text without characters that mean something in HTML
 */
export const escapeText = (text: string): string => text
  .replace(/[&<>"']/g, (character) => ENTITIES[character]!)
  .replace(/[^\P{Cc}\n\t]/gu, ' ')

const render = (content: Content): string => {
  if (Array.isArray(content)) return content.map(render).join('')
  if (typeof content === 'object') return (content as Markup).html
  return escapeText(String(content))
}

/**
 * Builds an element.
 *
 * @param name - of the element
 * @param attributes - those that are undefined are left out
 * @param content - texts are escaped, markup is not
 * @returns the element
 */
export const element = (name: string, attributes: Attributes = {}, content: Content = ''): Markup => {
  const attributeText = Object.entries(attributes)
    .filter(([, value]) => value !== undefined)
    .map(([attribute, value]) => ` ${attribute}="${escapeText(String(value))}"`)
    .join('')
  if (EMPTY_ELEMENTS.has(name)) return { html: `<${name}${attributeText}>` }
  return { html: `<${name}${attributeText}>${render(content)}</${name}>` }
}
