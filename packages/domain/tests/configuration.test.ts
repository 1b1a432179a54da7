import test from 'ava'
import fc from 'fast-check'

import { compareVersions, ConfigurationEdit, ConfigurationSet, HISTORY_LENGTH, overwrites } from '../src/index.js'
import type { ConfigurationEffect, ConfigurationValue, EditEffect, EditEvent, EditId, EditOutcome, NodeId, StoredValue } from '../src/index.js'

const NAME = 'fleet'
const START = 1_800_000_000_000

/** A store of one key that keeps every state that the key has had. */
class FakeStore {
  readonly states: Array<StoredValue | null> = [null]
  readonly applied: ConfigurationValue[] = []
  #revision = 0

  get current (): StoredValue | null {
    return this.states.at(-1) ?? null
  }

  swap (value: ConfigurationValue, modRevision: number, isEdit = true): EditEvent {
    if ((this.current?.modRevision ?? 0) !== modRevision) return { type: 'changed', stored: this.current }
    this.#revision += 1
    this.states.push({ name: NAME, modRevision: this.#revision, value })
    if (isEdit) this.applied.push(value)
    return { type: 'swapped' }
  }

  restore (steps: number): void {
    const state = this.states.at(-1 - (steps % this.states.length)) ?? null
    this.#revision = state?.modRevision ?? 0
    this.states.push(state)
  }
}

class Operator {
  readonly id: EditId
  readonly #edit: ConfigurationEdit
  #next: EditEffect
  outcome: EditOutcome | null = null

  constructor (index: number, wallTime: number) {
    this.id = `edit-${index}` as EditId
    this.#edit = new ConfigurationEdit({ name: NAME, edit: this.id, author: `operator ${index}`, text: `text ${index}`, expected: null, minRevision: 0 }, wallTime)
    this.#next = this.#edit.start()
  }

  step (store: FakeStore, fault: string, delayedSwaps: Array<() => void>): void {
    if (this.#next.type === 'finish') return
    const event = this.#next.type === 'read' ? this.#read(store, fault) : this.#swap(store, fault, delayedSwaps, this.#next)
    this.#next = this.#edit.handle(event)
    if (this.#next.type === 'finish') this.outcome = this.#next.outcome
  }

  #read (store: FakeStore, fault: string): EditEvent {
    return fault === 'not_run' ? { type: 'not_run', reason: fault } : { type: 'read', stored: store.current }
  }

  #swap (store: FakeStore, fault: string, delayedSwaps: Array<() => void>, { value, modRevision }: Extract<EditEffect, { type: 'swap' }>): EditEvent {
    if (fault === 'not_run') return { type: 'not_run', reason: fault }
    if (fault === 'late') {
      delayedSwaps.push(() => store.swap(value, modRevision))
      return { type: 'answer_lost', reason: fault }
    }
    const answer = store.swap(value, modRevision)
    return fault === 'lost' ? { type: 'answer_lost', reason: fault } : answer
  }
}

class FakeNode {
  readonly set = new ConfigurationSet()
  readonly installed: ConfigurationValue[] = []

  read (store: FakeStore, stored: StoredValue | null): void {
    this.run(store, this.set.handle({ type: 'store_read', stored: stored === null ? [] : [stored] }))
  }

  run (store: FakeStore, effects: ConfigurationEffect[]): void {
    for (const effect of effects) {
      if (effect.type === 'install') this.installed.push(effect.value)
      if (effect.type === 'write_back') {
        store.swap(effect.value, effect.modRevision, false)
        this.set.handle({ type: 'written_back', name: NAME })
      }
    }
  }
}

interface Step { readonly kind: string, readonly actor: number, readonly other: number, readonly fault: string }

const step: fc.Arbitrary<Step> = fc.record({
  kind: fc.constantFrom('operator', 'operator', 'operator', 'node', 'stale', 'peer', 'late', 'restore'),
  actor: fc.nat(3),
  other: fc.nat(20),
  fault: fc.constantFrom('none', 'none', 'lost', 'late', 'not_run')
})

interface RunResult { readonly store: FakeStore, readonly operators: Operator[], readonly nodes: FakeNode[] }

const runSteps = (steps: Step[], restores: boolean): RunResult => {
  const store = new FakeStore()
  const operators = [new Operator(0, START), new Operator(1, START), new Operator(2, START), new Operator(3, START)]
  const nodes = [new FakeNode(), new FakeNode(), new FakeNode()]
  const delayedSwaps: Array<() => void> = []
  steps.forEach(({ kind, actor, other, fault }, index) => {
    const node = nodes[actor % nodes.length]!
    if (kind === 'operator') {
      operators[actor]!.step(store, fault, delayedSwaps)
      if (operators[actor]!.outcome !== null) operators[actor] = replaceFinished(operators, actor, index)
    } else if (kind === 'node') node.read(store, store.current)
    else if (kind === 'stale') node.read(store, store.states.at(-1 - (other % store.states.length)) ?? null)
    else if (kind === 'peer') node.run(store, node.set.handle({ type: 'received', from: 'peer' as NodeId, values: nodes[other % nodes.length]!.set.valuesNewerThan([]) }))
    else if (kind === 'late') delayedSwaps.splice(other % (delayedSwaps.length + 1), 1).forEach((apply) => apply())
    else if (restores) store.restore(other)
  })
  return { store, operators: [...operators, ...finishedOperators.get(operators) ?? []], nodes }
}

const finishedOperators = new WeakMap<Operator[], Operator[]>()

const replaceFinished = (operators: Operator[], actor: number, index: number): Operator => {
  finishedOperators.set(operators, [...finishedOperators.get(operators) ?? [], operators[actor]!])
  return new Operator(100 + index, START + index * 2_000)
}

const isMonotone = (values: readonly ConfigurationValue[]): boolean =>
  values.every((value, index) => index === 0 || compareVersions(values[index - 1]!, value) < 0)

test('exactly one edit wins each revision and every reported outcome is correct', (t) => {
  fc.assert(fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const { store, operators, nodes } = runSteps(steps, false)
    const revisions = store.applied.map((value) => value.revision)
    if (new Set(revisions).size !== revisions.length) return false
    const edits = store.applied.map((value) => value.edit)
    if (new Set(edits).size !== edits.length) return false
    const chained = store.applied.every((value, index) => index === 0 || value.history[0]?.edit === store.applied[index - 1]?.edit)
    const answered = operators.every(({ id, outcome }) => {
      if (outcome?.type === 'accepted') return edits.includes(id)
      if (outcome?.type === 'lost') return !edits.includes(id) && outcome.current !== null && edits.includes(outcome.current.edit)
      return outcome?.type !== 'unavailable' || !edits.includes(id)
    })
    return chained && answered && nodes.every((node) => isMonotone(node.installed))
  }), { seed: 51, numRuns: 5_000 })
  t.pass()
})

