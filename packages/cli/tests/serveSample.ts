/** Serves the sample fleet until interrupted, to look at the command line by hand. */
import { sampleRun, serveFleet } from './sampleFleet.js'

const fleet = await serveFleet(sampleRun())
console.log(fleet.addresses.join(','))
