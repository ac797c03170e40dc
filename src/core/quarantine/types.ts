/** Requests that runners crashed on, as exchanged between VMs. */

/** The crash of a runner while it processed a request. */
export interface RunnerCrash {
  /** Id of the runner's instance. */
  readonly runner: string;
  /** Time since the crash, in milliseconds; clocks of VMs differ, so no absolute time is sent. */
  readonly agoMs: number;
}

/** Crashes and completions of one request. */
export interface Suspect {
  readonly fingerprint: string;
  /** The latest crashes, at most `CRASH_LIMIT`, each of a different runner instance. */
  readonly ends: readonly RunnerCrash[];
  /** Time since a runner last completed the request, in milliseconds. Default: none did. */
  readonly completedAgoMs?: number | undefined;
}
