/** Selects the facts on what crashes servers that the next message to other nodes contains. */
import type { CrashReport, Trial, QuarantineFacts, Recurrence, ServerSurvival, SoundAnswer } from '@bluebellhill/domain'

/** Kinds of facts. */
export const FactKind = {
  Crash: 'crash',
  Survival: 'survival',
  Trial: 'trial',
  Sound: 'sound',
  Recurrence: 'recurrence'
} as const
export type FactKind = typeof FactKind[keyof typeof FactKind]

/** One fact of any kind. */
export type Fact =
  | { readonly kind: typeof FactKind.Crash, readonly fact: CrashReport }
  | { readonly kind: typeof FactKind.Survival, readonly fact: ServerSurvival }
  | { readonly kind: typeof FactKind.Trial, readonly fact: Trial }
  | { readonly kind: typeof FactKind.Sound, readonly fact: SoundAnswer }
  | { readonly kind: typeof FactKind.Recurrence, readonly fact: Recurrence }

/** New facts that wait for a message; beyond, the oldest are sent in turn like all others. */
const MAX_NEW_FACTS = 256

/** Bytes of the new facts in one message: few enough that a datagram with statements of servers stays below the usual packet size. */
const MAX_NEW_BYTES = 600

/** Bytes of the facts that are repeated in turn in each message: a few, since messages are sent all the time. */
const MAX_REPEATED_BYTES = 250

/** Bytes of a fact on the wire besides the ids in it. */
const FACT_BYTES = 24

/** Messages with which a node that starts is told what is known. */
const MAX_MESSAGES_AT_START = 8

/** New facts come first; the others follow in turn, so that a lost message is made up for by a later one. */
export class FactQueue {
  readonly #new = new Set<string>()
  #position = 0

  /** @param facts - returns all facts that other nodes need */
  constructor (private readonly facts: () => QuarantineFacts) {}

  /** Whether a new fact has not been selected yet. */
  get hasNew (): boolean {
    return this.#new.size > 0
  }

  /** @param fact - a fact that other nodes should know at once */
  markNew (fact: Fact): void {
    this.#new.add(keyOf(fact))
    if (this.#new.size <= MAX_NEW_FACTS) return
    const [oldest] = this.#new
    if (oldest !== undefined) this.#new.delete(oldest)
  }

  /** @returns the facts of the next message: new ones, which count as sent, and some others in turn */
  next (): QuarantineFacts {
    const all = listFacts(this.facts())
    const unsent = all.filter((fact) => this.#new.has(keyOf(fact)))
    const selected = firstWithin(unsent, MAX_NEW_BYTES)
    for (const fact of selected) this.#new.delete(keyOf(fact))
    // A fact that is no longer among those which other nodes need is not waited for.
    if (selected.length === unsent.length) this.#new.clear()
    if (sizeOfAll(selected) >= MAX_REPEATED_BYTES) return collect(selected)
    const isUnsent = new Set(unsent)
    const others = all.filter((fact) => !isUnsent.has(fact))
    return collect([...selected, ...this.#nextInTurn(others, MAX_REPEATED_BYTES - sizeOfAll(selected))])
  }

  /** @returns some facts in turn; new ones stay unsent */
  nextRepeated (): QuarantineFacts {
    return collect(this.#nextInTurn(listFacts(this.facts()), MAX_REPEATED_BYTES))
  }

  /** @returns the facts for a node that has just started, divided into messages */
  everything (): QuarantineFacts[] {
    const messages: QuarantineFacts[] = []
    let rest = listFacts(this.facts())
    while (rest.length > 0 && messages.length < MAX_MESSAGES_AT_START) {
      const selected = firstWithin(rest, MAX_NEW_BYTES)
      messages.push(collect(selected))
      rest = rest.slice(selected.length)
    }
    return messages
  }

  #nextInTurn (facts: readonly Fact[], bytes: number): Fact[] {
    if (facts.length === 0) return []
    const start = this.#position % facts.length
    const selected = firstWithin([...facts.slice(start), ...facts.slice(0, start)], bytes)
    this.#position = start + selected.length
    return selected
  }
}

/**
 * @param facts - facts of all kinds
 * @returns a list of them, those that bear on a crash first: the sound answers of other parts decide little
 */
export const listFacts = ({ crashes, survivals, trials, sounds, recurrences = [] }: QuarantineFacts): Fact[] => {
  const suspected = new Set(crashes.flatMap(({ parts }) => parts))
  const isSuspected = ({ part }: SoundAnswer): boolean => suspected.has(part)
  return [
    ...crashes.map((fact): Fact => ({ kind: FactKind.Crash, fact })),
    ...survivals.map((fact): Fact => ({ kind: FactKind.Survival, fact })),
    ...trials.map((fact): Fact => ({ kind: FactKind.Trial, fact })),
    ...recurrences.map((fact): Fact => ({ kind: FactKind.Recurrence, fact })),
    ...sounds.filter(isSuspected).map((fact): Fact => ({ kind: FactKind.Sound, fact })),
    ...sounds.filter((sound) => !isSuspected(sound)).map((fact): Fact => ({ kind: FactKind.Sound, fact }))
  ]
}

/** @returns the first facts that need no more than a number of bytes; at least one if there is any */
const firstWithin = (facts: readonly Fact[], bytes: number): Fact[] => {
  let used = 0
  const end = facts.findIndex((fact) => {
    used += sizeOf(fact)
    return used > bytes
  })
  return end === -1 ? [...facts] : facts.slice(0, Math.max(1, end))
}

const sizeOfAll = (facts: readonly Fact[]): number => facts.reduce((sum, fact) => sum + sizeOf(fact), 0)

const sizeOf = ({ kind, fact }: Fact): number => {
  switch (kind) {
    case FactKind.Crash:
      return FACT_BYTES + fact.server.length + fact.reportedBy.length + fact.parts.reduce((sum, part) => sum + part.length + 2, 0)
    case FactKind.Survival:
      return FACT_BYTES + fact.server.length
    case FactKind.Trial:
      return FACT_BYTES + fact.part.length + fact.grantedBy.length
    case FactKind.Recurrence:
      return FACT_BYTES + fact.part.length
    case FactKind.Sound:
      return FACT_BYTES + fact.part.length + (fact.service?.length ?? 0)
  }
}

const keyOf = ({ kind, fact }: Fact): string => {
  switch (kind) {
    case FactKind.Crash:
      return [kind, fact.server, fact.startedAt, fact.reportedBy].join('/')
    case FactKind.Survival:
      return [kind, fact.server, fact.startedAt].join('/')
    case FactKind.Trial:
    case FactKind.Recurrence:
      return [kind, fact.part].join('/')
    case FactKind.Sound:
      return [kind, fact.part, fact.part === '' ? fact.service : ''].join('/')
  }
}

const collect = (facts: readonly Fact[]): QuarantineFacts => ({
  crashes: facts.flatMap(({ kind, fact }) => kind === FactKind.Crash ? [fact] : []),
  survivals: facts.flatMap(({ kind, fact }) => kind === FactKind.Survival ? [fact] : []),
  sounds: facts.flatMap(({ kind, fact }) => kind === FactKind.Sound ? [fact] : []),
  trials: facts.flatMap(({ kind, fact }) => kind === FactKind.Trial ? [fact] : []),
  recurrences: facts.flatMap(({ kind, fact }) => kind === FactKind.Recurrence ? [fact] : [])
})
