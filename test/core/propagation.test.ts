import { decodeDigest, encodeDigest } from '../../src/core/routing/digest';
import { CONFIG_PATH, RUNNERS_PATH, UpdatePropagation } from '../../src/core/routing/propagation';
import { positionAt } from '../fakes/position';
import { runnerOf } from '../fakes/runner';

const KNOWN = { configVersion: 3, runnersPosition: positionAt(10) };

function announceRunner(propagation: UpdatePropagation, revision: number): void {
  const record = { id: 'r', position: positionAt(revision), runner: runnerOf('r', 'plain') };
  propagation.runnerUpdates([record], () => '');
}

describe('a VM that lacks the configuration in force', () => {
  /* The VM fetched from whoever announced last, who need not have the configuration. */
  test('fetches it although another VM announces runners before the rate limit allows a fetch', () => {
    const propagation = new UpdatePropagation();
    propagation.receive({ path: CONFIG_PATH, revision: 4 }, 'a:1', KNOWN);
    propagation.receive({ path: RUNNERS_PATH, revision: 20 }, 'b:1', KNOWN);
    expect(propagation.takeFetchTarget(0, KNOWN)).toEqual({ address: 'a:1', recentOnly: true });
    expect(propagation.takeFetchTarget(100, KNOWN)).toBeUndefined();
    expect(propagation.takeFetchTarget(500, KNOWN)).toEqual({ address: 'b:1', recentOnly: false });
  });

  /* With runners that change all the time, digests never differed long enough for a fetch. */
  test('fetches it from a VM whose digest names it, however often runners change', () => {
    const propagation = new UpdatePropagation();
    announceRunner(propagation, 11);
    const theirs = decodeDigest('4/x/0');
    propagation.receiveDigest(0, theirs, 'a:1', KNOWN, 'y/0');
    expect(propagation.takeFetchTarget(0, KNOWN)?.address).toBe('a:1');
  });

  /* Nobody repeated a fetch that failed or brought nothing newer. */
  test('fetches again from the next VM whose digest names it', () => {
    const propagation = new UpdatePropagation();
    propagation.receive({ path: CONFIG_PATH, revision: 4 }, 'a:1', KNOWN);
    expect(propagation.takeFetchTarget(0, KNOWN)?.address).toBe('a:1');
    propagation.receiveDigest(150, decodeDigest('4/x/0'), 'b:1', KNOWN, 'x/0');
    expect(propagation.nextFetchAt(KNOWN)).toBe(400);
    expect(propagation.takeFetchTarget(400, KNOWN)?.address).toBe('b:1');
  });

  test('does not fetch once it has the announced version', () => {
    const propagation = new UpdatePropagation();
    propagation.receive({ path: CONFIG_PATH, revision: 4 }, 'a:1', KNOWN);
    const known = { ...KNOWN, configVersion: 4 };
    expect(propagation.nextFetchAt(known)).toBe(Infinity);
    expect(propagation.takeFetchTarget(0, known)).toBeUndefined();
  });

  /* A difference of digests did not tell which VM is newer, and the fetch could go to one that is as old. */
  test('does not fetch from a VM that differs by an older configuration only', () => {
    const propagation = new UpdatePropagation();
    const theirs = decodeDigest('2/x/0');
    for (let now = 0; now < 1000; now += 100) {
      propagation.receiveDigest(now, theirs, 'a:1', KNOWN, 'x/0');
    }
    expect(propagation.takeFetchTarget(1000, KNOWN)).toBeUndefined();
  });
});

describe('a VM that an update has passed by', () => {
  /* With runners that change all the time, digests never differed long enough for a fetch, and the VM went on using runners that had left. */
  test('fetches the latest records although its own runners keep changing', () => {
    const propagation = new UpdatePropagation();
    const theirs = decodeDigest('3/x/0');
    for (let now = 0; now <= 1000; now += 100) {
      expect(propagation.takeFetchTarget(now, KNOWN)).toBeUndefined();
      propagation.receiveDigest(now, theirs, 'a:1', KNOWN, 'y/0');
      announceRunner(propagation, 11 + now);
    }
    const target = { address: 'a:1', recentOnly: true };
    expect(propagation.takeFetchTarget(1000, KNOWN)).toEqual(target);
    expect(propagation.takeFetchTarget(1900, KNOWN)).toBeUndefined();
  });

  test('fetches all that differs as soon as its own runners stay the same', () => {
    const propagation = new UpdatePropagation();
    const theirs = decodeDigest('3/x/0');
    for (const now of [0, 100, 300]) {
      propagation.receiveDigest(now, theirs, 'a:1', KNOWN, 'y/0');
    }
    const target = { address: 'a:1', recentOnly: false };
    expect(propagation.takeFetchTarget(300, KNOWN)).toEqual(target);
  });

  /* Differences that come and go by themselves are no lost updates. */
  test('does not add up short differences', () => {
    const propagation = new UpdatePropagation();
    const theirs = decodeDigest('3/x/0');
    for (const now of [0, 700, 1400, 2100]) {
      announceRunner(propagation, 11 + now);
      propagation.receiveDigest(now, theirs, 'a:1', KNOWN, 'y/0');
    }
    expect(propagation.takeFetchTarget(2100, KNOWN)).toBeUndefined();
  });
});

describe('the digest of the replicated state', () => {
  test('names the version of the configuration', () => {
    expect(decodeDigest(encodeDigest({ configVersion: 12, rest: 'a/0/b' }))).toEqual({
      configVersion: 12,
      rest: 'a/0/b',
    });
    expect(decodeDigest('')).toEqual({ configVersion: 0, rest: '' });
  });
});
