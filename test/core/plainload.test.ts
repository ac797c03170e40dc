import { LoadShare } from '../../src/core/plain/loadshare';
import type { Candidate } from '../../src/core/plain/loadtable';
import { LoadTable } from '../../src/core/plain/loadtable';
import type { LoadReport, RunnerLoad } from '../../src/core/plain/types';
import { Schedule } from '../fakes/virtual/schedule';
import { seeded } from '../fakes/virtual/workload';

const VMS = 73;
const SLOTS = 6;
const MAX_WAITING = 6;
const USUAL_MS = 70;
const AIM_MS = 300;
const LINK_MS = 2;
const RUNNERS = ['a', 'b', 'c'];
const DURATION_MS = 24_000;

/** Virtual time. */
class Clock {
  readonly #schedule = new Schedule();

  get now(): number {
    return this.#schedule.now;
  }

  after(ms: number, run: () => void): void {
    this.#schedule.add(this.now + ms, run);
  }

  runAll(): void {
    while (this.#schedule.next() < Infinity) this.#schedule.run();
  }
}

/** A runner with six slots and a short queue; rejects what exceeds them. */
class FakeRunner {
  readonly #clock: Clock;

  readonly #waiting: (() => void)[] = [];

  readonly #slownessAt: (now: number) => number;

  #running = 0;

  constructor(clock: Clock, slownessAt: (now: number) => number) {
    this.#clock = clock;
    this.#slownessAt = slownessAt;
  }

