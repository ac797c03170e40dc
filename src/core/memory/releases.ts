/** When decode memory is expected to be free. */

/** Total number of tokens expected to be free at a time. */
export interface Release {
  readonly at: number;
  readonly tokens: number;
}

/** Releases of one runner that are told apart; with more, several requests count as one release. */
const MAX_RELEASES = 256;

/**
 * When a rate limit allows the requests that fit into a runner's memory, and the tokens of each.
 * @param firstAt when it allows the first one
 * @param sizeTokens tokens of one request
 */
export function rateLimitedReleases(
  firstAt: number,
  ratePerS: number,
  memoryTokens: number,
  sizeTokens: number,
): readonly Release[] {
  const size = Math.max(1, sizeTokens);
  const requests = Math.floor(memoryTokens / size);
  // Requests that count as one release count when the last of them is allowed.
  const step = Math.max(1, Math.ceil(requests / MAX_RELEASES));
  const releases: Release[] = [];
  for (let done = 0; done < requests; done += step) {
    const part = Math.min(step, requests - done);
    const at = firstAt + ((done + part - 1) * 1000) / ratePerS;
    if (Number.isFinite(at)) releases.push({ at, tokens: part * sizeTokens });
  }
  return releases;
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
