/** The account of all work on the engines: this node's own, and what each peer last said of its own. */
import type { Millis, NodeId, RunnerId, Tokens } from '../types.js'

/** One request on an engine, from the moment at which it is sent there. */
export interface Work {
  /** Distinguishes the works of one node. */
  readonly key: number
  readonly runner: RunnerId
  /** Engines that read parts of the prompt for `runner`; empty once the prompt is read. */
  readonly helpers: readonly RunnerId[]
  readonly prompt: Tokens
  /** Expected length of the answer. */
  readonly answer: Tokens
  readonly sentAt: Millis
  /** When its first event arrived; null while the prompt is waiting or read. */
  readonly firstEventAt: Millis | null
  /** Longest pause between events that keeps the answer on time; null where there is none. */
  readonly pauseObjective: Millis | null
  /** When its first event is due. */
  readonly dueAt: Millis
}

/** What one engine has to do. */
export interface RunnerWork {
  /** Requests that are read or wait to be read there. */
  readonly reading: readonly Work[]
  /** Requests of other engines of which it reads a part. */
  readonly helping: readonly Work[]
  /** Requests that are written for. */
  readonly writing: readonly Work[]
}

const NO_WORK: RunnerWork = { reading: [], helping: [], writing: [] }

interface MutableRunnerWork {
  reading: Work[]
  helping: Work[]
  writing: Work[]
}

interface PeerWork {
  readonly works: readonly Work[]
  readonly heardAt: Millis
}

/** Age at which what a peer said of its work no longer counts: it has stopped or cannot be reached. */
export const PEER_WORK_EXPIRY: Millis = 1_500

/** All work on the engines, as far as this node knows. */
export class FleetWork {
  readonly #own = new Map<number, Work>()
  readonly #peers = new Map<NodeId, PeerWork>()
  #nextKey = 1

  /** @returns this node's own work */
  own (): readonly Work[] {
    return [...this.#own.values()]
  }

  /**
   * Enters work of this node.
   *
   * @param work - what is sent, without its key
   * @returns the work with its key
   */
  begin (work: Omit<Work, 'key'>): Work {
    const entered = { ...work, key: this.#nextKey++ }
    this.#own.set(entered.key, entered)
    return entered
  }

  /**
   * Notes that the prompt of this node's work is read.
   *
   * @param key - key of the work
   * @param now - time
   */
  firstEvent (key: number, now: Millis): void {
    const work = this.#own.get(key)
    if (work !== undefined) this.#own.set(key, { ...work, helpers: [], firstEventAt: now })
  }

  /**
   * Removes work of this node.
   *
   * @param key - key of the work
   */
  end (key: number): void {
    this.#own.delete(key)
  }

  /**
   * Replaces what is known of a peer's work.
   *
   * @param node - the peer
   * @param works - all its work
   * @param now - time
   */
  hear (node: NodeId, works: readonly Work[], now: Millis): void {
    this.#peers.set(node, { works, heardAt: now })
  }

  /**
   * Forgets a peer.
   *
   * @param node - the peer
   */
  forget (node: NodeId): void {
    this.#peers.delete(node)
  }

  /**
   * Adds up the work of all nodes by engine.
   *
   * @param now - time
   * @returns work by engine; engines without work are left out
   */
  byRunner (now: Millis): RunnerWorks {
    const works = new RunnerWorks()
    for (const work of this.#own.values()) works.add(work)
    for (const { works: theirs, heardAt } of this.#peers.values()) {
      if (now - heardAt > PEER_WORK_EXPIRY) continue
      for (const work of theirs) works.add(work)
    }
    return works
  }
}

/** Work by engine. */
export class RunnerWorks {
  readonly #works = new Map<RunnerId, MutableRunnerWork>()

  /**
   * @param runner - the engine
   * @returns its work
   */
  of (runner: RunnerId): RunnerWork {
    return this.#works.get(runner) ?? NO_WORK
  }

  /**
   * Enters work on its engine and on those that help it.
   *
   * @param work - the work
   */
  add (work: Work): void {
    const owner = this.#entry(work.runner)
    if (work.firstEventAt === null) owner.reading.push(work)
    else owner.writing.push(work)
    for (const helper of work.helpers) this.#entry(helper).helping.push(work)
  }

  #entry (runner: RunnerId): MutableRunnerWork {
    const known = this.#works.get(runner)
    if (known !== undefined) return known
    const entry: MutableRunnerWork = { reading: [], helping: [], writing: [] }
    this.#works.set(runner, entry)
    return entry
  }
}
