/**
 * Load of the runners of one plain service, by which requests are placed where they are expected to
 * finish first.
 *
 * Made for services with a few runners of a few slots behind many VMs, each of which sends about
 * one request a second, and for runners that slow down by a factor of about 2.5 for about 600 ms
 * at a time. Reports are then some 100 ms old; entries of requests sent later bridge that time.
 */

import type { Outcomes } from './failures';
import { FailureShares } from './failures';
import { RunnerSpeed } from './speed';
import type { LoadReport } from './types';
import { UsualTimes } from './usualtimes';

/** A runner that may get a request. */
export interface Candidate {
  readonly id: string;
  /** Slots by its registration, until it reports them. */
  readonly slots: number;
  /** Additional cost, in requests in flight. */
  readonly extra: number;
}

/** What is expected of a request at a runner. */
export interface Expectation {
  /** Time until a slot is free, in milliseconds. */
  readonly waitMs: number;
  /** Time until the request ends, in milliseconds. */
  readonly finishMs: number;
  /** Requests in flight before it. */
  readonly inFlight: number;
  readonly slots: number;
  readonly slowness: number;
}

/** A candidate with what is expected of the request. */
export interface Choice<T extends Candidate> {
  readonly runner: T;
  readonly expected: Expectation;
  /** Whether all candidates are full. */
  readonly areAllFull: boolean;
}

/** A row for other VMs: the newest report of a runner and the number of requests sent after it. */
export interface LoadRow {
  readonly runner: string;
  readonly report: LoadReport | undefined;
  readonly sent: number;
  /** Recent results of its requests; undefined if there are none. */
  readonly outcomes: Outcomes | undefined;
}

/** Time constant with which a reported slowness decays to its mean, in milliseconds: a slowdown lasts about 600 ms. */
const SLOWNESS_DECAY_MS = 600;
/** Weight of a new report in the mean slowness. */
const SLOWNESS_WEIGHT = 0.05;
/**
 * Requests sent this long before a report may not be in it yet, in milliseconds: they were on the
 * way, or the report was, which makes it look newer than it is.
 */
const TRANSIT_MS = 20;
/** Time after which a runner that reported no slowness since is balanced by own counts again, in milliseconds. */
const FORGET_MS = 30_000;
/**
 * Additional expected time at a runner with all slots in use, as a part of the request's own time:
 * of two runners with free slots the emptier one is the safer choice when counts are off.
 */
const CROWDING = 0.3;
/**
 * Weight of the wait in the cost of a choice. A request that waits also delays those behind it, and
 * runners reject what exceeds their queues: with a weight of 1 a slow runner stays idle while the
 * others reject requests (`test/core/plainload.test.ts`: 1.8 times the failures).
 */
const WAIT_WEIGHT = 3;
/**
 * Requests that may wait at a runner before it counts as full. They take the slots that become free
 * while a VM does not know it yet.
 */
const SPARE_WAITING = 2;
/**
 * Cost of a request that fails, in milliseconds: its caller has to try again, or gets no answer.
 * Longer than any wait at a runner that has room.
 */
const FAILURE_COST_MS = 1000;
/** Range of the random cost that breaks ties, in requests in flight. */
const TIE_RANGE = 0.25;
/**
 * Time for which a request counts although no later report of its runner arrives, in milliseconds:
 * the shortest time budget of callers. A runner that does not answer any more would look idle when
 * its requests were expected to end, and get most of the load.
 */
const UNREPORTED_MS = 4000;
/** Usual time before any response is known, in milliseconds. */
const DEFAULT_USUAL_MS = 100;

interface Entry {
  report: LoadReport | undefined;
  meanSlowness: number;
  /** Requests sent after the report, and until when they count without a later one. */
  sent: readonly { readonly at: number; readonly countedUntil: number }[];
  readonly speed: RunnerSpeed;
}

/** The load table of one service at one VM. */
export class LoadTable {
  readonly usual = new UsualTimes();

  readonly failures = new FailureShares();

  readonly #entries = new Map<string, Entry>();

