/** Checks addresses that a document or another process states before anything connects to them. */
import { isIPv4 } from 'node:net'

const MAX_PORT = 65_535

/** Without leading zeros, which some parsers take for octal numbers. */
const PORT = /^[1-9]\d{0,4}$/

/**
 * @param text - text of any origin
 * @returns whether it is `ip:port` with an IPv4 address and a port that connections and datagrams can be sent to
 */
export const isSocketAddress = (text: string): boolean => {
  const [host = '', port = '', ...rest] = text.split(':')
  return rest.length === 0 && isIPv4(host) && PORT.test(port) && Number(port) <= MAX_PORT
}
