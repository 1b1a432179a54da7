/** A problem in a YAML file of an operator. */

export interface DocumentProblem {
  readonly file: string
  /** Line number, counted from 1. */
  readonly line: number
  /** Path of the field, such as `templates[2].deadline`; empty if the problem concerns the whole file. */
  readonly field: string
  readonly message: string
  /** Phrase that describes the allowed values of the field. */
  readonly allowed: string
}

/**
 * Formats a problem in one line.
 *
 * @param problem - the problem
 * @returns file, line, field, message and allowed values
 */
export const formatProblem = (problem: DocumentProblem): string => {
  const field = problem.field === '' ? 'the file' : problem.field
  return `${problem.file}:${problem.line}: ${field} ${problem.message}; allowed: ${problem.allowed}`
}
