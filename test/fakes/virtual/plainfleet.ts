/**
 * Simulates VMs that choose among the runners of one plain service under virtual time, by own counts
 * or by load tables that they share through an owner. Owners freeze, are cut off or are killed.
 */

import { LoadShare } from '../../../src/core/plain/loadshare';
import type { Candidate } from '../../../src/core/plain/loadtable';
import { LoadTable } from '../../../src/core/plain/loadtable';
import type { LoadReport, RunnerLoad } from '../../../src/core/plain/types';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** Number of VMs. */
export const VMS = 73;
/** Slots of each runner. */
export const SLOTS = 6;
const MAX_WAITING = 6;
const USUAL_MS = 70;
const AIM_MS = 300;
const LINK_MS = 2;
const RUNNERS = ['a', 'b', 'c'];
const DURATION_MS = 24_000;
/** Times of `PlainLoads` and `RouterFleet`, in milliseconds. */
const REFRESH_WAIT_MS = 20;
const CALL_TIMEOUT_MS = 150;
const SKIP_MS = 1500;
/** Time in which the membership finds out that a VM does not answer, in milliseconds. */
const DETECT_MS = 2000;

/** Virtual time. */
export class Clock {
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
export interface Chooser {
  choose(tried: readonly string[], send: (runner: string) => void): void;
  responded(runner: string, load: RunnerLoad, ms: number, hasRun: boolean): void;
}

function candidatesOf(vm: number, tried: readonly string[]): readonly Candidate[] {
  const left = RUNNERS.filter((id) => !tried.includes(id));
  return left.map((id) => ({ id, slots: SLOTS, extra: RUNNERS[vm % 3] === id ? 0 : 0.5 }));
}

/** Chooses by the requests in flight of the VM alone. */
export function ownCounts(vm: number, random: () => number): Chooser {
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
export class SharedLoads {
  readonly #clock: Clock;

  readonly #random: () => number;

  /** Tables of the VMs as owners. */
  readonly #owners = Array.from({ length: VMS }, () => new LoadTable());

  /** Since when VMs do not answer others. */
  readonly #lostAt = new Map<number, number>();

  /** Messages to owners. */
  messages = 0;

  constructor(clock: Clock, random: () => number) {
    this.#clock = clock;
    this.#random = random;
  }

  /** VMs do not answer others from now on, since they are frozen, cut off or killed. */
  lose(vms: readonly number[]): void {
    for (const vm of vms) this.#lostAt.set(vm, this.#clock.now);
  }

  /** All VMs answer again, with the tables that they had. */
  restore(): void {
    this.#lostAt.clear();
  }

  chooserOf(vm: number): Chooser {
    const clock = this.#clock;
    const table = new LoadTable();
    const share = new LoadShare(table);
    const skippedUntil = new Map<number, number>();
    const tell = (owner: number): void => {
      this.messages += 1;
      const { reports, sent } = share.take(clock.now);
      clock.after(LINK_MS, () => {
        if (!this.#answers(vm, owner)) return;
        const own = this.#tableOf(owner);
        for (const report of reports) own.reported(report);
        for (const { runner: id, at } of sent) {
          own.sent(clock.now, { id, slots: SLOTS }, at, USUAL_MS);
        }
      });
    };
    return {
      choose: (tried, send) => {
        const candidates = candidatesOf(vm, tried);
        const { now } = clock;
        const choose = (): void => {
          const best = table.best(clock.now, candidates, USUAL_MS, this.#random);
          const { id = '' } = best?.runner ?? {};
          share.sent(clock.now, { id, slots: SLOTS }, USUAL_MS, false);
          send(id);
        };
        if (!share.isDue(now)) {
          choose();
          return;
        }
        const owner = this.#ownerOf(vm, skippedUntil);
        tell(owner);
        if (!this.#answers(vm, owner)) {
          clock.after(REFRESH_WAIT_MS, choose);
          clock.after(CALL_TIMEOUT_MS, () => skippedUntil.set(owner, clock.now + SKIP_MS));
          return;
        }
        clock.after(LINK_MS, () => {
          const at = clock.now;
          const own = this.#tableOf(owner);
          const best = own.best(at, candidates, USUAL_MS, this.#random);
          const { id = '' } = best?.runner ?? {};
          own.sent(at, { id, slots: SLOTS }, at, USUAL_MS);
          const rows = own.rows(at, RUNNERS);
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
        tell(this.#ownerOf(vm, skippedUntil));
      },
    };
  }

  #tableOf(vm: number): LoadTable {
    return this.#owners[vm] as LoadTable;
  }

  #answers(from: number, to: number): boolean {
    return from === to || !(this.#lostAt.has(from) || this.#lostAt.has(to));
  }

  /** The first VM that one VM does not skip, and that the membership has not removed. */
  #ownerOf(vm: number, skippedUntil: ReadonlyMap<number, number>): number {
    const { now } = this.#clock;
    const isUsed = (one: number): boolean => {
      const isRemoved = one !== vm && now - (this.#lostAt.get(one) ?? Infinity) >= DETECT_MS;
      return !isRemoved && (skippedUntil.get(one) ?? 0) <= now;
    };
    const vms = Array.from({ length: VMS }, (_, one) => one);
    return vms.find(isUsed) ?? vm;
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

/** A request that was answered or rejected. */
export interface PlainRequest {
  readonly at: number;
  readonly vm: number;
  /** Sends to runners. */
  readonly sends: number;
  readonly state: 'inTime' | 'late' | 'failed';
}

/**
 * Replays the load; returns all requests.
 * @param openVmOf the VM that the caller of a request uses instead of the given one, by the time
 */
export function replay(
  seed: number,
  choosersOf: (clock: Clock, random: () => number) => (vm: number) => Chooser,
  openVmOf: (now: number, vm: number) => number = (_now, vm) => vm,
): readonly PlainRequest[] {
  const clock = new Clock();
  const random = seeded(seed);
  const slow = slowRunners(random);
  const runners = RUNNERS.map(
    (_, index) => new FakeRunner(clock, (now) => (slow[Math.floor(now / 600)] === index ? 2.5 : 1)),
  );
  const chooserOf = choosersOf(clock, seeded(seed + 1000));
  const choosers = Array.from({ length: VMS }, (_, vm) => chooserOf(vm));
  const requests: PlainRequest[] = [];
  const request = (vm: number, size: number, since: number, tried: string[]): void => {
    const chooser = choosers[vm] as Chooser;
    chooser.choose(tried, (id) => {
      tried.push(id);
      const runner = runners[RUNNERS.indexOf(id)] as FakeRunner;
      const sentAt = clock.now;
      clock.after(LINK_MS, () =>
        runner.take(size * USUAL_MS, (hasRun) => {
          const { load } = runner;
          clock.after(LINK_MS, () => {
            chooser.responded(id, load, clock.now - sentAt, hasRun);
            if (!hasRun && tried.length < 2) {
              request(vm, size, since, tried);
              return;
            }
            const isInTime = clock.now - since <= AIM_MS;
            const state = isInTime ? 'inTime' : 'late';
            requests.push({
              at: since,
              vm,
              sends: tried.length,
              state: hasRun ? state : 'failed',
            });
          });
        }),
      );
    });
  };
  const arrive = (): void => {
    if (clock.now > DURATION_MS) return;
    const vm = openVmOf(clock.now, Math.floor(random() * VMS));
    request(vm, 0.5 + random(), clock.now, []);
    clock.after((-Math.log(1 - random()) / rateAt(clock.now)) * 1000, arrive);
  };
  arrive();
  clock.runAll();
  return requests;
}
