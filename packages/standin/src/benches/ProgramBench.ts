/** A bench that another package brings as a program of its own. */
import { spawn } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { fileURLToPath } from 'node:url'

import { Bench } from './types.js'
import type { BenchOptions, BenchReport } from './types.js'

const PACKAGES = new URL('../../../../', import.meta.url)

/** Runs a program that takes `--seed` and `--json`. */
export class ProgramBench extends Bench {
  private readonly program: string

  /**
   * @param name - of the bench
   * @param description - one line
   * @param path - of the compiled program, from the folder of the packages
   */
  constructor (override readonly name: string, override readonly description: string, path: string) {
    super()
    this.program = fileURLToPath(new URL(path, PACKAGES))
  }

  override async run ({ seed, progress }: BenchOptions): Promise<BenchReport> {
    const folder = mkdtempSync(join(tmpdir(), 'bluebellhill-bench-'))
    const file = join(folder, 'report.json')
    try {
      const code = await this.execute(['--seed', String(seed), '--json', file], progress)
      const report = this.read(file)
      if (!report) throw new Error(`the bench ${this.name} ended with ${code} and gave no report`)
      return report
    } finally {
      rmSync(folder, { recursive: true, force: true })
    }
  }

  private async execute (args: readonly string[], progress: (line: string) => void): Promise<number | null> {
    const child = spawn(process.execPath, [this.program, ...args], { stdio: ['ignore', 'pipe', 'inherit'] })
    createInterface({ input: child.stdout }).on('line', progress)
    return await new Promise((resolve) => child.once('close', resolve))
  }

  private read (file: string): BenchReport | null {
    try {
      return JSON.parse(readFileSync(file, 'utf8')) as BenchReport
    } catch {
      return null
    }
  }
}
