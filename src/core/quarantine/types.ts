/** Fingerprints that runners crashed on, as exchanged between VMs. */

/** The crash of a runner while it processed a request. */
export interface RunnerCrash {
  /** Id of the runner's instance. */
  readonly runner: string;
  /** Time since the crash, in milliseconds; clocks of VMs differ, so no absolute time is sent. */
  readonly agoMs: number;
  /** Whether the run had produced output for a while, so that its start probably did not crash the runner. Default: it had not. */
  readonly late?: boolean | undefined;
  /**
   * Whether a run was found sound since, or shortly before, so that the crash does not count. Undefined
   * if the report is of a program that does not know this; then `completedAgoMs` tells.
   */
  readonly cleared?: boolean | undefined;
}

/** Crashes and completions of the requests with one fingerprint: that of a whole request or of a prompt part. */
export interface Suspect {
  readonly fingerprint: string;
  /** The latest crashes, at most `MAX_REPORTED_CRASHES`, each of a different runner instance. */
  readonly ends: readonly RunnerCrash[];
  /** Time since a run of such a request was last found not to crash its runner, in milliseconds. Default: none was. */
  readonly completedAgoMs?: number | undefined;
}

/**
 * What may become of a request: `trial` if it has to be the only one with these fingerprints that
 * runs, `refused` if it is not sent to runners for a time.
 */
export type Verdict =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'trial'; readonly fingerprints: readonly string[] }
  | { readonly kind: 'refused'; readonly fingerprint: string; readonly forMs: number };
