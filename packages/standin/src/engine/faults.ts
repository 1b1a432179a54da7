/** Fault switches of the stand-in engine. */

/** Numbers marked "next" count down, one for each request that they hit; the others hold until set back. */
export const initialEngineFaults = () => ({
  /** Refuse connections and cut open ones for so many milliseconds. */
  downMs: 0,
  /** Next requests whose connection closes before any header of the answer, without running. */
  closeBeforeHeaders: 0,
  /** Next requests that run and whose connection closes after the headers. */
  closeAfterHeaders: 0,
  /** Next requests whose stream is cut after `cutAfterTokens`. */
  cutMidStream: 0,
  cutAfterTokens: 3,
  /** Next requests whose connection closes after half of the body, without running. */
  cutHalfBody: 0,
  /** Next streams whose events carry another request's id. */
  wrongId: 0,
  /** Next events that are swapped with those of another stream. */
  crossed: 0,
  /** Next streams that stop to send, without an end. */
  stallStreams: 0,
  /** No step runs. */
  stalled: false,
  /** Steps take so many times as long. */
  slowFactor: 1,
  ignorePriorities: false,
  ignoreFencing: false,
  /** Cancels are answered and forgotten. */
  loseCancel: false,
  /** The status stays as it is now. */
  freezeStatus: false
})

export type EngineFaults = ReturnType<typeof initialEngineFaults>
