import type { Member } from '../../src/core/membership/types';
import type { Runner } from '../../src/core/routing/types';
import { GROUPS, HOLDERS, groupOf, holdersOf } from '../../src/core/versions/holders';
import { MIN_RETENTION_MS, VersionHistory } from '../../src/core/versions/history';
import type { OriginView } from '../../src/core/versions/lookup';
import { inferredOrigin, recordedOrigin } from '../../src/core/versions/lookup';
import { StreamOrigins, streamKey } from '../../src/core/versions/origins';
import { runnerOf } from '../fakes/runner';

const decode = (version: string, change: Partial<Runner> = {}): Runner =>
  runnerOf('d', 'decode', { version, ...change });

/** Time after which a history is complete that began at 0. */
const COMPLETE_MS = MIN_RETENTION_MS;

describe('the history of software versions', () => {
  test('is ambiguous until it has been complete for as long as callers may come back', () => {
    const history = new VersionHistory();
    history.changed(0, undefined, decode('v1'));
    expect(history.isAmbiguous(COMPLETE_MS - 1, 's')).toBe(true);
    expect(history.isAmbiguous(COMPLETE_MS, 's')).toBe(false);
  });

  // Guards against a version that is forgotten while callers still hold its streams.
  test('remembers a version after its last runner is gone or has restarted with another one', () => {
    const history = new VersionHistory();
    history.changed(0, undefined, decode('v1'));
    history.changed(100_000, decode('v1'), decode('v2'));
    expect(history.versionsOf(100_000 + MIN_RETENTION_MS, 's')).toEqual(['v1', 'v2']);
    expect(history.isAmbiguous(100_000 + MIN_RETENTION_MS, 's')).toBe(true);
    expect(history.isAmbiguous(100_001 + MIN_RETENTION_MS, 's')).toBe(false);
  });

  test('remembers it for longer where streams last longer', () => {
    const history = new VersionHistory();
    history.setLongestStream(MIN_RETENTION_MS);
    history.changed(0, decode('v1'), decode('v2'));
    expect(history.versionsOf(2 * MIN_RETENTION_MS, 's')).toEqual(['v1', 'v2']);
  });

  test('leaves out runners that prefill, as they begin no stream, until they decode', () => {
    const history = new VersionHistory();
    const prefill = runnerOf('p', 'prefill', { version: 'v2' });
    history.changed(0, undefined, decode('v1'));
    history.changed(0, undefined, prefill);
    expect(history.versionsOf(1, 's')).toEqual(['v1']);
    history.changed(1, prefill, { ...prefill, role: 'decode' });
    expect(history.versionsOf(2, 's')).toEqual(['v1', 'v2']);
  });

  test('names each listing once whose runner has restarted with another version', () => {
    const history = new VersionHistory();
    history.changed(0, undefined, decode('v1'));
    history.changed(1, decode('v1'), decode('v1', { bornAt: 1 }));
    expect(history.takeRestarted()).toEqual([]);
    history.changed(2, decode('v1'), decode('v2'));
    expect(history.takeRestarted()).toEqual(['d']);
    expect(history.takeRestarted()).toEqual([]);
  });

  test('learns versions and completeness from another VM', () => {
    const known = new VersionHistory();
    known.changed(0, undefined, decode('v1'));
    known.changed(90_000, decode('v1'), decode('v2'));
    const fresh = new VersionHistory();
    fresh.changed(7, undefined, decode('v2'));
    fresh.learn(10, known.sightings(100_000), known.isComplete(100_000));
    expect(fresh.versionsOf(10, 's')).toEqual(['v2', 'v1']);
    expect(fresh.isAmbiguous(10, 's')).toBe(true);
    expect(fresh.isAmbiguous(10 + MIN_RETENTION_MS, 's')).toBe(false);
  });

  // Guards against VMs that start, or skip a configuration, and do not know where routes led in between.
  test('tells of layouts of routes that another VM has not seen, for as long as versions', () => {
    const known = new VersionHistory();
    const fresh = new VersionHistory();
    ['x', 'y', 'z'].forEach((layout, at) => known.routesChanged(at, new Map([['g', layout]])));
    fresh.routesChanged(0, new Map([['g', 'x']]));
    fresh.routesChanged(2, new Map([['g', 'z']]));
    fresh.learn(10, known.sightings(10), true);
    const hadOther = [known, fresh].map((history) => history.hadOtherLayout(10, 'g'));
    expect(hadOther).toEqual([false, true]);
    expect(fresh.hadOtherLayout(3 + MIN_RETENTION_MS, 'g')).toBe(false);
  });

  test('names the versions that served each service, in the same order on all VMs', () => {
    const history = new VersionHistory();
    history.changed(0, undefined, decode('v2'));
    history.changed(0, undefined, decode('v1'));
    history.changed(0, undefined, decode('v1', { service: 'other' }));
    expect(JSON.stringify(history.byService(1))).toBe('{"other":["v1"],"s":["v1","v2"]}');
  });
});

