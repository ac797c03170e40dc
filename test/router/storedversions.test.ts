import { setImmediate as settle } from 'node:timers/promises';

import pino from 'pino';

import { VersionHistory } from '../../src/core/versions/history';
import type { VersionsByService } from '../../src/core/versions/types';
import { StoredVersions } from '../../src/node/router/storedversions';
import { positionAt } from '../fakes/position';
import { runnerOf } from '../fakes/runner';

/** The record at a VM that reads the store, and what it has written. */
function storedBy(
  versions: VersionHistory,
  save = async (revision: number): Promise<number | undefined> => revision + 1,
): { readonly stored: StoredVersions; readonly writes: VersionsByService[] } {
  const writes: VersionsByService[] = [];
  const stored = new StoredVersions({
    versions,
    archive: {
      save: (served, revision) => {
        writes.push(served);
        return save(revision);
      },
    },
    readsStore: () => true,
    random: () => 0.5,
    onRecorded: () => {},
    log: pino({ level: 'silent' }),
  });
  stored.stop();
  return { stored, writes };
}

/** Reads the whole store. */
function read(stored: StoredVersions, now: number, versions?: VersionsByService): void {
  stored.learn(now, versions && { revision: 1, versions }, true);
  stored.listed(now);
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
    read(stored, 0);
    await checkUntil(stored, 0, 0);
    expect(writes).toEqual([{ s: ['v1'] }]);
    await checkUntil(stored, 500, 10_000);
    read(stored, 10_000, { s: ['v1'] });
    await checkUntil(stored, 10_000, 20_000);
    expect(writes.length).toBe(1);
  });

  test('is written at once if it lacks a version, and again when one is forgotten', async () => {
    const versions = historyOf('v1', 'v2');
    const { stored, writes } = storedBy(versions);
    read(stored, 0, { s: ['v1'] });
    expect(writes).toEqual([{ s: ['v1', 'v2'] }]);
    await checkUntil(stored, 0, 1500);
    expect(writes).toEqual([{ s: ['v1', 'v2'] }]);
    versions.changed(2000, runnerOf('v1', 'decode', { version: 'v1' }), undefined);
    await checkUntil(stored, 2000, 70_000);
    expect(writes).toEqual([{ s: ['v1', 'v2'] }, { s: ['v2'] }]);
  });

  test('is not written before it was read, nor again where another VM has written it', async () => {
    const versions = historyOf('v1');
    versions.learn(0, [], true);
    const { stored, writes } = storedBy(versions);
    stored.check(0);
    stored.check(5000);
    read(stored, 5000, { s: ['v1', 'v2'] });
    stored.check(5500);
    stored.learn(6000, { revision: 2, versions: { s: ['v1'] } }, false);
    await checkUntil(stored, 6000, 20_000);
    expect(writes).toEqual([]);
  });

  // Guards against a record that loses a version, since a VM that has not read it wrote its own.
  test('is not written again before the change of another VM was read', async () => {
    const versions = historyOf('v1', 'v2');
    const { stored, writes } = storedBy(versions, async () => undefined);
    read(stored, 0, { s: ['v1'] });
    await checkUntil(stored, 0, 10_000);
    expect(writes.length).toBe(1);
    stored.learn(10_000, { revision: 2, versions: { s: ['v1'] } }, false);
    await checkUntil(stored, 10_000, 20_000);
    expect(writes.length).toBe(2);
  });

  // Guards against a version that is never recorded again, since another writer has replaced the record.
  test('replaces one that cannot be read once this VM knows all versions', async () => {
    const versions = historyOf('v1');
    const { stored, writes } = storedBy(versions);
    stored.learn(0, { revision: 1, versions: undefined }, true);
    stored.listed(0);
    await checkUntil(stored, 0, 59_500);
    expect(writes).toEqual([]);
    await checkUntil(stored, 60_000, 70_000);
    expect(writes).toEqual([{ s: ['v1'] }]);
  });

  // Guards against streams of a version that VMs which all start anew do not know of.
  test('holds the runners whose version it lacks, until it was written', async () => {
    const versions = historyOf('v1');
    const { stored } = storedBy(versions);
    const runner = runnerOf('r', 'decode', { version: 'v2' });
    const isHeld = (): boolean =>
      stored.hold([{ id: 'r', position: positionAt(2), runner }])[0]?.held === true;
    expect(isHeld()).toBe(false);
    read(stored, 0, { s: ['v1'] });
    expect(isHeld()).toBe(true);
    expect(stored.isHeld({ ...runner, role: 'prefill' })).toBe(false);
    expect(stored.isHeld({ ...runner, service: 't' })).toBe(false);
    versions.changed(500, undefined, runner);
    stored.check(500);
    expect(isHeld()).toBe(true);
    await settle();
    expect(isHeld()).toBe(false);
  });

  test('is written again until that succeeds', async () => {
    const { stored, writes } = storedBy(historyOf('v1', 'v2'), () =>
      Promise.reject(new Error('no')),
    );
    read(stored, 0, {});
    await checkUntil(stored, 0, 9000);
    expect(writes.length).toBe(5);
  });

  // Guards against VMs that start anew and take the only listed version for the only one there was.
  test('tells a VM that starts anew of versions that are gone, and that there were no others', () => {
    const versions = historyOf('v2');
    read(storedBy(versions).stored, 0, { s: ['v1', 'v2'] });
    expect(versions.versionsOf(1, 's')).toEqual(['v2', 'v1']);
    expect(versions.isComplete(1)).toBe(true);
    for (const record of [undefined, { s: ['v2'] }]) {
      const single = historyOf('v2');
      read(storedBy(single).stored, 0, record);
      expect(single.isAmbiguous(1, 's')).toBe(false);
    }
  });

  // Guards against the same where the service is younger than the record.
  test('leaves the versions of a service that it lacks unknown', () => {
    const versions = historyOf('v2');
    read(storedBy(versions).stored, 0, {});
    expect(versions.isAmbiguous(1, 's')).toBe(true);
  });

  test('does not keep a version alive at VMs that have known all versions', () => {
    const versions = historyOf('v1', 'v2');
    versions.learn(0, [], true);
    versions.changed(0, runnerOf('v1', 'decode', { version: 'v1' }), undefined);
    read(storedBy(versions).stored, 50_000, { s: ['v1', 'v2'] });
    expect(versions.versionsOf(60_001, 's')).toEqual(['v2']);
  });
});
