/** Fault switches that a test sets over HTTP. */

/**
 * Sets switches from a received object.
 *
 * @param faults - the switches, changed in place
 * @param wanted - new values by name
 * @throws when a name is unknown or a value has another type
 */
export const setFaults = <Faults extends object>(faults: Faults, wanted: Readonly<Record<string, unknown>>): void => {
  const switches = faults as Record<string, unknown>
  for (const [name, value] of Object.entries(wanted)) {
    if (!(name in switches)) throw new Error(`unknown fault "${name}"; known: ${Object.keys(switches).join(', ')}`)
    if (typeof value !== typeof switches[name]) throw new Error(`fault "${name}" takes a ${typeof switches[name]}`)
    switches[name] = value
  }
}

/** Names of the switches of type number. */
export type CountedFault<Faults> = { [Name in keyof Faults]: Faults[Name] extends number ? Name : never }[keyof Faults]

/**
 * Uses up one hit of a fault that counts down.
 *
 * @param faults - the switches
 * @param name - the counting one
 * @returns whether the fault hits now
 */
export const takeFault = <Faults extends object>(faults: Faults, name: CountedFault<Faults>): boolean => {
  const counts = faults as Record<CountedFault<Faults>, number>
  if (counts[name] <= 0) return false
  counts[name]--
  return true
}
