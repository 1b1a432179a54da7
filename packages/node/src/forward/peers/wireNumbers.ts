/**
 * Fits numbers into the fields of datagrams, whose encoder throws on any other value. A quantity becomes the nearest value of its field; numbers
 * that identify something, such as versions, have fields that hold all of them.
 */

const MAX_UINT32 = 2 ** 32 - 1
const MIN_SINT32 = -(2 ** 31)
const MAX_SINT32 = 2 ** 31 - 1
const MAX_UINT64 = 2n ** 64n - 1n

/** @returns the nearest whole number of 32 bits; 0 for NaN */
export const toUint32 = (value: number): number => nearest(value, 0, MAX_UINT32)

/** @returns the nearest whole number of 32 bits with a sign; 0 for NaN */
export const toSint32 = (value: number): number => nearest(value, MIN_SINT32, MAX_SINT32)

/** @returns the nearest whole number of 64 bits; 0 for NaN */
export const toUint64 = (value: number): bigint => {
  if (!(value > 0)) return 0n
  return value < Number(MAX_UINT64) ? BigInt(Math.round(value)) : MAX_UINT64
}

/** @returns the field for the time since an event, in milliseconds; 0 for events to come */
export const toAge = (at: number, now: number): number => toUint32(now - at)

/**
 * Nodes of earlier builds read only the lower 32 bits of a version. They then take the sender for one that is behind, and do not fetch its state.
 *
 * @param version - version of a configuration
 * @returns the field for it
 */
export const encodeConfigurationVersion = (version: number): bigint => toUint64(version)

/** @returns the version of a configuration in a field */
export const decodeConfigurationVersion = (field: bigint): number => Number(field)

const nearest = (value: number, least: number, greatest: number): number =>
  Number.isNaN(value) ? 0 : Math.min(greatest, Math.max(least, Math.round(value)))
