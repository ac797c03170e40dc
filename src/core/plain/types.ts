/** Load of the runners of a plain service. */

/** The load that a runner reports in a response. */
export interface RunnerLoad {
  /** Requests that it executes. */
  readonly running: number;
  /** Requests that wait for a slot. */
  readonly waiting: number;
  /** Requests that it executes at the same time. */
  readonly slots: number;
  /** How long work takes at the moment, relative to the usual time; undefined if not reported. */
  readonly slowness: number | undefined;
}

/** A load report with the time at which the response arrived, in milliseconds. */
export interface LoadReport {
  readonly runner: string;
  readonly at: number;
  readonly load: RunnerLoad;
}
