/** Fault switches of the stand-in key-value service. */

export const initialKeyValueFaults = () => ({
  /** Refuse connections and cut open ones for so many milliseconds. */
  downMs: 0,
  /** Answer 503 to everything. */
  unavailable: false,
  /** Available and unavailable in turn, each for so many milliseconds; 0 for never. */
  flapMs: 0,
  /** Delay of every answer, in milliseconds. */
  slowMs: 0,
  /** Next writes that take effect and whose answer is lost. */
  loseAnswers: 0,
  /** Reads answer as of so many revisions ago. */
  staleRevisions: 0,
  /** Set the store back to this revision, once; 0 for never. */
  restoreTo: 0,
  /** Limits of writes and reads; 0 for none. */
  writesPerSecond: 0,
  readsPerSecond: 0
})

export type KeyValueFaults = ReturnType<typeof initialKeyValueFaults>
