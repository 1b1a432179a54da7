/** Statuses of HTTP (RFC 9110, 15). */

const LOWEST_STATUS = 100
const HIGHEST_STATUS = 599

/**
 * @param status - status of an answer
 * @returns whether it is one of HTTP; a server that sends another one has failed
 */
export const isHttpStatus = (status: number): boolean => status >= LOWEST_STATUS && status <= HIGHEST_STATUS
