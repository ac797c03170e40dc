/**
 * Checks the router's guarantees while the soak runs, from what callers and runners observe.
 * Guarantees about single requests are checked at all times; most of those with a time limit only
 * after a fault-free period.
 */

import type { Quota } from './allowances';
import { AllowanceChecker } from './allowances';
import type { Announcement } from './announcements';
import { bounds } from './vm';
import type { CallerAnswer, CallerObserver } from './callers';
import { CancellationChecker } from './cancellations';
import type { KeptConnection } from './connections';
import type { FaultFamily } from './faults';
import { services } from './pool';
import type { QuietContext } from './quiet';
import { QuietChecker } from './quiet';
import type { KeptContext } from './kept';
import { KeptChecker } from './kept';
import { OddChecker } from './oddcheck';
import { OrderChecker } from './orders';
import { ReachChecker } from './reach';
import type { LostStreamEnd } from './loststreams';
import { LostStreamChecker } from './loststreams';
import type { SentRequest } from './requests';
import { digestOf } from './requests';
import type { SilenceLog } from './silences';
import { StopChecker } from './stops';
import { MIN_FAULT_FREE_MS, TermsChecker } from './terms';
import type { Arrival, Order, RunnerObserver } from './work';
import { runnerIdOf } from './work';
import { UrgencyChecker } from './urgency';
import { VersionChecker } from './versions';

/** A violated guarantee. */
export interface Breach {
  /** Name of the guarantee. */
  readonly promise: string;
  readonly detail: string;
}

/** What guarantees are checked against. */
export interface GuaranteeContext {
  readonly onBreach: (breach: Breach) => void;
  /** Called for each stream that ended after its runner had fallen silent. */
  readonly onLostStreamEnd: (end: LostStreamEnd) => void;
  /** Time since the last fault of the given families ended, in milliseconds; 0 while one is in progress. */
  readonly faultFreeMs: (...families: readonly FaultFamily[]) => number;
  /** When the configuration that revoked a key was acknowledged; undefined while the key is valid. */
  readonly revokedAt: (key: string) => number | undefined;
  /** Time since the last fault that is no planned stop ended, in milliseconds; 0 while one is in progress. */
  readonly unplannedFreeMs: () => number;
  /** Whether the VM at an address is undisturbed, and has been for a while. */
  readonly isInTouch: (vm: string) => boolean;
  /** Number of decode runners of a software version that serve. */
  readonly runnersOf: (version: string) => number;
  /** Request rate and burst allowed to a customer; undefined if it has no quota. */
  readonly quotaOf: (customer: string) => Quota | undefined;
  /** Silences of sound runners. */
  readonly silences: SilenceLog;
  readonly isUndisturbed: QuietContext['isUndisturbed'];
  readonly isSteady: KeptContext['isSteady'];
  /** Whether an odd entry of another writer was in the store at a time (epoch milliseconds). */
  readonly wasBesideOdd: (at: number) => boolean;
}

/** What was observed of a request. */
interface RequestRecord {
  readonly request: SentRequest;
  /** Address of the VM that it was sent to. */
  readonly vm: string;
  readonly digest: string;
  readonly sentAt: number;
  /** Number of runs so far, without prefills. */
  runs: number;
  /** Runs in progress, including prefills. */
  readonly activeRuns: Set<Arrival>;
  /** Number of attempts that reached a runner; prefills before the first decode do not count. */
  arrivalCount: number;
  isRefused: boolean;
  /** When the end of the last run gets through to the VM; -Infinity if none ended. */
  lastEndedAt: number;
  /** Whether the runner of the last run ended in the middle of it. */
  hasBrokenOff: boolean;
}

/** Time for which the record of a request is retained after it was sent. */
const RECORD_RETENTION_MS = 90_000;

function serviceOf({ events }: SentRequest): string {
  return events > 0 ? services.model : services.plain;
}

/** Checks all guarantees of one run. */
export class GuaranteeChecker implements CallerObserver, RunnerObserver {
  readonly #context: GuaranteeContext;

  readonly #records = new Map<string, RequestRecord>();

  readonly #odd: OddChecker;

  readonly #orders = new OrderChecker();

