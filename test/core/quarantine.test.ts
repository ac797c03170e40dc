import fc from 'fast-check';

import {
  CRASH_LIMIT,
  TTL_MS,
  Quarantine,
  isAttributable,
} from '../../src/core/quarantine/quarantine';
import type { Suspect } from '../../src/core/quarantine/types';

const MINUTE_MS = 60_000;

/** A quarantine that was told of the ends of some runners under request `f`, a second apart. */
function endedBy(...runners: readonly string[]): Quarantine {
  const quarantine = new Quarantine();
  runners.forEach((runner, i) => quarantine.recordCrash(i * 1000, 'f', runner));
  return quarantine;
}

const isRefused = (quarantine: Quarantine, now: number): boolean =>
  quarantine.refusedForMs(now, 'f') !== undefined;

describe('a quarantine', () => {
  test('refuses a request from the third runner that ended under it, for ten minutes', () => {
    expect(isRefused(endedBy('a', 'b'), 2000)).toBe(false);
    const quarantine = endedBy('a', 'b', 'c');
    expect(quarantine.refusedForMs(2000, 'f')).toBe(TTL_MS - 2000);
    expect(isRefused(quarantine, TTL_MS)).toBe(false);
    expect(quarantine.suspects(TTL_MS + 2000)).toEqual([]);
  });

  /* One runner breaks answers off and lives: that it does so thrice to one request says nothing of the request. */
  test('counts each start of a runner once', () => {
    expect(isRefused(endedBy('a', 'a', 'a', 'b'), 4000)).toBe(false);
  });

  /* A summary has run for seconds when its runner crashes. Whatever ended the runner, it was not that it began this one. */
  test('holds nothing against a run that had brought answers for a while', () => {
    expect([
      isAttributable(5000, undefined),
      isAttributable(5000, 4000),
      isAttributable(5000, 1000),
    ]).toEqual([true, true, false]);
  });

  test('takes a request again once a runner ran it to a whole answer', () => {
    const quarantine = endedBy('a', 'b', 'c');
    expect(quarantine.recordCompletion(5000, 'f')?.completedAgoMs).toBe(0);
    expect(isRefused(quarantine, 5000)).toBe(false);
  });

  /*
   * A map tile is asked for many times a second, by the same request. All three runners
   * crash at the same moment and each had it. It had been answered right before: it is
   * not what ended them, and refusing it would go on when the runners are back.
   */
  test('does not refuse a request that was answered within the minute before', () => {
    const quarantine = new Quarantine();
    quarantine.recordCompletion(0, 'f');
    for (const runner of ['a', 'b', 'c']) quarantine.recordCrash(1000, 'f', runner);
    expect(isRefused(quarantine, 1000)).toBe(false);
    const other = endedBy('a', 'b', 'c');
    const [told] = quarantine.suspects(2000) as [Suspect];
    other.apply(2000, told);
    expect(isRefused(other, 2000)).toBe(false);
  });

  /* A release breaks what was answered before: after a minute without an answer its ends count. */
  test('refuses a request that was answered longer ago', () => {
    const quarantine = new Quarantine();
    quarantine.recordCompletion(0, 'f');
    for (const runner of ['a', 'b', 'c']) quarantine.recordCrash(2 * MINUTE_MS, 'f', runner);
    expect(isRefused(quarantine, 2 * MINUTE_MS)).toBe(true);
  });

  /*
   * All runners of a failure domain crash at once and leave a request each with one end.
   * Memory and news stay bounded, and a request that two runners ended under is not lost among them.
   */
  test('keeps what counts in a storm of crashes', () => {
    const quarantine = endedBy('a', 'b');
    const told = Array.from({ length: 3000 }, (_, i) =>
      quarantine.apply(3000, { fingerprint: `g${i}`, ends: [{ runner: `r${i}`, agoMs: 0 }] }),
    );
    expect(told.filter((news) => news !== undefined).length).toBeLessThan(300);
    expect(quarantine.suspects(3000).length).toBeLessThan(300);
    quarantine.recordCrash(4000, 'f', 'c');
    expect(isRefused(quarantine, 4000)).toBe(true);
    quarantine.recordCrash(4000, 'h', 'x');
    expect(quarantine.crashCount('h')).toBe(1);
  });
});

/** What happens at one of the VMs, or that one tells another all it knows. */
type Step =
  | { readonly kind: 'ended'; readonly vm: number; readonly runner: number }
  | { readonly kind: 'completed'; readonly vm: number }
  | { readonly kind: 'told'; readonly from: number; readonly to: number };

const VMS = 3;
const STEP_MS = 37;
const vm = fc.nat(VMS - 1);
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 4,
    arbitrary: fc.record({ kind: fc.constant('ended' as const), vm, runner: fc.nat(5) }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('completed' as const), vm }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('told' as const), from: vm, to: vm }) },
);

describe('quarantines of several VMs', () => {
  /* News is lost, doubled and overtaken. Whatever was, VMs that have told each other all they know refuse the same. */
  test('agree once each has told the others', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), (steps) => {
        const quarantines = Array.from({ length: VMS }, () => new Quarantine());
        const runners = new Set<number>();
        let completions = 0;
        let now = 0;
        const tell = (from: Quarantine, to: Quarantine): void => {
          for (const suspect of from.suspects(now)) to.apply(now, suspect);
        };
        for (const one of steps) {
          now += STEP_MS;
          if (one.kind === 'told') {
            tell(quarantines[one.from] as Quarantine, quarantines[one.to] as Quarantine);
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
          for (const from of quarantines) for (const to of quarantines) tell(from, to);
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
