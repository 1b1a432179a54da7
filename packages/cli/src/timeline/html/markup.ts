/** Builds HTML and SVG elements; every text and attribute is escaped with `escapeText`. */

const ENTITIES: Readonly<Record<string, string>> = { '&': '&amp;', '<': '&lt;', '>': '&gt;', '"': '&quot;', "'": '&#39;' }

/** HTML in which all texts are already escaped. */
export interface Markup {
  readonly html: string
}

/** Content of an element; strings and numbers are escaped, markup is inserted unchanged. */
export type Content = Markup | string | number | ReadonlyArray<Markup | string | number>

export type Attributes = Readonly<Record<string, string | number | undefined>>

/** Elements without content and end tag. */
const EMPTY_ELEMENTS: ReadonlySet<string> = new Set(['meta', 'br', 'hr'])

/**
 * Escapes a text for use inside an element or a quoted attribute.
 *
 * @param text - any text
 * @returns the text with entities for the special characters of HTML and spaces for control characters
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
 * @param name - tag name
 * @param attributes - attributes by name; undefined ones are omitted
 * @param content - content of the element
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
