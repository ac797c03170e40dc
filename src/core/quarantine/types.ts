/** Requests under which runners ended, as VMs tell each other of them. */

/** The end of a runner under a request. */
export interface RunnerCrash {
  /** Id of that start of the runner. */
  readonly runner: string;
  /** Time since then, in milliseconds: clocks of VMs differ, so no absolute time crosses. */
  readonly agoMs: number;
}

/** What is known of one request. */
export interface Suspect {
  readonly fingerprint: string;
  /** The latest ends under it, at most `ENDS`, each of another start of a runner. */
  readonly ends: readonly RunnerCrash[];
  /** Time since a runner last ran it to a whole answer, in milliseconds. Default: none did. */
  readonly completedAgoMs?: number | undefined;
}
