/**
 * Exact account of what this cell has given out: decode slots, prefill backlog
 * and links. Load reports are late, so they only correct for what the cell did
 * not grant itself.
 */

import type { LoadReport, Runner } from './types';

/** Read-only view of the account. */
export interface CellCapacity {
  readonly prefillRunners: readonly PrefillLoad[];
  readonly decodeRunners: readonly DecodeLoad[];
  /** Slots of all decode runners that take work, free or not. */
  readonly decodeSlots: number;
  /** Free decode slots less than batch caps allow. */
  readonly freeSlots: number;
  isLinkBusy(link: string): boolean;
}

/** A prefill runner and the work given to it. */
export interface PrefillLoad {
  readonly runner: Runner;
  readonly leaving: boolean;
  /** Prefills given and not yet reported done. */
  readonly pending: number;
  /** When its given work should be done. */
  readonly busyUntil: number;
  /** What its lagged report said, for baselines that go by reports. */
  readonly reportedRunning: number;
}

/** A decode runner and the slots given on it. */
export interface DecodeLoad {
  readonly runner: Runner;
  readonly leaving: boolean;
  readonly held: number;
  /** Slots in use that this cell did not give: left over from earlier owners. */
  readonly untracked: number;
  /** Slots that may be used, from the batch cap. */
  readonly cap: number;
  readonly heldTokens: number;
  readonly reportedRunning: number;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/**
 * Signs that a runner leaves. Each comes from somewhere else and each is enough:
 * a report that came before an operator's order must not undo the order.
 */
interface Signs {
  unlisted: boolean;
  reported: boolean;
  departing: boolean;
  refusedUntil: number;
}

interface GrantChange {
  readonly at: number;
  readonly change: number;
}

/** How long changes are kept to interpret a late report, in milliseconds. */
const REPORT_LAG_LIMIT = 5000;
/** Reports that look further back than this after a refusal do not undo it, in milliseconds. */
const REFUSED_MS = 500;

interface DecodeState extends Mutable<DecodeLoad> {
  readonly changes: GrantChange[];
}

/** Slots of a runner that can be given now. */
export function freeSlotsOf(place: DecodeLoad): number {
  if (place.leaving) return 0;
  return Math.max(0, place.cap - place.held - place.untracked);
}

/** Places without the runner that failed last, unless there is no other. */
export function preferOtherRunners<T extends { readonly runner: Runner }>(
  places: readonly T[],
  avoid: string | undefined,
): readonly T[] {
  const others = places.filter(({ runner }) => runner.id !== avoid);
  return others.length > 0 ? others : places;
}

/** The account itself; only the cell writes to it. */
export class CapacityTracker implements CellCapacity {
  readonly #prefill = new Map<string, Mutable<PrefillLoad>>();

  readonly #decode = new Map<string, DecodeState>();

  readonly #links = new Map<string, number>();

  readonly #signs = new Map<string, Signs>();

  /** Transfers at once on one link; more would only make each of them slower. */
  readonly #transfersPerLink: number;

  constructor(transfersPerLink = 1) {
    this.#transfersPerLink = transfersPerLink;
  }

