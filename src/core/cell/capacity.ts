/**
 * Exact record of what this cell has assigned: decode slots, prefill backlog and
 * links. Load reports are delayed, so they only correct for load that the cell did
 * not assign itself.
 */

import type { LoadReport, Runner } from './types';

/** Read-only view of the capacity of a cell's runners. */
export interface CellCapacity {
  readonly prefillRunners: readonly PrefillLoad[];
  readonly decodeRunners: readonly DecodeLoad[];
  /** Total slots of the decode runners that are not leaving, free or not. */
  readonly decodeSlots: number;
  /** Total free decode slots within the batch caps. */
  readonly freeSlots: number;
  /** Whether a link already carries as many transfers as allowed. */
  isLinkBusy(link: string): boolean;
}

/** A prefill runner and the work assigned to it. */
export interface PrefillLoad {
  readonly runner: Runner;
  readonly leaving: boolean;
  /** Prefills assigned and not yet reported as finished. */
  readonly pending: number;
  /** Estimated time at which its assigned work ends, in milliseconds. */
  readonly busyUntil: number;
  /** Running requests according to its latest (delayed) report, for baselines that rely on reports. */
  readonly reportedRunning: number;
}

/** A decode runner and the slots reserved on it. */
export interface DecodeLoad {
  readonly runner: Runner;
  readonly leaving: boolean;
  /** Slots reserved by this cell. */
  readonly held: number;
  /** Slots in use that this cell did not reserve, left over from previous owners. */
  readonly untracked: number;
  /** Maximum number of slots in use, from the batch cap. */
  readonly cap: number;
  /** KV cache in use by the reserved slots, in tokens. */
  readonly heldTokens: number;
  /** Running requests according to its latest (delayed) report. */
  readonly reportedRunning: number;
}

type Mutable<T> = { -readonly [K in keyof T]: T[K] };

/**
 * Reasons why a runner counts as leaving. They come from different sources and any one
 * suffices: a report that precedes an operator's command must not undo the command.
 */
interface LeavingReasons {
  /** It is not in the settings. */
  unlisted: boolean;
  /** It reported that it is leaving. */
  reported: boolean;
  /** The platform lists its VM as leaving, or operators drain it. */
  departing: boolean;
  /** Earliest measurement time of a report that undoes a refusal as leaving; 0 if there was no refusal. */
  refusedUntil: number;
}

/** A slot reserved (1) or released (-1). */
interface SlotChange {
  readonly at: number;
  readonly change: number;
}

/** Time for which slot changes are kept to interpret a delayed report, in milliseconds. */
const MAX_REPORT_LAG_MS = 5000;
/** A refusal as leaving is only undone by a report measured at least this long after it, in milliseconds. */
const REFUSAL_HOLD_MS = 500;

/** A decode runner's load with its recent changes, oldest first. */
interface DecodeRecord extends Mutable<DecodeLoad> {
  readonly changes: SlotChange[];
}

/** Number of slots of a decode runner that can be reserved now. */
export function freeSlotsOf(load: DecodeLoad): number {
  if (load.leaving) return 0;
  return Math.max(0, load.cap - load.held - load.untracked);
}

/** Excludes the runner that failed last, unless it is the only one. */
export function preferOtherRunners<T extends { readonly runner: Runner }>(
  candidates: readonly T[],
  avoid: string | undefined,
): readonly T[] {
  const others = candidates.filter(({ runner }) => runner.id !== avoid);
  return others.length > 0 ? others : candidates;
}

/** Tracks the capacity of a cell's runners. Only the cell modifies it. */
export class CapacityTracker implements CellCapacity {
  readonly #prefill = new Map<string, Mutable<PrefillLoad>>();

  readonly #decode = new Map<string, DecodeRecord>();

  readonly #links = new Map<string, number>();

  readonly #leavingReasons = new Map<string, LeavingReasons>();

  /** Maximum number of concurrent transfers on one link; more would only slow each of them down. */
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
    for (const load of this.#decode.values()) total += load.leaving ? 0 : load.cap;
    return total;
  }

