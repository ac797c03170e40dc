import { LoadTable } from '../../src/core/plain/loadtable';
import { seeded } from '../fakes/virtual/workload';

const RUNNERS = ['a', 'b', 'c'];
const SLOTS = 6;
const USUAL_MS = 43;
/** Time of an error answer, in milliseconds: no work is done for it. */
const ERROR_MS = 2;
const REQUESTS_PER_S = 49;
const DURATION_MS = 16_000;
/** Time in which one runner fails, in milliseconds. */
const FAILS_FROM_MS = 4000;
const FAILS_UNTIL_MS = 10_000;
/** Share of the requests that fail at any runner. */
const USUAL_FAILURES = 0.05;

/** Time after which the runner has its part of the requests again, in milliseconds. */
const RETURN_MS = 3000;

/** A request that is at a runner. */
interface Ending {
  readonly at: number;
  readonly runner: string;
  readonly hasFailed: boolean;
}

/** Share of the requests that the failing runner got, by phase. */
interface Sends {
  readonly before: number;
  readonly while: number;
  readonly after: number;
}

/**
 * Replays the requests of a fleet that shares one table, while a runner fails a share of its
 * requests at once.
 */
function replay(failingShare: number, recordsResults: boolean): Sends {
  const random = seeded(7);
  const table = new LoadTable();
  const sends: { readonly at: number; readonly runner: string }[] = [];
  const candidates = RUNNERS.map((id) => ({ id, slots: SLOTS, extra: 0 }));
  let open: readonly Ending[] = [];
  const end = ({ at, runner, hasFailed }: Ending): void => {
    table.reported({ runner, at, load: { running: 0, waiting: 0, slots: SLOTS, slowness: 1 } });
    const counts = { succeeded: hasFailed ? 0 : 1, failed: hasFailed ? 1 : 0 };
    if (recordsResults) table.failures.record(at, { runner, ...counts });
  };
  for (let now = 0; now < DURATION_MS; now += 1000 / REQUESTS_PER_S) {
    const ended = open.filter(({ at }) => at <= now);
    open = open.filter(({ at }) => at > now);
    ended.forEach(end);
    const runner = table.best(now, candidates, USUAL_MS, random)?.runner.id ?? '';
    const isFailing = runner === 'c' && now >= FAILS_FROM_MS && now < FAILS_UNTIL_MS;
    const hasFailed = random() < (isFailing ? failingShare : USUAL_FAILURES);
    table.sent(now, { id: runner, slots: SLOTS }, now, USUAL_MS);
    open = [...open, { at: now + (hasFailed ? ERROR_MS : USUAL_MS), runner, hasFailed }];
    sends.push({ at: now, runner });
  }
  const shareOf = (from: number, until: number): number => {
    const sent = sends.filter(({ at }) => at >= from && at < until);
    return sent.filter(({ runner }) => runner === 'c').length / sent.length;
  };
  return {
    before: shareOf(0, FAILS_FROM_MS),
    while: shareOf(FAILS_FROM_MS, FAILS_UNTIL_MS),
    after: shareOf(FAILS_UNTIL_MS + RETURN_MS, DURATION_MS),
  };
}

describe('a runner that fails its requests at once while it looks idle', () => {
  // Guards against a runner that gets most of the requests because it answers errors fastest.
  test.each([1, 0.4])(
    'gets few of them if it fails %d of them, and its part again later',
    (share) => {
      const sends = replay(share, true);
      const unaware = replay(share, false);
      expect(sends.before).toBeGreaterThan(0.25);
      expect(sends.while).toBeLessThan(0.1);
      expect(sends.after).toBeGreaterThan(0.15);
      expect(sends.while).toBeLessThan(unaware.while / 2);
    },
  );

  test('counts only what exceeds the failures of the others', () => {
    const { failures } = new LoadTable();
    for (const runner of RUNNERS) failures.record(0, { runner, succeeded: 8, failed: 12 });
    expect(RUNNERS.map((runner) => failures.excess(0, runner))).toEqual([0, 0, 0]);
    failures.record(0, { runner: 'c', succeeded: 0, failed: 80 });
    const excess = RUNNERS.map((runner) => Math.round(failures.excess(0, runner) * 100));
    expect(excess).toEqual([0, 0, 19]);
  });
});