  get prefillRunners(): readonly PrefillLoad[] {
    return [...this.#prefill.values()];
  }

  get decodeRunners(): readonly DecodeLoad[] {
    return [...this.#decode.values()];
  }

  get decodeSlots(): number {
    let total = 0;
    for (const place of this.#decode.values()) total += place.leaving ? 0 : place.cap;
    return total;
  }

  get freeSlots(): number {
    let total = 0;
    for (const place of this.#decode.values()) total += freeSlotsOf(place);
    return total;
  }

  prefillLoad(id: string): PrefillLoad | undefined {
    return this.#prefill.get(id);
  }

  decodeLoad(id: string): DecodeLoad | undefined {
    return this.#decode.get(id);
  }

  isLinkBusy(link: string): boolean {
    return (this.#links.get(link) ?? 0) >= this.#transfersPerLink;
  }

  /** Takes over the operators' list; a runner that is gone from it keeps its account until its work ends. */
  setRunners(runners: readonly Runner[]): void {
    const listed = new Set(runners.map(({ id }) => id));
    for (const runner of runners) {
      if (runner.role === 'prefill') this.#addPrefill(runner);
      if (runner.role === 'decode') this.#addDecode(runner);
    }
    for (const id of this.#ids()) {
      this.#signsOf(id).unlisted = !listed.has(id);
      this.#weigh(id);
    }
  }

  /** Runners that leave by the platform's list or the operators' word. */
  setDeparting(runners: readonly string[]): void {
    for (const id of this.#ids()) {
      this.#signsOf(id).departing = runners.includes(id);
      this.#weigh(id);
    }
  }

  /** A runner that refused work as leaving gets none until a report from after that says otherwise. */
  recordLeavingRefusal(runner: string, now: number): void {
    this.#signsOf(runner).refusedUntil = now + REFUSED_MS;
    this.#weigh(runner);
  }

  setBatchCap(runner: string, cap: number): void {
    const place = this.#decode.get(runner);
    if (place) place.cap = cap;
  }

  addPrefill(runner: string, now: number, ms: number): void {
    const place = this.#prefill.get(runner);
    if (!place) return;
    place.pending += 1;
    place.busyUntil = Math.max(now, place.busyUntil) + ms;
  }

  removePrefill(runner: string, now: number): void {
    const place = this.#prefill.get(runner);
    if (!place) return;
    place.pending = Math.max(0, place.pending - 1);
    if (place.pending === 0) place.busyUntil = now;
  }

  reserveSlot(runner: string, now: number, tokens: number): void {
    this.#changeSlot(runner, now, 1, tokens);
  }

  freeSlot(runner: string, now: number, tokens: number): void {
    this.#changeSlot(runner, now, -1, -tokens);
  }

  reserveLink(link: string): void {
    this.#links.set(link, (this.#links.get(link) ?? 0) + 1);
  }

  freeLink(link: string): void {
    const left = (this.#links.get(link) ?? 0) - 1;
    if (left > 0) this.#links.set(link, left);
    else this.#links.delete(link);
  }

  /** Nothing that was granted after the report's time is overridden by it. */
  applyReport(now: number, report: LoadReport): void {
    const signs = this.#signsOf(report.runner);
    signs.reported = report.leaving;
    if (report.asOf >= signs.refusedUntil) signs.refusedUntil = 0;
    this.#weigh(report.runner);
    const prefill = this.#prefill.get(report.runner);
    if (prefill) prefill.reportedRunning = report.running;
    const decode = this.#decode.get(report.runner);
    if (!decode) return;
    decode.reportedRunning = report.running;
    while (decode.changes[0] && decode.changes[0].at < now - REPORT_LAG_LIMIT) {
      decode.changes.shift();
    }
    const since = decode.changes.filter(({ at }) => at >= report.asOf);
    const heldThen = since.reduce((held, { change }) => held - change, decode.held);
    // Slots asked for just before the report may not have reached the runner yet, so only a surplus counts.
    decode.untracked = Math.max(0, report.running - heldThen);
  }

  #ids(): readonly string[] {
    return [...this.#prefill.keys(), ...this.#decode.keys()];
  }

  #signsOf(runner: string): Signs {
    const known = this.#signs.get(runner);
    if (known) return known;
    const signs = { unlisted: false, reported: false, departing: false, refusedUntil: 0 };
    this.#signs.set(runner, signs);
    return signs;
  }

  #weigh(runner: string): void {
    const { unlisted, reported, departing, refusedUntil } = this.#signsOf(runner);
    const leaving = unlisted || reported || departing || refusedUntil > 0;
    const prefill = this.#prefill.get(runner);
    const decode = this.#decode.get(runner);
    if (prefill) prefill.leaving = leaving;
    if (decode) decode.leaving = leaving;
  }

  #changeSlot(runner: string, at: number, change: 1 | -1, tokens: number): void {
    const place = this.#decode.get(runner);
    if (!place) return;
    place.held += change;
    place.heldTokens += tokens;
    place.changes.push({ at, change });
  }

  #addPrefill(runner: Runner): void {
    const known = this.#prefill.get(runner.id);
    if (known) known.runner = runner;
    else {
      this.#prefill.set(runner.id, {
        runner,
        leaving: false,
        pending: 0,
        busyUntil: 0,
        reportedRunning: 0,
      });
    }
  }

  #addDecode(runner: Runner): void {
    const known = this.#decode.get(runner.id);
    if (known) {
      known.runner = runner;
      return;
    }
    const empty = {
      leaving: false,
      held: 0,
      untracked: 0,
      heldTokens: 0,
      reportedRunning: 0,
      changes: [],
    };
    this.#decode.set(runner.id, { ...empty, runner, cap: runner.slots });
  }
}