  #slownessAt = -Infinity;

  /** Most slots that a runner of the service has reported; infinite before the first report. */
  #mostSlots = Infinity;

  /** Whether runners of the service report their slowness. */
  reportsSlowness(now: number): boolean {
    return now - this.#slownessAt < FORGET_MS;
  }

  /** Applies a report; returns false if a later one of the runner is known. */
  reported(report: LoadReport): boolean {
    const { runner, at, load } = report;
    const entry = this.#entryOf(runner);
    const knownAt = entry.report?.at ?? -Infinity;
    if (at <= knownAt) return false;
    const { slowness } = load;
    if (slowness !== undefined) {
      const weight = entry.report ? SLOWNESS_WEIGHT : 1;
      entry.meanSlowness += (slowness - entry.meanSlowness) * weight;
      this.#slownessAt = Math.max(this.#slownessAt, at);
    }
    entry.report = report;
    entry.sent = entry.sent.filter((one) => one.at > at - TRANSIT_MS);
    const known = Number.isFinite(this.#mostSlots) ? this.#mostSlots : 0;
    this.#mostSlots = Math.max(known, load.slots);
    return true;
  }

  /** Counts a request that is sent to a runner, until a later report of the runner. */
  sent(now: number, candidate: Pick<Candidate, 'id' | 'slots'>, at: number, ownMs: number): void {
    const entry = this.#entryOf(candidate.id);
    const reportAt = entry.report?.at ?? -Infinity;
    if (at <= reportAt - TRANSIT_MS) return;
    const { finishMs } = this.expect(now, candidate, ownMs);
    const countedUntil = at + Math.max(finishMs, UNREPORTED_MS);
    if (countedUntil > now) entry.sent = [...entry.sent, { at, countedUntil }];
  }

  /**
   * Records the response time of a request of this VM, and the report in its response.
   * @param expected what was expected when the request was sent
   */
  responded(
    report: LoadReport,
    route: string,
    ms: number,
    expected: Expectation | undefined,
    defaultMs: number,
  ): void {
    const { at, runner, load } = report;
    const { running, waiting, slots, slowness = 1 } = load;
    const hasWaited = waiting > 0 || (expected !== undefined && expected.waitMs > 0);
    const usualMs = this.usual.of(route, defaultMs);
    if (!hasWaited) {
      this.usual.observe(route, ms / slowness);
      const occupancy = Math.min(1, (running + 1) / slots);
      this.#entryOf(runner).speed.observe(at, occupancy, ms / slowness / usualMs);
    }
    this.reported(report);
  }

  /** What is expected of a request with a usual time of `ownMs` at a runner. */
  expect(now: number, { id, slots }: Pick<Candidate, 'id' | 'slots'>, ownMs: number): Expectation {
    const entry = this.#entries.get(id);
    // A registration may come from another writer; slots that no runner has would hold requests.
    const registered = Math.max(1, Math.min(slots, this.#mostSlots));
    const allSlots = entry?.report?.load.slots ?? registered;
    const usable = entry?.speed.usableSlots(now, allSlots) ?? allSlots;
    const slowness = entry ? slownessAt(now, entry) : 1;
    const factor = slowness * (entry?.speed.factor ?? 1);
    const paceMs = (this.usual.mean ?? DEFAULT_USUAL_MS) * factor;
    const inFlight = entry ? inFlightAt(now, entry, paceMs) : 0;
    const waitMs = (Math.max(0, inFlight + 1 - usable) / usable) * paceMs;
    const crowding = 1 + CROWDING * Math.min(1, inFlight / usable);
    const finishMs = waitMs + ownMs * factor * crowding;
    return { waitMs, finishMs, inFlight, slots: usable, slowness };
  }

  /**
   * The candidate at which a request is expected to finish first; undefined without candidates.
   * @param random returns numbers from 0 to 1
   */
  best<T extends Candidate>(
    now: number,
    candidates: readonly T[],
    ownMs: number,
    random: () => number,
  ): Choice<T> | undefined {
    let best: Omit<Choice<T>, 'areAllFull'> | undefined;
    let bestCost = Infinity;
    let areAllFull = true;
    for (const runner of candidates) {
      const expected = this.expect(now, runner, ownMs);
      const perRequestMs = (ownMs * expected.slowness) / expected.slots;
      const extraMs = (runner.extra + random() * TIE_RANGE) * perRequestMs;
      areAllFull &&= expected.inFlight >= expected.slots + SPARE_WAITING;
      const failureMs = this.failures.excess(now, runner.id) * FAILURE_COST_MS;
      const waitMs = (WAIT_WEIGHT - 1) * expected.waitMs;
      const cost = expected.finishMs + waitMs + extraMs + failureMs;
      if (cost < bestCost) {
        best = { runner, expected };
        bestCost = cost;
      }
    }
    return best && { ...best, areAllFull };
  }

  /** The newest report of a runner; undefined if there is none. */
  reportOf(runner: string): LoadReport | undefined {
    return this.#entries.get(runner)?.report;
  }

  /** Rows about some runners, for another VM. */
  rows(now: number, runners: readonly string[]): readonly LoadRow[] {
    const results = new Map(this.failures.rows(now).map((one) => [one.runner, one]));
    return runners.flatMap((runner) => {
      const entry = this.#entries.get(runner);
      if (!entry) return [];
      const sent = entry.sent.filter(({ countedUntil }) => countedUntil > now).length;
      return [{ runner, report: entry.report, sent, outcomes: results.get(runner) }];
    });
  }

  /** Replaces what is known of the requests sent to a runner by the row of another VM, and applies its report. */
  merge(now: number, { runner, report, sent, outcomes }: LoadRow): void {
    if (report) this.reported(report);
    if (outcomes) this.failures.replace(now, outcomes);
    const entry = this.#entryOf(runner);
    const paceMs = (this.usual.mean ?? DEFAULT_USUAL_MS) * slownessAt(now, entry);
    // The copy is replaced soon, so that its entries may end when the requests are expected to.
    entry.sent = Array.from({ length: sent }, (_, index) => ({
      at: now,
      countedUntil: now + (paceMs * (index + 1)) / sent,
    }));
  }

  /** Removes the state of runners that are gone. */
  retain(runners: ReadonlySet<string>): void {
    for (const runner of this.#entries.keys()) {
      if (!runners.has(runner)) this.#entries.delete(runner);
    }
    this.failures.retain(runners);
  }

  /** State for operators: in-flight requests, slots and slowness by runner. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    return Object.fromEntries(
      [...this.#entries].map(([id, { report }]) => {
        const { inFlight, slots, slowness } = this.expect(now, { id, slots: 1 }, 0);
        const ageMs = report ? Math.round(now - report.at) : null;
        return [id, { inFlight: round(inFlight), slots, slowness: round(slowness), ageMs }];
      }),
    );
  }

  #entryOf(runner: string): Entry {
    const known = this.#entries.get(runner);
    if (known) return known;
    const entry = { report: undefined, meanSlowness: 1, sent: [], speed: new RunnerSpeed() };
    this.#entries.set(runner, entry);
    return entry;
  }
}

function slownessAt(now: number, { report, meanSlowness }: Entry): number {
  const reported = report?.load.slowness;
  if (report === undefined || reported === undefined) return meanSlowness;
  const weight = Math.exp(-Math.max(0, now - report.at) / SLOWNESS_DECAY_MS);
  return meanSlowness + (reported - meanSlowness) * weight;
}

/** Reported requests that have not ended at the given time for each, and those sent after the report. */
function inFlightAt(now: number, { report, sent }: Entry, paceMs: number): number {
  const sentCount = sent.filter(({ countedUntil }) => countedUntil > now).length;
  if (!report) return sentCount;
  const { running, waiting, slots } = report.load;
  const count = running + waiting;
  const ended = (Math.min(count, slots) * Math.max(0, now - report.at)) / paceMs;
  return Math.max(0, count - ended) + sentCount;
}

function round(value: number): number {
  return Math.round(value * 100) / 100;
}