test('a restored store reverts no node and receives the newest edit again', (t) => {
  fc.assert(fc.property(fc.array(step, { minLength: 10, maxLength: 80 }), (steps) => {
    const { store, nodes } = runSteps(steps, true)
    if (!nodes.every((node) => isMonotone(node.installed))) return false
    const newest = nodes.map((node) => node.set.value(NAME)).concat(store.current?.value ?? null)
      .reduce((best, value) => value !== null && (best === null || compareVersions(value, best) > 0) ? value : best, null)
    for (const node of [...nodes, ...nodes]) node.read(store, store.current)
    const held = [...nodes.map((node) => node.set.value(NAME)), store.current?.value ?? null]
    return held.every((value) => value?.edit === newest?.edit)
  }), { seed: 52, numRuns: 5_000 })
  t.pass()
})

const valueOf = (revision: number, edit: string, history: ConfigurationValue['history'] = []): ConfigurationValue =>
  ({ name: NAME, revision, edit: edit as EditId, author: 'a', editedAt: 0, removed: false, text: edit, history })

test('the wall time raises the revision of an edit after the store was restored', (t) => {
  const store = new FakeStore()
  const edit = new ConfigurationEdit({ name: NAME, edit: 'e' as EditId, author: 'a', text: 'x', expected: null, minRevision: 0 }, START)
  edit.start()
  const effect = edit.handle({ type: 'read', stored: store.current })
  t.is(effect.type === 'swap' ? effect.value.revision : null, START / 1_000)
})

