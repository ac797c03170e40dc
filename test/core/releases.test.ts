import { rateLimitedReleases } from '../../src/core/memory/releases';

describe('the releases of a runner with a rate limit', () => {
  test('are one for each request that fits into its memory', () => {
    expect(rateLimitedReleases(100, 4, 1000, 300)).toEqual([
      { at: 100, tokens: 300 },
      { at: 350, tokens: 300 },
      { at: 600, tokens: 300 },
    ]);
    expect(rateLimitedReleases(100, 0, 1000, 300)).toEqual([]);
  });

  // Guards against a list as long as the memory that a configuration names, divided by the size that a caller names, for each decision.
  test('are few however large the memory and however small the requests, with all their tokens', () => {
    const releases = rateLimitedReleases(0, 1, 1_000_000_000, 1);
    const tokens = releases.reduce((sum, one) => sum + one.tokens, 0);
    const lastAt = releases.at(-1)?.at;
    expect([releases.length, tokens, lastAt]).toEqual([256, 1_000_000_000, 999_999_999_000]);
  });
});
