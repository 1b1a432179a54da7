/** Serves the sample fleet until interrupted, for trying the command line manually. */
import { sampleRun, serveFleet } from './sampleFleet.js'

const fleet = await serveFleet(sampleRun())
console.log(fleet.addresses.join(','))