test('an edit gets a greater revision than any node has in force, even if the store has an older one', (t) => {
  const edit = new ConfigurationEdit({ name: NAME, edit: 'e' as EditId, author: 'a', text: 'x', expected: null, minRevision: 9_000_000_000 }, START)
  edit.start()
  const effect = edit.handle({ type: 'read', stored: { name: NAME, modRevision: 4, value: valueOf(7, 'old') } })
  t.is(effect.type === 'swap' ? effect.value.revision : null, 9_000_000_001)
})

test('an edit fails if the value does not have the expected revision', (t) => {
  const edit = new ConfigurationEdit({ name: NAME, edit: 'e' as EditId, author: 'a', text: 'x', expected: 6, minRevision: 0 }, START)
  edit.start()
  const effect = edit.handle({ type: 'read', stored: { name: NAME, modRevision: 4, value: valueOf(7, 'old') } })
  t.like(effect, { type: 'finish', outcome: { type: 'lost' } })
})

test('an edit that overwrites another is reported', (t) => {
  const set = new ConfigurationSet()
  set.handle({ type: 'store_changed', stored: { name: NAME, modRevision: 1, value: valueOf(5, 'five') } })
  const effects = set.handle({ type: 'store_changed', stored: { name: NAME, modRevision: 1, value: valueOf(9, 'nine', [valueOf(4, 'four')]) } })
  t.deepEqual(effects.map((effect) => effect.type), ['report_fork', 'install', 'push'])
})

test('a truncated history shows no fork', (t) => {
  const history = Array.from({ length: HISTORY_LENGTH }, (_, index) => valueOf(100 - index, `e${100 - index}`))
  t.false(overwrites(valueOf(101, 'new', history), valueOf(10, 'e10')))
  t.true(overwrites(valueOf(101, 'new', history), valueOf(70, 'other')))
})

test('an unusable value is passed on to peers and leaves the previous one in force', (t) => {
  const set = new ConfigurationSet((value) => value.text === 'bad' ? 'not valid' : null)
  set.handle({ type: 'store_changed', stored: { name: NAME, modRevision: 1, value: valueOf(1, 'good') } })
  const effects = set.handle({ type: 'store_changed', stored: { name: NAME, modRevision: 2, value: valueOf(2, 'bad', [valueOf(1, 'good')]) } })
  t.deepEqual(effects.map((effect) => effect.type), ['report_unusable'])
  t.deepEqual(set.inForce.map((value) => value.edit), ['good' as EditId])
  t.is(set.valuesNewerThan([{ name: NAME, revision: 1, edit: 'good' as EditId }]).length, 1)
})

test('the digest depends on the versions and not on the order in which they arrive', (t) => {
  const values = [valueOf(1, 'a'), { ...valueOf(2, 'b'), name: 'organisation/x' }, { ...valueOf(3, 'c'), name: 'organisation/y' }]
  const left = new ConfigurationSet()
  const right = new ConfigurationSet()
  left.handle({ type: 'received', from: 'n' as NodeId, values })
  right.handle({ type: 'received', from: 'n' as NodeId, values: [...values].reverse() })
  t.is(left.digest, right.digest)
  right.handle({ type: 'received', from: 'n' as NodeId, values: [valueOf(4, 'd')] })
  t.not(left.digest, right.digest)
  t.deepEqual(left.outdatedNames(right.versions()), [NAME])
  t.deepEqual(right.valuesNewerThan(left.versions()).map((value) => value.name), [NAME])
})
