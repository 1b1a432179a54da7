/** Keeps requests apart from each other that may crash the servers that run them. */
import type { RunnerId, ServerLoads, Suspect } from '@bluebellhill/domain'

interface IsolatedAttempt {
  readonly server: RunnerId
  readonly suspect: Suspect
}

/** Attempts of suspected requests that a scheduler has placed, from then until they are prefilled or end. */
export class IsolatedAttempts {
  /** By the id of the assignment. */
  readonly #attempts = new Map<string, IsolatedAttempt>()

  /**
   * @param assignment - id of the attempt's assignment
   * @param attempt - where it is placed, and the request
   */
  add (assignment: string, attempt: IsolatedAttempt): void {
    this.#attempts.set(assignment, attempt)
  }

  /**
   * @param loads - current loads of all servers; attempts that are no longer among them have ended
   * @returns the attempts in progress
   */
  inProgress (loads: ServerLoads): IsolatedAttempt[] {
    for (const [id, { server }] of this.#attempts) {
      const assignment = loads.get(server).requests.find((request) => request.id === id)
      if (assignment === undefined || assignment.isPrefilled) this.#attempts.delete(id)
    }
    return [...this.#attempts.values()]
  }
}
