/** `npm run demo`: a fleet at work while a node and a runner die. */
import { Demonstration } from './demonstration/Demonstration.js'
import { closingLine, reportTable } from './demonstration/table.js'

const SEED = 1

const report = await new Demonstration(SEED, (line) => console.log(line)).run()
for (const line of reportTable(report)) console.log(line)
console.log(closingLine(report))
process.exitCode = report.lost === 0 && report.doubled === 0 ? 0 : 1