  get load(): RunnerLoad {
    const slowness = Math.round(this.#slownessAt(this.#clock.now) * 100) / 100;
    return { running: this.#running, waiting: this.#waiting.length, slots: SLOTS, slowness };
  }

  /** Runs a request of some milliseconds; `done` gets whether it ran. */
  take(ms: number, done: (hasRun: boolean) => void): void {
    const start = (): void => {
      this.#running += 1;
      this.#clock.after(ms * this.#slownessAt(this.#clock.now), () => {
        this.#running -= 1;
        this.#waiting.shift()?.();
        done(true);
      });
    };
    if (this.#running < SLOTS) start();
    else if (this.#waiting.length < MAX_WAITING) this.#waiting.push(start);
    else done(false);
  }
}

/** How one VM chooses runners. */
interface Chooser {
  choose(tried: readonly string[], send: (runner: string) => void): void;
  responded(runner: string, load: RunnerLoad, ms: number, hasRun: boolean): void;
}

function candidatesOf(vm: number, tried: readonly string[]): readonly Candidate[] {
  const left = RUNNERS.filter((id) => !tried.includes(id));
  return left.map((id) => ({ id, slots: SLOTS, extra: RUNNERS[vm % 3] === id ? 0 : 0.5 }));
}

/** Chooses by the requests in flight of the VM alone. */
function ownCounts(vm: number, random: () => number): Chooser {
  const counts = new Map<string, number>();
  const add = (id: string, by: number): unknown => counts.set(id, (counts.get(id) ?? 0) + by);
  return {
    choose(tried, send) {
      const costs = candidatesOf(vm, tried).map(({ id, extra }) => ({
        id,
        cost: (counts.get(id) ?? 0) + extra + random() * 0.25,
      }));
      const { id } = costs.reduce((best, one) => (one.cost < best.cost ? one : best));
      add(id, 1);
      send(id);
    },
    responded: (runner) => add(runner, -1),
  };
}

/** Chooses by tables that are shared through an owner. */
class SharedLoads {
  readonly #clock: Clock;

  readonly #random: () => number;

  readonly #owner = new LoadTable();

  constructor(clock: Clock, random: () => number) {
    this.#clock = clock;
    this.#random = random;
  }

  /** @param onMessage called for each message to the owner */
  chooserOf(vm: number, onMessage: () => void): Chooser {
    const clock = this.#clock;
    const table = new LoadTable();
    const share = new LoadShare(table);
    const tell = (): void => {
      onMessage();
      const { reports, sent } = share.take(clock.now);
      clock.after(LINK_MS, () => {
        for (const report of reports) this.#owner.reported(report);
        for (const { runner: id, at } of sent) {
          this.#owner.sent(clock.now, { id, slots: SLOTS }, at, USUAL_MS);
        }
      });
    };
    return {
      choose: (tried, send) => {
        const candidates = candidatesOf(vm, tried);
        const { now } = clock;
        const choose = (): void => {
          const best = table.best(now, candidates, USUAL_MS, this.#random);
          const { id = '' } = best?.runner ?? {};
          share.sent(clock.now, { id, slots: SLOTS }, USUAL_MS, false);
          send(id);
        };
        if (!share.isDue(now)) {
          choose();
          return;
        }
        tell();
        clock.after(LINK_MS, () => {
          const at = clock.now;
          const best = this.#owner.best(at, candidates, USUAL_MS, this.#random);
          const { id = '' } = best?.runner ?? {};
          this.#owner.sent(at, { id, slots: SLOTS }, at, USUAL_MS);
          const rows = this.#owner.rows(at, RUNNERS);
          clock.after(LINK_MS, () => {
            share.merge(clock.now, rows, USUAL_MS);
            send(id);
          });
        });
      },
      responded: (runner, load, ms, hasRun) => {
        const report: LoadReport = { runner, at: clock.now, load };
        const expected = table.expect(clock.now, { id: runner, slots: SLOTS }, USUAL_MS);
        if (hasRun) table.responded(report, 'r', ms, expected, USUAL_MS);
        else table.reported(report);
        if (!share.reported(clock.now, report, expected)) return;
        tell();
      },
    };
  }
}

/** Which runner is slow, changed every 600 ms; three means none. */
function slowRunners(random: () => number): readonly number[] {
  return Array.from({ length: 100 }, () => Math.floor(random() * 4));
}

/** Requests per second: a wave, and a burst of twice the mean from 8 to 12 s. */
function rateAt(now: number): number {
  if (now >= 8000 && now < 12_000) return 188;
  return 94 * (1 + 0.4 * Math.sin((2 * Math.PI * now) / 12_000));
}

/** Replays the load; returns the requests that were late or failed, and all. */
function replay(
  seed: number,
  choosersOf: (clock: Clock, random: () => number) => (vm: number) => Chooser,
): { readonly late: number; readonly failed: number; readonly all: number } {
  const clock = new Clock();
  const random = seeded(seed);
  const slow = slowRunners(random);
  const runners = RUNNERS.map(
    (_, index) => new FakeRunner(clock, (now) => (slow[Math.floor(now / 600)] === index ? 2.5 : 1)),
  );
  const chooserOf = choosersOf(clock, seeded(seed + 1000));
  const choosers = Array.from({ length: VMS }, (_, vm) => chooserOf(vm));
  const result = { late: 0, failed: 0, all: 0 };
  const request = (chooser: Chooser, size: number, since: number, tried: string[]): void => {
    chooser.choose(tried, (id) => {
      tried.push(id);
      const runner = runners[RUNNERS.indexOf(id)] as FakeRunner;
      const sentAt = clock.now;
      clock.after(LINK_MS, () =>
        runner.take(size * USUAL_MS, (hasRun) => {
          const { load } = runner;
          clock.after(LINK_MS, () => {
            chooser.responded(id, load, clock.now - sentAt, hasRun);
            if (!hasRun && tried.length < 2) request(chooser, size, since, tried);
            else if (!hasRun) result.failed += 1;
            else if (clock.now - since > AIM_MS) result.late += 1;
          });
        }),
      );
    });
  };
  const arrive = (): void => {
    if (clock.now > DURATION_MS) return;
    const chooser = choosers[Math.floor(random() * VMS)] as Chooser;
    result.all += 1;
    request(chooser, 0.5 + random(), clock.now, []);
    clock.after((-Math.log(1 - random()) / rateAt(clock.now)) * 1000, arrive);
  };
  arrive();
  clock.runAll();
  return result;
}

describe('plain requests of 73 VMs at three runners, one of them slow', () => {
  // Guards against counts and slowness that are too old: late requests and rejections beside free slots.
  test('are late or fail less than half as often as with the choice by own counts', () => {
    const sum = { counts: 0, table: 0, all: 0, messages: 0 };
    for (const seed of [1, 2, 3]) {
      const byCounts = replay(seed, (_, random) => (vm) => ownCounts(vm, random));
      const byTable = replay(seed, (clock, random) => {
        const loads = new SharedLoads(clock, random);
        return (vm) =>
          loads.chooserOf(vm, () => {
            sum.messages += 1;
          });
      });
      sum.counts += byCounts.late + byCounts.failed;
      sum.table += byTable.late + byTable.failed;
      sum.all += byTable.all;
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
