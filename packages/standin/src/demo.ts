/** `npm run demo`: a fleet at work while a node and a runner die. */
import { Demonstration } from './demonstration/Demonstration.js'
import { closingLine, reportTable } from './demonstration/table.js'

const SEED = 1

const demonstration = new Demonstration(SEED, (line) => console.log(line))
const report = await demonstration.run()
for (const line of reportTable(report)) console.log(line)
console.log(closingLine(report))
const isSound = report.lost === 0 && report.doubled === 0 && !demonstration.editFailed
process.exitCode = isSound ? 0 : 1
