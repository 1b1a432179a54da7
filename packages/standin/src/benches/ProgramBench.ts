/** A bench that another package brings as a program of its own. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

import { Bench } from './types.js'
import type { BenchOptions, BenchReport, Bound } from './types.js'

const PACKAGES = new URL('../../../../', import.meta.url)

/** How a program differs from the others. */
export interface ProgramForm {
  /** False for a program without randomness. */
  readonly takesSeed: boolean
}

/** Runs a program that takes `--json`, and `--seed` where it draws anything. */
export class ProgramBench extends Bench {
  private readonly program: string

  /**
   * @param name - of the bench
   * @param description - one line
   * @param path - of the compiled program, from the folder of the packages
   * @param form - what the program takes
   */
  constructor (override readonly name: string, override readonly description: string, path: string, private readonly form: ProgramForm = { takesSeed: true }) {
    super()
    this.program = fileURLToPath(new URL(path, PACKAGES))
  }

  override async run ({ seed, progress }: BenchOptions): Promise<BenchReport> {
    const folder = mkdtempSync(join(tmpdir(), 'bluebellhill-bench-'))
    const file = join(folder, 'report.json')
    try {
      const words = this.form.takesSeed ? ['--seed', String(seed)] : []
      const code = await this.execute([...words, '--json', file], progress)
      return this.read(file, seed, code)
    } finally {
      rmSync(folder, { recursive: true, force: true })
    }
  }

  private async execute (args: readonly string[], progress: (line: string) => void): Promise<number | null> {
    const child = spawn(process.execPath, [this.program, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    createInterface({ input: child.stdout }).on('line', progress)
    return await new Promise((resolve) => child.once('close', resolve))
  }

  private read (file: string, seed: number, code: number | null): BenchReport {
    let text: string
    try {
      text = readFileSync(file, 'utf8')
    } catch {
      throw new Error(`the bench ${this.name} ended with ${code} and gave no report`)
    }
    const { figures, bounds, ...rest } = JSON.parse(text) as Record<string, unknown>
    // Some programs name their bounds without a verdict; those stay among the figures.
    if (areBounds(bounds)) return { bench: this.name, seed, figures: figures ?? rest, bounds }
    return { bench: this.name, seed, figures: { ...rest, figures, bounds }, bounds: [] }
  }
}

const areBounds = (value: unknown): value is Bound[] =>
  Array.isArray(value) && value.every((bound: unknown) => typeof (bound as Bound).met === 'boolean')
