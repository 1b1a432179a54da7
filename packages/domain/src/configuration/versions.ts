/** Orders configuration values by version and determines which edits they are based on. */
import { HISTORY_LENGTH, REVISION_PERIOD_MS } from './constants.js'
import type { ConfigurationValue, EditId, EditRecord } from './types.js'

/**
 * Compares two versions of one value. The order is total, so that all nodes choose the same one.
 *
 * @param left - one version
 * @param right - the other
 * @returns negative, zero or positive if the left one is older, the same or newer
 */
export const compareVersions = (left: Pick<EditRecord, 'revision' | 'edit'>, right: Pick<EditRecord, 'revision' | 'edit'>): number => {
  if (left.revision !== right.revision) return left.revision - right.revision
  if (left.edit === right.edit) return 0
  return left.edit < right.edit ? -1 : 1
}

/**
 * Whether a value was made by an edit or is based on it.
 *
 * @param value - the later value
 * @param edit - the earlier edit
 * @returns true if the edit is the value's own or in its history
 */
export const includesEdit = (value: ConfigurationValue, edit: EditId): boolean =>
  value.edit === edit || value.history.some((record) => record.edit === edit)

/**
 * Whether the history of a value proves that the value is not based on an earlier edit.
 *
 * @param value - the newer value
 * @param record - the edit that it replaces
 * @returns true if the history reaches back far enough to show that the edit is missing
 */
export const overwrites = (value: ConfigurationValue, record: EditRecord): boolean => {
  if (includesEdit(value, record.edit)) return false
  const oldest = value.history.at(-1)
  return value.history.length < HISTORY_LENGTH || (oldest !== undefined && oldest.revision <= record.revision)
}

/**
 * Chooses the revision of a new edit. It grows with the wall time as well as with the edits, so that an edit made
 * after the store was restored to an older state is newer than the edits that the store lost.
 *
 * @param base - the value that is edited; null if there is none
 * @param wallTime - milliseconds since the epoch
 * @returns a revision above that of the base
 */
export const nextRevision = (base: Pick<EditRecord, 'revision'> | null, wallTime: number): number =>
  Math.max((base?.revision ?? 0) + 1, Math.floor(wallTime / REVISION_PERIOD_MS))

/**
 * Returns the history of an edit that is based on a value.
 *
 * @param base - the value that is edited; null if there is none
 * @returns the base's own edit and the earlier ones, newest first, at most `HISTORY_LENGTH`
 */
export const historyAfter = (base: ConfigurationValue | null): EditRecord[] => {
  if (base === null) return []
  const { revision, edit, author, editedAt, history } = base
  return [{ revision, edit, author, editedAt }, ...history].slice(0, HISTORY_LENGTH)
}
