import fc from 'fast-check';

import { Quarantine, isAttributable } from '../../src/core/quarantine/quarantine';
import { CRASH_LIMIT, TTL_MS } from '../../src/core/quarantine/record';
import type { Suspect } from '../../src/core/quarantine/types';

const MINUTE_MS = 60_000;

/** A quarantine in which some runners crashed on request `f`, a second apart. */
function endedBy(...runners: readonly string[]): Quarantine {
  const quarantine = new Quarantine();
  runners.forEach((runner, i) => quarantine.recordCrash(i * 1000, 'f', runner));
  return quarantine;
}

const isRefused = (quarantine: Quarantine, now: number): boolean =>
  quarantine.refusedForMs(now, 'f') !== undefined;

describe('a quarantine', () => {
  test('refuses a request for ten minutes after the third runner crashed on it', () => {
    expect(isRefused(endedBy('a', 'b'), 2000)).toBe(false);
    const quarantine = endedBy('a', 'b', 'c');
    expect(quarantine.refusedForMs(2000, 'f')).toBe(TTL_MS - 2000);
    expect(isRefused(quarantine, TTL_MS)).toBe(false);
    expect(quarantine.suspects(TTL_MS + 2000)).toEqual([]);
  });

  /* One runner breaks off answers without crashing: that it does so three times for one request says nothing about the request. */
  test('counts each runner instance once', () => {
    expect(isRefused(endedBy('a', 'a', 'a', 'b'), 4000)).toBe(false);
  });

  /* A request has produced output for seconds when its runner crashes. Starting this request did not cause the crash. */
  test('does not attribute a crash to a run that had produced output for some time', () => {
    expect([
      isAttributable(5000, undefined),
      isAttributable(5000, 4000),
      isAttributable(5000, 1000),
    ]).toEqual([true, true, false]);
  });

  test('accepts a request again once a runner has completed it', () => {
    const quarantine = endedBy('a', 'b', 'c');
    expect(quarantine.recordCompletion(5000, 'f')?.completedAgoMs).toBe(0);
    expect(isRefused(quarantine, 5000)).toBe(false);
  });

  /*
   * The same request, such as one for a map tile, arrives many times a second, and all three
   * runners crash at the same moment while running it. It had been completed right before,
   * so it did not crash them; refusing it would go on after the runners are back.
   */
  test('does not refuse a request that was completed within the minute before', () => {
    const quarantine = new Quarantine();
    quarantine.recordCompletion(0, 'f');
    for (const runner of ['a', 'b', 'c']) quarantine.recordCrash(1000, 'f', runner);
    expect(isRefused(quarantine, 1000)).toBe(false);
    const other = endedBy('a', 'b', 'c');
    const [update] = quarantine.suspects(2000) as [Suspect];
    other.apply(2000, update);
    expect(isRefused(other, 2000)).toBe(false);
  });

  /* A release breaks a request that worked before: a minute after its last completion its crashes count. */
  test('refuses a request whose last completion is longer ago', () => {
    const quarantine = new Quarantine();
    quarantine.recordCompletion(0, 'f');
    for (const runner of ['a', 'b', 'c']) quarantine.recordCrash(2 * MINUTE_MS, 'f', runner);
    expect(isRefused(quarantine, 2 * MINUTE_MS)).toBe(true);
  });

  /*
   * All runners of a failure domain crash at once and leave many requests with one crash
   * each. Memory and updates stay bounded, and a request with two crashes is not evicted.
   */
  test('keeps the entries with several crashes during mass crashes', () => {
    const quarantine = endedBy('a', 'b');
    const updates = Array.from({ length: 3000 }, (_, i) =>
      quarantine.apply(3000, { fingerprint: `g${i}`, ends: [{ runner: `r${i}`, agoMs: 0 }] }),
    );
    expect(updates.filter((update) => update !== undefined).length).toBeLessThan(300);
    expect(quarantine.suspects(3000).length).toBeLessThan(300);
    quarantine.recordCrash(4000, 'f', 'c');
    expect(isRefused(quarantine, 4000)).toBe(true);
    quarantine.recordCrash(4000, 'h', 'x');
    expect(quarantine.crashCount('h')).toBe(1);
  });
});

/* Reports wait for seconds in the queues of VMs, so that what they tell seems later than it was. */
describe('a report that was on its way for long', () => {
  test('does not clear crashes that it does not know', () => {
    const sender = endedBy('a');
    const update = sender.recordCompletion(3000, 'f') as Suspect;
    const receiver = endedBy('a');
    for (const [index, runner] of ['b', 'c', 'd'].entries()) {
      receiver.recordCrash(10_000 + 1000 * index, 'f', runner);
    }
    receiver.apply(12_500, update);
    expect(isRefused(receiver, 12_500)).toBe(true);
  });

  test('is passed on once only, however many crashes are known', () => {
    const runners = Array.from({ length: 12 }, (_, i) => `r${i}`);
    const reports = runners.map((runner, i) => endedBy(runner).suspects(i * 10)[0] as Suspect);
    const receiver = new Quarantine();
    reports.forEach((report, i) => receiver.apply(1000 + i, report));
    const passedOn = reports.map((report, i) => receiver.apply(2000 + i, report));
    expect(passedOn.filter((update) => update !== undefined)).toEqual([]);
  });
});

/** An event at one of the VMs, or an exchange in which one VM sends all of its entries to another. */
type Step =
  | { readonly kind: 'ended'; readonly vm: number; readonly runner: number }
  | { readonly kind: 'completed'; readonly vm: number }
  | { readonly kind: 'sent'; readonly from: number; readonly to: number };

const VMS = 3;
const STEP_MS = 37;
const vm = fc.nat(VMS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('ended' as const), vm, runner: fc.nat(5) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('completed' as const), vm }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('sent' as const), from: vm, to: vm }) },
);

describe('quarantines of several VMs', () => {
  /* Updates are lost, duplicated and reordered. VMs that have exchanged all of their entries must refuse the same requests. */
  test('agree once each has sent its entries to the others', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const quarantines = Array.from({ length: VMS }, () => new Quarantine());
        const runners = new Set<number>();
        let completions = 0;
        let now = 0;
        const sendAll = (from: Quarantine, to: Quarantine): void => {
          for (const suspect of from.suspects(now)) to.apply(now, suspect);
        };
        for (const one of steps) {
          now += STEP_MS;
          if (one.kind === 'sent') {
            sendAll(quarantines[one.from] as Quarantine, quarantines[one.to] as Quarantine);
          } else if (one.kind === 'ended') {
            runners.add(one.runner);
            quarantines[one.vm]?.recordCrash(now, 'f', `r${one.runner}`);
          } else {
            completions += 1;
            quarantines[one.vm]?.recordCompletion(now, 'f');
          }
        }
        now += STEP_MS;
        for (let round = 0; round < 2; round += 1) {
          for (const from of quarantines) for (const to of quarantines) sendAll(from, to);
        }
        const digests = new Set(quarantines.map((one) => one.digest(now)));
        expect(digests.size).toBe(1);
        const refused = quarantines.map((one) => isRefused(one, now));
        expect(refused[0]).toBe(completions === 0 && runners.size >= CRASH_LIMIT);
      }),
      { numRuns: 500, seed: 26 },
    );
  });
});