describe('the origins of streams', () => {
  const of = (key: string, version = 'v1') => ({ key, service: 's', version });

  // Guards against a guess between two streams that callers name by one id.
  test('are conflicting if streams of two versions have one key, whatever follows', () => {
    const origins = new StreamOrigins();
    origins.record(0, of('k', 'v1'), false);
    origins.record(1, of('k', 'v1'), false);
    expect(origins.get('k')).toEqual({ service: 's', version: 'v1' });
    origins.record(2, of('k', 'v2'), false);
    origins.record(3, of('k', 'v2'), false);
    expect(origins.get('k')).toBe('conflicting');
  });

  test('are bounded in number and age, and the oldest give way', () => {
    const origins = new StreamOrigins(2);
    ['a', 'b', 'a', 'c'].forEach((key, now) => origins.record(now, of(key), false));
    expect(['a', 'b', 'c'].map((key) => origins.get(key) !== undefined)).toEqual([
      true,
      false,
      true,
    ]);
    origins.expire(3);
    expect([origins.size, origins.get('a')]).toEqual([1, undefined]);
  });

  test('are given to be told once', () => {
    const origins = new StreamOrigins();
    origins.record(0, of('a'), false);
    origins.record(0, of('b'), true);
    origins.record(0, { key: 'c', service: 'other', version: 'v1' }, false);
    expect(origins.takeUnshared('s')).toEqual([of('a')]);
    origins.record(1, of('a'), false);
    expect(origins.takeUnshared('s')).toEqual([]);
  });

  test('are conflicting after a runner restarted with another version, for its latest streams of this VM', () => {
    const origins = new StreamOrigins();
    origins.record(0, of('old'), true, 'r');
    origins.record(5, of('new'), true, 'r');
    origins.record(5, of('other'), true, 'r2');
    origins.record(5, of('told'), true);
    expect(origins.distrust('r', 5)).toEqual([{ key: 'new', service: 's' }]);
    expect(origins.get('new')).toBe('conflicting');
    expect(origins.distrust('r', 5)).toEqual([]);
  });

  test('have keys that differ between customers and between requests', () => {
    const keys = [
      streamKey(undefined, 'q'),
      streamKey('', 'q'),
      streamKey('ada', 'q'),
      streamKey('ada', 'q2'),
    ];
    expect(new Set(keys).size).toBe(4);
  });
});

describe('what VMs know of a stream', () => {
  const view = (change: Partial<OriginView>): OriginView => ({
    origin: undefined,
    versions: ['v1'],
    isComplete: true,
    ...change,
  });
  const v1 = { service: 's', version: 'v1' };
  const v2 = { service: 's', version: 'v2' };

  test('counts if those that know it agree', () => {
    expect(recordedOrigin([view({}), view({ origin: v1 })])).toEqual(v1);
    expect(recordedOrigin([view({ origin: v1 }), view({ origin: v2 })])).toBeUndefined();
    expect(recordedOrigin([view({ origin: v1 }), view({ origin: 'conflicting' })])).toBeUndefined();
    expect(recordedOrigin([view({})])).toBeUndefined();
  });

  test.each<readonly [string, readonly OriginView[], unknown]>([
    ['the only version', [view({}), view({})], v1],
    ['no version', [view({ versions: [] })], undefined],
    ['several versions at one of them', [view({}), view({ versions: ['v1', 'v2'] })], undefined],
    ['another version at one of them', [view({}), view({ versions: ['v2'] })], undefined],
    ['what may lack one', [view({}), view({ isComplete: false })], undefined],
    ['a version that is not named', [view({ versions: [''] })], undefined],
    ['the stream, but not which one', [view({ origin: 'conflicting' })], undefined],
  ])('implies its origin only if they know one version: %s', (_, views, origin) => {
    expect(inferredOrigin('s', views)).toEqual(origin);
  });
});

describe('the VMs that keep the origin of a stream', () => {
  const memberOf = (index: number): Member => ({
    vm: `vm${index}`,
    domain: `domain${index % 3}`,
    address: `10.0.0.${index}:1`,
    incarnation: 1,
    state: 'alive',
    draining: false,
    gateways: [],
    cores: 1,
    storeLost: false,
  });
  const namesOf = (members: readonly Member[]): readonly string[] => members.map(({ vm }) => vm);
  const group = groupOf(streamKey('ada', 'q'));
  const sizes = [7, 66, 195] as const;

  test.each(sizes)('are in all failure domains, and not the VM itself: %i VMs', (size) => {
    const members = Array.from({ length: size }, (_, index) => memberOf(index));
    const holders = holdersOf(group, members, 'vm0').slice(0, HOLDERS);
    expect(new Set(holders.map(({ domain }) => domain)).size).toBe(3);
    expect(namesOf(holders)).not.toContain('vm0');
  });

  // Guards against origins that are lost with one VM.
  test.each(sizes)('share two with those that were told when any VM is gone: %i VMs', (size) => {
    const members = Array.from({ length: size }, (_, index) => memberOf(index));
    for (const gone of members.slice(0, 20)) {
      const [teller, asker] = members.filter(({ vm }) => vm !== gone.vm);
      const told = holdersOf(group, members, teller?.vm ?? '').slice(0, HOLDERS);
      const present = members.filter(({ vm }) => vm !== gone.vm && vm !== teller?.vm);
      const asked = holdersOf(group, present, asker?.vm ?? '').slice(0, HOLDERS);
      const known = [...namesOf(asked), asker?.vm];
      const shared = namesOf(told).filter((vm) => vm !== gone.vm && known.includes(vm));
      expect(shared.length).toBeGreaterThanOrEqual(HOLDERS - 1);
    }
  });

  test('spread evenly over the VMs', () => {
    const members = Array.from({ length: 195 }, (_, index) => memberOf(index));
    const counts = new Map<string, number>();
    for (let one = 0; one < GROUPS; one += 1) {
      for (const { vm } of holdersOf(one, members, '').slice(0, HOLDERS)) {
        counts.set(vm, (counts.get(vm) ?? 0) + 1);
      }
    }
    const mean = (GROUPS * HOLDERS) / 195;
    expect(Math.max(...counts.values())).toBeLessThan(mean * 4);
  });
});