  get freeSlots(): number {
    let total = 0;
    for (const load of this.#decode.values()) total += freeSlotsOf(load);
    return total;
  }

  /** Load of a prefill runner; undefined if the runner is unknown. */
  prefillLoad(id: string): PrefillLoad | undefined {
    return this.#prefill.get(id);
  }

  /** Load of a decode runner; undefined if the runner is unknown. */
  decodeLoad(id: string): DecodeLoad | undefined {
    return this.#decode.get(id);
  }

  isLinkBusy(link: string): boolean {
    return (this.#links.get(link) ?? 0) >= this.#transfersPerLink;
  }

  /** Applies the operators' list of runners. A runner that is no longer listed counts as leaving and stays tracked until its work ends. */
  setRunners(runners: readonly Runner[]): void {
    const listed = new Set(runners.map(({ id }) => id));
    for (const runner of runners) {
      if (runner.role === 'prefill') this.#addPrefill(runner);
      if (runner.role === 'decode') this.#addDecode(runner);
    }
    for (const id of this.#runnerIds()) {
      this.#reasonsOf(id).unlisted = !listed.has(id);
      this.#updateLeaving(id);
    }
  }

  /** Sets the runners that the platform lists as leaving or that operators drain. */
  setDeparting(runners: readonly string[]): void {
    for (const id of this.#runnerIds()) {
      this.#reasonsOf(id).departing = runners.includes(id);
      this.#updateLeaving(id);
    }
  }

  /** Records that a runner refused work because it is leaving. It gets no work until a later report says otherwise. */
  recordLeavingRefusal(runner: string, now: number): void {
    this.#reasonsOf(runner).refusedUntil = now + REFUSAL_HOLD_MS;
    this.#updateLeaving(runner);
  }

  /** Sets the batch cap of a decode runner. */
  setBatchCap(runner: string, cap: number): void {
    const load = this.#decode.get(runner);
    if (load) load.cap = cap;
  }

  /** Adds a prefill of the estimated duration in milliseconds to a runner's backlog. */
  addPrefill(runner: string, now: number, ms: number): void {
    const load = this.#prefill.get(runner);
    if (!load) return;
    load.pending += 1;
    load.busyUntil = Math.max(now, load.busyUntil) + ms;
  }

  /** Removes a prefill from a runner's backlog. */
  removePrefill(runner: string, now: number): void {
    const load = this.#prefill.get(runner);
    if (!load) return;
    load.pending = Math.max(0, load.pending - 1);
    if (load.pending === 0) load.busyUntil = now;
  }

  /** Reserves a decode slot and the KV cache of this many tokens. */
  reserveSlot(runner: string, now: number, tokens: number): void {
    this.#changeSlot(runner, now, 1, tokens);
  }

  /** Releases a decode slot and the KV cache of this many tokens. */
  freeSlot(runner: string, now: number, tokens: number): void {
    this.#changeSlot(runner, now, -1, -tokens);
  }

  /** Counts a transfer that starts on a link. */
  reserveLink(link: string): void {
    this.#links.set(link, (this.#links.get(link) ?? 0) + 1);
  }

  /** Counts a transfer that ended on a link. */
  freeLink(link: string): void {
    const remaining = (this.#links.get(link) ?? 0) - 1;
    if (remaining > 0) this.#links.set(link, remaining);
    else this.#links.delete(link);
  }

  /** Applies a load report. It does not override what was assigned after its measurement. */
  applyReport(now: number, report: LoadReport): void {
    const reasons = this.#reasonsOf(report.runner);
    reasons.reported = report.leaving;
    if (report.asOf >= reasons.refusedUntil) reasons.refusedUntil = 0;
    this.#updateLeaving(report.runner);
    const prefill = this.#prefill.get(report.runner);
    if (prefill) prefill.reportedRunning = report.running;
    const decode = this.#decode.get(report.runner);
    if (!decode) return;
    decode.reportedRunning = report.running;
    while (decode.changes[0] && decode.changes[0].at < now - MAX_REPORT_LAG_MS) {
      decode.changes.shift();
    }
    const later = decode.changes.filter(({ at }) => at >= report.asOf);
    const heldAtReport = later.reduce((held, { change }) => held - change, decode.held);
    // Requests sent just before the measurement may not have reached the runner yet, so only a surplus counts.
    decode.untracked = Math.max(0, report.running - heldAtReport);
  }

  #runnerIds(): readonly string[] {
    return [...this.#prefill.keys(), ...this.#decode.keys()];
  }

  #reasonsOf(runner: string): LeavingReasons {
    const known = this.#leavingReasons.get(runner);
    if (known) return known;
    const reasons = { unlisted: false, reported: false, departing: false, refusedUntil: 0 };
    this.#leavingReasons.set(runner, reasons);
    return reasons;
  }

  #updateLeaving(runner: string): void {
    const { unlisted, reported, departing, refusedUntil } = this.#reasonsOf(runner);
    const leaving = unlisted || reported || departing || refusedUntil > 0;
    const prefill = this.#prefill.get(runner);
    const decode = this.#decode.get(runner);
    if (prefill) prefill.leaving = leaving;
    if (decode) decode.leaving = leaving;
  }

  #changeSlot(runner: string, at: number, change: 1 | -1, tokens: number): void {
    const load = this.#decode.get(runner);
    if (!load) return;
    load.held += change;
    load.heldTokens += tokens;
    load.changes.push({ at, change });
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
