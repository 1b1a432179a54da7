/** What is wrong with a YAML file that an operator wrote. */

export interface DocumentProblem {
  readonly file: string
  /** Counted from 1. */
  readonly line: number
  /** Path of the field such as `templates[2].deadline`; empty for the whole file. */
  readonly field: string
  readonly message: string
  /** What the field may hold. */
  readonly allowed: string
}

/**
 * Writes a problem in one line.
 *
 * @param problem - what is wrong
 * @returns file, line, field, what is wrong and what is allowed
 */
export const formatProblem = (problem: DocumentProblem): string => {
  const field = problem.field === '' ? 'the file' : problem.field
  return `${problem.file}:${problem.line}: ${field} ${problem.message}; allowed: ${problem.allowed}`
}
