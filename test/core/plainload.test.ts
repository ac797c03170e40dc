import { LoadTable } from '../../src/core/plain/loadtable';
import type { LoadReport } from '../../src/core/plain/types';
import type { PlainRequest } from '../fakes/virtual/plainfleet';
import { SLOTS, SharedLoads, ownCounts, replay } from '../fakes/virtual/plainfleet';

describe('plain requests of 73 VMs at three runners, one of them slow', () => {
  // Guards against counts and slowness that are too old: late requests and rejections beside free slots.
  test('are late or fail less than half as often as with the choice by own counts', () => {
    const sum = { counts: 0, table: 0, all: 0, messages: 0 };
    const badOf = (requests: readonly PlainRequest[]): number =>
      requests.filter(({ state }) => state !== 'inTime').length;
    for (const seed of [1, 2, 3]) {
      sum.counts += badOf(replay(seed, (_, random) => (vm) => ownCounts(vm, random)));
      let loads: SharedLoads | undefined;
      const byTable = replay(seed, (clock, random) => {
        const shared = new SharedLoads(clock, random);
        loads = shared;
        return (vm) => shared.chooserOf(vm);
      });
      sum.messages += loads?.messages ?? 0;
      sum.table += badOf(byTable);
      sum.all += byTable.length;
    }
    expect(sum.table).toBeLessThan(sum.counts * 0.5);
    expect(sum.messages).toBeLessThan(sum.all * 1.2);
  });
});

describe('a load table', () => {
  const runner = { id: 'a', slots: SLOTS };
  const reportOf = (at: number, running: number, waiting: number, slowness = 1): LoadReport => ({
    runner: 'a',
    at,
    load: { running, waiting, slots: SLOTS, slowness },
  });

  /* Counted both in the report and as sent, a request would make a runner look fuller than it is. */
  test('counts requests sent after the newest report, and reported ones until they should have ended', () => {
    const table = new LoadTable();
    table.usual.observeOther(100);
    table.sent(0, runner, 0, 100);
    table.reported(reportOf(50, 4, 0));
    table.sent(60, runner, 60, 100);
    const inFlight = [60, 75, 100, 400, 4100].map((now) => table.expect(now, runner, 100).inFlight);
    expect(inFlight.map((count) => Math.round(count * 10) / 10)).toEqual([4.6, 4, 3, 1, 0]);
    expect(table.reported(reportOf(40, 0, 0))).toBe(false);
  });

  // Guards against requests that are held for slots that only an entry of another writer has.
  test('counts no more slots of a runner that reports none than another one reports', () => {
    const table = new LoadTable();
    const odd = { id: 'odd', slots: 65_535 };
    const slotsOf = (): number => table.expect(100, odd, 100).slots;
    const before = slotsOf();
    table.reported(reportOf(50, 4, 0));
    const beside = slotsOf();
    table.reported({
      ...reportOf(60, 0, 0),
      runner: 'odd',
      load: { ...reportOf(60, 0, 0).load, slots: 64 },
    });
    expect([before, beside, slotsOf()]).toEqual([65_535, SLOTS, 64]);
  });

  // A runner that hangs reports nothing: with counts that expire it gets most requests, and all are lost.
  test('avoids a runner that does not answer the requests sent to it', () => {
    const table = new LoadTable();
    const candidates = ['a', 'b'].map((id) => ({ id, slots: SLOTS, extra: 0 }));
    const chosen: string[] = [];
    for (let now = 0; now < 3000; now += 20) {
      const { id = '' } = table.best(now, candidates, 100, () => 0.5)?.runner ?? {};
      chosen.push(id);
      table.sent(now, { id, slots: SLOTS }, now, 100);
      table.reported({ ...reportOf(now, 4, 0), runner: 'b' });
    }
    expect(chosen.filter((id) => id === 'a').length).toBeLessThan(10);
  });

  // A slowdown ends while nobody sends: a runner avoided forever would stay without requests.
  test('lets an old slowness return to its mean', () => {
    const table = new LoadTable();
    table.reported(reportOf(0, 0, 0, 1));
    table.reported(reportOf(10, 0, 0, 3));
    const slowness = [10, 610, 3010].map((now) => table.expect(now, runner, 100).slowness);
    expect(slowness.map((factor) => Math.round(factor * 10) / 10)).toEqual([3, 1.8, 1.1]);
  });

  // Guards against filling all slots of a runner that serves fewer requests then.
  test('keeps a runner below the occupancy at which it slows down, and tries again later', () => {
    const table = new LoadTable();
    for (let now = 0; now < 4000; now += 10) {
      const running = (now / 10) % SLOTS;
      const ms = running < 4 ? 100 : 220;
      table.responded(reportOf(now, running, 0), 'r', ms, undefined, 100);
    }
    const slots = [4000, 200_000].map((now) => table.expect(now, runner, 100).slots);
    expect(slots).toEqual([4, 6]);
  });
});
