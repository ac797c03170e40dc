/** When decode memory is expected to be free. */

/** Total number of tokens expected to be free at a time. */
export interface Release {
  readonly at: number;
  readonly tokens: number;
}

/**
 * Time until a number of tokens will be free, in milliseconds; Infinity if never. The releases are
 * sorted by time.
 */
export function waitForTokensMs(now: number, releases: readonly Release[], tokens: number): number {
  let low = 0;
  let high = releases.length;
  while (low < high) {
    const middle = Math.floor((low + high) / 2);
    if ((releases[middle]?.tokens ?? 0) >= tokens) high = middle;
    else low = middle + 1;
  }
  const release = releases[low];
  return release ? Math.max(0, release.at - now) : Infinity;
}
