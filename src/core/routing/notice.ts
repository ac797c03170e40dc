/** What a runner announces about itself in an answer, besides its rate limit. */

/** Announcements in one answer. */
export interface RunnerNotice {
  /** Whether the runner announces that it leaves. */
  readonly leaving: boolean;
  /** Time for which the VM that got the answer must send nothing to the runner, in milliseconds; undefined if it may. */
  readonly backoffMs: number | undefined;
  /** Values that could not be decoded, each as `NAME: VALUE`. */
  readonly unreadable: readonly string[];
}

/** The notice of an answer that announces nothing. */
export const NO_NOTICE: RunnerNotice = { leaving: false, backoffMs: undefined, unreadable: [] };