  readonly #allowances: AllowanceChecker;

  readonly #terms: TermsChecker;

  readonly #quiet: QuietChecker;

  readonly #cancellations: CancellationChecker;

  readonly #kept: KeptChecker;

  readonly #reach = new ReachChecker();

  readonly #versions = new VersionChecker();

  readonly #urgency = new UrgencyChecker();

  readonly #lostStreams: LostStreamChecker;

  #fleetKilledAt = -Infinity;

  readonly #stops = new StopChecker({ graceMs: bounds['grace-s'] * 1000 });

  /** Highest observed value of each bounded amount, as a fraction of its bound. */
  readonly #peakUsage: Record<string, number> = {};

  constructor(context: GuaranteeContext) {
    this.#context = context;
    const { quotaOf, faultFreeMs, silences, isUndisturbed } = context;
    this.#lostStreams = new LostStreamChecker(context.onLostStreamEnd);
    const checkBound = this.#checkBound.bind(this);
    const report = this.#report.bind(this);
    this.#allowances = new AllowanceChecker({ checkBound, quotaOf });
    this.#terms = new TermsChecker({ checkBound, report, faultFreeMs });
    this.#cancellations = new CancellationChecker({ report, faultFreeMs, silences });
    this.#kept = new KeptChecker(context);
    this.#odd = new OddChecker(context);
    this.#quiet = new QuietChecker({
      log: silences,
      isUndisturbed,
      isForwarded: (vm) => this.#reach.isCut(vm),
    });
  }

  sent(request: SentRequest, vm: string): void {
    const now = Date.now();
    this.#allowances.sent(now, request.id, serviceOf(request));
    this.#records.set(request.id, {
      request,
      vm,
      digest: digestOf(request.path, request.body),
      sentAt: now,
      runs: 0,
      activeRuns: new Set(),
      arrivalCount: 0,
      isRefused: false,
      lastEndedAt: -Infinity,
      hasBrokenOff: false,
    });
  }

  /** Records that a VM is partitioned from all runners, or not any more. */
  setRunnersCut(vm: string, isCut: boolean): void {
    if (isCut) this.#reach.begin(Date.now(), vm);
    const loss = isCut ? undefined : this.#reach.end(vm);
    if (loss) this.#report('reach', loss.detail);
  }

  /** Records that all VMs are killed at once: none of them knows the streams so far. */
  setFleetKilled(): void {
    this.#fleetKilledAt = Date.now();
  }

  /** Records that a VM gets its first SIGTERM. */
  setStopping(vm: string): void {
    this.#stops.stopping(Date.now(), vm);
  }

  /** Records that a runner instance no longer answers, while others can continue its streams. */
  setLost(runner: string): void {
    for (const { request, vm, activeRuns } of this.#records.values()) {
      const isThere = [...activeRuns].some(
        ({ instanceId, role }) => instanceId === runner && role === 'decode',
      );
      const isResumable = request.kind === 'resumable';
      if (isThere && isResumable && this.#context.isInTouch(vm)) {
        this.#lostStreams.lost(Date.now(), request, runner);
      }
    }
  }

  answered(request: SentRequest, vm: string, answer: CallerAnswer): void {
    const { outcome, integrityError: error, status } = answer;
    const record = this.#records.get(request.id);
    const quietMs = this.#context.faultFreeMs('vm', 'runner', 'store');
    if (record && quietMs >= MIN_FAULT_FREE_MS) this.#reach.answered(record.sentAt, vm, answer);
    const undisturbedMs = Math.min(quietMs, this.#context.faultFreeMs('path'));
    const isRevoked = request.key !== undefined && this.#context.revokedAt(request.key);
    const isUndisturbed = undisturbedMs >= MIN_FAULT_FREE_MS + Date.now() - (record?.sentAt ?? 0);
    if (record && isUndisturbed && !isRevoked) {
      this.#urgency.answered(record.sentAt, request, answer);
      if (request.events === 0) this.#odd.count(this.#context.wasBesideOdd(record.sentAt), answer);
    }
    this.#reportIf('answered', this.#odd.answered(request, vm, answer));
    const lostError = this.#lostStreams.answered(Date.now(), request, answer);
    if (lostError !== undefined) this.#report('silent', `${request.id} at ${vm}: ${lostError}`);
    if (error !== undefined) this.#report('whole', `${request.id} at ${vm}: ${error}`);
    this.#checkVersions(request, vm, answer);
    const keptFinding = this.#kept.answered(request.id, vm, answer);
    this.#reportIf('kept', keptFinding);
    if (record) {
      this.#checkStop(record, answer);
      this.#checkQuiet(record, answer);
    }
    if (outcome === 'served' && record && record.runs === 0) {
      this.#report('whole', `${request.id} at ${vm}: success for a request that never ran`);
    }
    if (outcome !== 'refused' || !record) return;
    record.isRefused = true;
    if (record.runs > 0) this.#report('not run', `${request.id} at ${vm}: ${status} after a run`);
  }

  closedEarly(ip: string, kept: KeptConnection): void {
    this.#reportIf('kept', this.#kept.closed(ip, kept));
  }

  disconnected({ id }: SentRequest): void {
    const record = this.#records.get(id);
    if (!record) return;
    this.#cancellations.left(Date.now(), id, record.activeRuns);
  }

  received(arrival: Arrival): void {
    this.#allowances.received(Date.now(), arrival);
  }

  prefilled(arrival: Arrival): void {
    this.#allowances.prefilled(arrival);
  }

  arrived(arrival: Arrival): void {
    const now = Date.now();
    const record = this.#records.get(arrival.requestId);
    this.#terms.arrived(now, arrival.requestId, arrival.instanceId, record?.vm);
    if (!record) return;
    this.#quiet.arrived(now, arrival.requestId, runnerIdOf(arrival), arrival.role);
    this.#reportIf('priority', this.#urgency.arrived(record.request, arrival));
    if (arrival.role === 'prefill' && record.arrivalCount === 0) return;
    record.arrivalCount += 1;
  }

  announced(announcement: Announcement): void {
    const { vm } = this.#records.get(announcement.requestId) ?? {};
    if (vm !== undefined) this.#terms.announced(Date.now(), vm, announcement);
  }

  began(arrival: Arrival): void {
    const { requestId: id, digest, customer, hasKey, instanceId: runner } = arrival;
    const record = this.#records.get(id);
    if (!record) {
      this.#report('asked', `${runner} ran ${id}, which no caller sent`);
      return;
    }
    const { request } = record;
    record.activeRuns.add(arrival);
    record.hasBrokenOff = false;
    if (digest !== record.digest) this.#report('bytes', `${id} reached ${runner} altered`);
    if (customer !== request.customer || hasKey) {
      this.#report(
        'customer',
        `${id} of ${request.customer} reached ${runner} as ${customer}, or with its key`,
      );
    }
    this.#checkKey(record, runner);
    if (arrival.role === 'prefill') return;
    record.runs += 1;
    this.#lostStreams.began(request);
    const isOnce = request.kind === 'once' || request.kind === 'stream';
    if (isOnce && record.runs > 1) this.#report('once', `${id} ran ${record.runs} times`);
    if (record.isRefused) this.#report('not run', `${id} ran at ${runner} after it was refused`);
    this.#allowances.began(Date.now(), request.customer);
  }

  ended(arrival: Arrival, wasCrash: boolean): void {
    const record = this.#records.get(arrival.requestId);
    if (!record) return;
    const now = Date.now();
    this.#quiet.worked(now, arrival.requestId, runnerIdOf(arrival));
    record.activeRuns.delete(arrival);
    record.lastEndedAt = this.#context.silences.passesAt(now, runnerIdOf(arrival));
    record.hasBrokenOff = wasCrash;
  }

  ordered(order: Order): void {
    this.#orders.ordered(order).forEach((detail) => this.#report('one holder', detail));
  }

  /** Records that the link of a runner holds a request. */
  setHeld(requestId: string, runnerId: string): void {
    if (this.#records.has(requestId)) this.#quiet.held(Date.now(), requestId, runnerId);
  }

  /** Records that the store entry of a runner instance is marked as draining, or no longer is. */
  setDraining(instanceId: string, isDraining: boolean): void {
    this.#terms.setDraining(Date.now(), instanceId, isDraining);
  }

  /** Records the rate limit that a runner instance announces; undefined if it announces none. */
  setRateLimit(instanceId: string, ratePerS: number | undefined): void {
    this.#terms.setRateLimit(Date.now(), instanceId, ratePerS);
  }

  /** Removes records and times that no check needs any more. */
  prune(): void {
    const now = Date.now();
    for (const [id, { sentAt }] of this.#records) {
      if (now - sentAt > RECORD_RETENTION_MS) {
        this.#records.delete(id);
        this.#quiet.forget(id);
      }
    }
    this.#allowances.prune(now);
  }

  #reportIf(promise: string, finding: string | undefined): void {
    if (finding !== undefined) this.#report(promise, finding);
  }

  #report(promise: string, detail: string): void {
    this.#context.onBreach({ promise, detail });
  }

  /** What was counted: streams, requests around stops, met silences, kept connections, leads of less urgent kinds, use of bounds. */
  get summary(): Readonly<Record<string, unknown>> {
    return {
      streams: { ...this.#versions.counts, ...this.#lostStreams.counts },
      stops: this.#stops.counts,
      quiet: this.#quiet.counts,
      kept: this.#kept.counts,
      odd: this.#odd.counts,
      leads: this.#urgency.leads,
      used: this.#peakUsage,
    };
  }

  /** Checks what can only be told at the end of the run. */
  finish(): void {
    this.#reportIf('resume', this.#versions.finding);
    const lostFinding = this.#lostStreams.finding;
    this.#reportIf('silent', lostFinding);
    this.#reportIf('served', this.#odd.finding);
    this.#urgency.findings.forEach((detail) => this.#report('order', detail));
  }

  #checkVersions(request: SentRequest, vm: string, answer: CallerAnswer): void {
    if (request.kind !== 'resumable') return;
    const { isInTouch, runnersOf } = this.#context;
    const runners = request.resumes ? runnersOf(request.resumes.version) : 0;
    const begunAt = this.#records.get(request.resumes?.stream ?? request.id)?.sentAt ?? -Infinity;
    const isKnown = begunAt > this.#fleetKilledAt;
    const finding = this.#versions.answered(request, answer, isKnown && isInTouch(vm), runners);
    if (finding !== undefined) this.#report('version', `${finding} at ${vm}`);
  }

  #checkStop(record: RequestRecord, answer: CallerAnswer): void {
    const { arrivalCount, runs, activeRuns, lastEndedAt, hasBrokenOff } = record;
    const now = Date.now();
    const work = {
      wasPassedOn: arrivalCount > 0 || runs > 0,
      lastAtWorkAt: activeRuns.size > 0 ? now : lastEndedAt,
      hasBrokenOff,
    };
    const freeMs = this.#context.unplannedFreeMs();
    this.#reportIf('stop', this.#stops.answered(now, record.sentAt, record, answer, work, freeMs));
  }

  #checkQuiet(
    { request, vm, sentAt, runs, hasBrokenOff }: RequestRecord,
    answer: CallerAnswer,
  ): void {
    const now = Date.now();
    const isEndOfStop = this.#stops.isEnding(now, this.#reach.isCut(vm) ? undefined : vm);
    const attempt = { request, vm, sentAt, runs, hasBrokenOff, isEndOfStop };
    this.#reportIf('quiet', this.#quiet.answered(now, attempt, answer));
  }

  #checkBound(promise: string, amount: number, max: number, subject: string): void {
    this.#peakUsage[promise] = Math.max(
      this.#peakUsage[promise] ?? 0,
      Math.round((amount / max) * 100) / 100,
    );
    if (amount > max) this.#report(promise, `${subject}: ${amount}, at most ${max} allowed`);
  }

  #checkKey({ request }: RequestRecord, runner: string): void {
    const revokedAt = request.key === undefined ? undefined : this.#context.revokedAt(request.key);
    const lateMs = Date.now() - (revokedAt ?? Infinity) - bounds['revoke-ms'];
    if (lateMs > 0) this.#report('keys', `${request.id} ran at ${runner} ${lateMs} ms too late`);
  }
}
