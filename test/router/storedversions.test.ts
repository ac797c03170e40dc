import { setImmediate as settle } from 'node:timers/promises';

import pino from 'pino';

import { VersionHistory } from '../../src/core/versions/history';
import type { VersionsByService } from '../../src/core/versions/types';
import { StoredVersions } from '../../src/node/router/storedversions';
import { runnerOf } from '../fakes/runner';

/** The record at a VM that reads the store, and what it has written. */
function storedBy(
  versions: VersionHistory,
  save?: () => Promise<void>,
): { readonly stored: StoredVersions; readonly writes: VersionsByService[] } {
  const writes: VersionsByService[] = [];
  const stored = new StoredVersions({
    versions,
    archive: {
      save: async (record) => {
        writes.push(record);
        await save?.();
      },
    },
    readsStore: () => true,
    random: () => 0.5,
    log: pino({ level: 'silent' }),
  });
  stored.stop();
  return { stored, writes };
}

function historyOf(...names: readonly string[]): VersionHistory {
  const versions = new VersionHistory();
  for (const version of names) {
    versions.changed(0, undefined, runnerOf(version, 'decode', { version }));
  }
  return versions;
}

/** Checks every half second. */
async function checkUntil(stored: StoredVersions, from: number, until: number): Promise<void> {
  for (let now = from; now <= until; now += 500) {
    stored.check(now);
    await settle();
  }
}

describe('the record of software versions in the store', () => {
  test('is written once where each service has one version, at once if there is none yet', async () => {
    const { stored, writes } = storedBy(historyOf('v1'));
    stored.learn(0, undefined, true);
    await checkUntil(stored, 0, 0);
    expect(writes).toEqual([{ s: ['v1'] }]);
    await checkUntil(stored, 500, 10_000);
    stored.learn(10_000, { s: ['v1'] }, true);
    await checkUntil(stored, 10_000, 20_000);
    expect(writes.length).toBe(1);
  });

  test('is written within two seconds, and again when a version is forgotten', async () => {
    const versions = historyOf('v1', 'v2');
    const { stored, writes } = storedBy(versions);
    stored.learn(0, { s: ['v1'] }, true);
    await checkUntil(stored, 0, 1500);
    expect(writes).toEqual([{ s: ['v1', 'v2'] }]);
    versions.changed(2000, runnerOf('v1', 'decode', { version: 'v1' }), undefined);
    await checkUntil(stored, 2000, 70_000);
    expect(writes).toEqual([{ s: ['v1', 'v2'] }, { s: ['v2'] }]);
  });

  test('is not written before it was read, nor again where another VM has written it', async () => {
    const { stored, writes } = storedBy(historyOf('v1', 'v2'));
    stored.check(0);
    stored.check(5000);
    stored.learn(5000, { s: ['v1'] }, true);
    stored.check(5500);
    stored.learn(6000, { s: ['v1', 'v2'] }, false);
    await checkUntil(stored, 6000, 20_000);
    expect(writes).toEqual([]);
  });

  test('is written again until that succeeds', async () => {
    const { stored, writes } = storedBy(historyOf('v1', 'v2'), () =>
      Promise.reject(new Error('no')),
    );
    stored.learn(0, {}, true);
    await checkUntil(stored, 0, 9000);
    expect(writes.length).toBe(5);
  });

  // Guards against VMs that start anew and take the only listed version for the only one there was.
  test('tells a VM that starts anew of versions that are gone, and that there were no others', () => {
    const versions = historyOf('v2');
    storedBy(versions).stored.learn(0, { s: ['v1', 'v2'] }, true);
    expect(versions.versionsOf(1, 's')).toEqual(['v2', 'v1']);
    expect(versions.isComplete(1)).toBe(true);
    for (const record of [undefined, { s: ['v2'] }]) {
      const single = historyOf('v2');
      storedBy(single).stored.learn(0, record, true);
      expect(single.isAmbiguous(1, 's')).toBe(false);
    }
  });

  // Guards against the same where the service is younger than the record.
  test('leaves the versions of a service that it lacks unknown', () => {
    const versions = historyOf('v2');
    storedBy(versions).stored.learn(0, {}, true);
    expect(versions.isAmbiguous(1, 's')).toBe(true);
  });

  test('does not keep a version alive at VMs that have known all versions', () => {
    const versions = historyOf('v1', 'v2');
    versions.learn(0, [], true);
    versions.changed(0, runnerOf('v1', 'decode', { version: 'v1' }), undefined);
    storedBy(versions).stored.learn(50_000, { s: ['v1', 'v2'] }, true);
    expect(versions.versionsOf(60_001, 's')).toEqual(['v2']);
  });
});
