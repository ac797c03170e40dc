/**
 * Checks the router's guarantees while the soak runs, from what callers and runners observe.
 * Guarantees about single requests are checked at all times; most of those with a time limit only
 * after a fault-free period.
 */

import type { Announcement } from './announcements';
import { AnnouncementChecker } from './announcements';
import { bounds } from './vm';
import type { CallerAnswer, CallerObserver } from './callers';
import type { FaultFamily } from './faults';
import { ReachChecker } from './reach';
import type { LostStreamEnd } from './loststreams';
import { LostStreamChecker } from './loststreams';
import type { SentRequest } from './requests';
import { digestOf } from './requests';
import { StopChecker } from './stops';
import type { Arrival, Order, RunnerObserver } from './runner';
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
  readonly quotaOf: (
    customer: string,
  ) => { readonly ratePerS: number; readonly burst: number } | undefined;
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
  disconnectedAt: number | undefined;
  /** When the last run ended; -Infinity if none did. */
  lastEndedAt: number;
  /** Whether the runner of the last run ended in the middle of it. */
  hasBrokenOff: boolean;
}

/** Time for which the record of a request is retained after it was sent. */
const RECORD_RETENTION_MS = 90_000;
/** Time within which a request must be cancelled at its runners after its caller disconnected. */
const CANCELLATION_MS = 700;
/** Fault-free time required before a guarantee with a time limit is checked. */
export const MIN_FAULT_FREE_MS = 4000;
/** Sliding window over which requests to a rate-limited runner are counted. */
const LIMIT_WINDOW_MS = 4000;
/** Time after a runner announced a limit before the check applies; longer than a window, so that windows begin after the announcement. */
const LIMIT_SETTLE_MS = 4500;
/** Factor by which the requests of a window may exceed the announced rate. */
const LIMIT_OVERAGE_FACTOR = 1.5;
/** Additional requests allowed in a window. */
const LIMIT_SLACK_REQUESTS = 5;
/** Requests of one VM that may reach a runner during a pause that it asked for. */
const MAX_DURING_PAUSE = 2;
/** Time after which a draining runner must receive no more requests; includes the delay of requests on their way. */
const DRAIN_GRACE_MS = 2500;

/** Checks all guarantees of one run. */
export class GuaranteeChecker implements CallerObserver, RunnerObserver {
  readonly #context: GuaranteeContext;

  readonly #records = new Map<string, RequestRecord>();

  /** Times of arrivals beyond the first of each request. */
  readonly #retryTimes: number[] = [];

  /** Times at which callers sent requests. */
  readonly #requestTimes: number[] = [];

  /** Start times of runs by customer. */
  readonly #runTimesByCustomer = new Map<string, number[]>();

  /** Last order that each runner instance received. */
  readonly #lastOrders = new Map<string, { holder: string; fence: number; at: number }>();

  /** Draining runner instances, and when the store recorded that they drain. */
  readonly #drainingSince = new Map<string, number>();

  /** Rate limits announced by runner instances: since when, and times of recent arrivals. */
  readonly #limits = new Map<string, { ratePerS: number; since: number; readonly at: number[] }>();

  readonly #announcements = new AnnouncementChecker();

  readonly #reach = new ReachChecker();

  readonly #versions = new VersionChecker();

  readonly #urgency = new UrgencyChecker();

  readonly #lostStreams: LostStreamChecker;

  #fleetKilledAt = -Infinity;

  readonly #stops = new StopChecker({ graceMs: bounds['grace-s'] * 1000 });

  /** Highest observed value of each bounded amount, as a fraction of its bound. */
  readonly peakUsage: Record<string, number> = {};

  constructor(context: GuaranteeContext) {
    this.#context = context;
    this.#lostStreams = new LostStreamChecker(context.onLostStreamEnd);
  }

  sent(request: SentRequest, vm: string): void {
    const now = Date.now();
    this.#requestTimes.push(now);
    this.#records.set(request.id, {
      request,
      vm,
      digest: digestOf(request.path, request.body),
      sentAt: now,
      runs: 0,
      activeRuns: new Set(),
      arrivalCount: 0,
      isRefused: false,
      disconnectedAt: undefined,
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
    }
    const lostError = this.#lostStreams.answered(Date.now(), request, answer);
    if (lostError !== undefined) this.#report('silent', `${request.id} at ${vm}: ${lostError}`);
    if (error !== undefined) this.#report('whole', `${request.id} at ${vm}: ${error}`);
    this.#checkVersions(request, vm, answer);
    if (record) this.#checkStop(record, answer);
    if (outcome === 'served' && record && record.runs === 0) {
      this.#report('whole', `${request.id} at ${vm}: success for a request that never ran`);
    }
    if (outcome !== 'refused' || !record) return;
    record.isRefused = true;
    if (record.runs > 0) this.#report('not run', `${request.id} at ${vm}: ${status} after a run`);
  }

  disconnected({ id }: SentRequest): void {
    const record = this.#records.get(id);
    if (!record) return;
    record.disconnectedAt = Date.now();
    setTimeout(() => this.#checkCancellation(record), CANCELLATION_MS).unref();
  }

  arrived(arrival: Arrival): void {
    const now = Date.now();
    const record = this.#records.get(arrival.requestId);
    this.#checkLimit(now, arrival.instanceId);
    this.#checkDraining(now, arrival);
    if (!record) return;
    this.#checkAnnouncements(now, record, arrival);
    const finding = this.#urgency.arrived(record.request, arrival);
    if (finding !== undefined) this.#report('priority', finding);
    // A prefill that precedes the first decode is not a retry.
    if (arrival.role === 'prefill' && record.arrivalCount === 0) return;
    record.arrivalCount += 1;
    if (record.arrivalCount > 1) {
      this.#retryTimes.push(now);
      this.#checkBudget(now);
    }
  }

  announced(announcement: Announcement): void {
    const { vm } = this.#records.get(announcement.requestId) ?? {};
    if (vm !== undefined) this.#announcements.announced(Date.now(), vm, announcement);
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
    this.#checkQuota(request.customer);
  }

  ended(arrival: Arrival, wasCrash: boolean): void {
    const record = this.#records.get(arrival.requestId);
    if (!record) return;
    record.activeRuns.delete(arrival);
    record.lastEndedAt = Date.now();
    record.hasBrokenOff = wasCrash;
  }

  ordered({ instanceId: runner, holder, fence }: Order): void {
    const now = Date.now();
    const before = this.#lastOrders.get(runner);
    this.#lastOrders.set(runner, { holder, fence, at: now });
    if (!before) return;
    if (fence < before.fence) {
      this.#report(
        'one holder',
        `${runner}: ${holder} sent an order with fence ${fence} after ${before.fence}`,
      );
    }
    if (before.holder !== holder && fence === before.fence) {
      this.#report(
        'one holder',
        `${runner}: ${holder} and ${before.holder} both use fence ${fence}`,
      );
    }
  }

  /** Records that the store entry of a runner instance is marked as draining, or no longer is. */
  setDraining(instanceId: string, isDraining: boolean): void {
    if (isDraining) this.#drainingSince.set(instanceId, Date.now());
    else this.#drainingSince.delete(instanceId);
  }

  /** Records the rate limit that a runner instance announces; undefined if it announces none. */
  setRateLimit(instanceId: string, ratePerS: number | undefined): void {
    if (ratePerS === undefined) this.#limits.delete(instanceId);
    else this.#limits.set(instanceId, { ratePerS, since: Date.now(), at: [] });
  }

  /** Removes records and times that no check needs any more. */
  prune(): void {
    const now = Date.now();
    for (const [id, { sentAt }] of this.#records) {
      if (now - sentAt > RECORD_RETENTION_MS) this.#records.delete(id);
    }
    const windowMs = bounds['budget-window-s'] * 1000;
    for (const times of [this.#retryTimes, this.#requestTimes]) {
      while ((times[0] ?? now) < now - windowMs * 2) times.shift();
    }
  }

  #report(promise: string, detail: string): void {
    this.#context.onBreach({ promise, detail });
  }

  /** Streams that callers took up again or whose runners fell silent, and how many of them went on. */
  get streamCounts(): Readonly<Record<string, number>> {
    return { ...this.#versions.counts, ...this.#lostStreams.counts };
  }

  /** Requests that ended while their VM stopped. */
  get stopCounts(): Readonly<Record<string, number>> {
    return this.#stops.counts;
  }

  /** By how much less urgent kinds of streams are served more often than more urgent ones. */
  get leads(): Readonly<Record<string, number>> {
    return this.#urgency.leads;
  }

  /** Checks what can only be told at the end of the run. */
  finish(): void {
    const { finding } = this.#versions;
    if (finding !== undefined) this.#report('resume', finding);
    const lostFinding = this.#lostStreams.finding;
    if (lostFinding !== undefined) this.#report('silent', lostFinding);
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
    const finding = this.#stops.answered(now, record.sentAt, record, answer, work, freeMs);
    if (finding !== undefined) this.#report('stop', finding);
  }

  #checkBound(promise: string, amount: number, max: number, subject: string): void {
    this.peakUsage[promise] = Math.max(
      this.peakUsage[promise] ?? 0,
      Math.round((amount / max) * 100) / 100,
    );
    if (amount > max) this.#report(promise, `${subject}: ${amount}, at most ${max} allowed`);
  }

  #checkCancellation({ request, activeRuns, disconnectedAt = 0 }: RequestRecord): void {
    const faultFreeMs = this.#context.faultFreeMs('vm', 'runner');
    if (activeRuns.size === 0 || faultFreeMs < MIN_FAULT_FREE_MS + CANCELLATION_MS) return;
    const runners = [...activeRuns].map(({ instanceId }) => instanceId).join(' ');
    this.#report(
      'gone',
      `${request.id}: still running at ${runners} ${Date.now() - disconnectedAt} ms after its caller disconnected`,
    );
  }

  #checkKey({ request }: RequestRecord, runner: string): void {
    const revokedAt = request.key === undefined ? undefined : this.#context.revokedAt(request.key);
    const lateMs = Date.now() - (revokedAt ?? Infinity) - bounds['revoke-ms'];
    if (lateMs > 0) this.#report('keys', `${request.id} ran at ${runner} ${lateMs} ms too late`);
  }

  #checkQuota(customer: string | undefined): void {
    const quota = customer === undefined ? undefined : this.#context.quotaOf(customer);
    if (customer === undefined || !quota) return;
    const now = Date.now();
    const windowMs = bounds['quota-window-s'] * 1000;
    const times = this.#runTimesByCustomer.get(customer) ?? [];
    this.#runTimesByCustomer.set(customer, times);
    times.push(now);
    while ((times[0] ?? now) < now - windowMs) times.shift();
    const allowed = quota.ratePerS * bounds['quota-window-s'] + quota.burst;
    const max = allowed * (1 + bounds['quota-overage']) + bounds['quota-slack'];
    this.#checkBound('quota', times.length, max, customer);
  }

  #checkBudget(now: number): void {
    const windowMs = bounds['budget-window-s'] * 1000;
    const since = now - windowMs;
    const retries = this.#retryTimes.filter((at) => at > since).length;
    const counts = [0, windowMs / 2, windowMs].map(
      (back) => this.#requestTimes.filter((at) => at > since - back && at <= now - back).length,
    );
    const max =
      bounds['retry-budget-ratio'] * Math.max(...counts) + bounds['retry-budget-extra'] * 2;
    this.#checkBound('budget', retries, max, 'retries in 10 s');
  }

  #checkDraining(now: number, { requestId, instanceId }: Arrival): void {
    const forMs = now - (this.#drainingSince.get(instanceId) ?? Infinity);
    if (forMs > DRAIN_GRACE_MS && this.#context.faultFreeMs('vm', 'store') >= forMs) {
      this.#report(
        'drain',
        `${requestId} reached ${instanceId} ${forMs} ms after it began to drain`,
      );
    }
  }

  #checkAnnouncements(
    now: number,
    { vm }: RequestRecord,
    { requestId, instanceId }: Arrival,
  ): void {
    const unwanted = this.#announcements.arrived(now, vm, instanceId);
    // A VM that was restarted knows nothing, and one that was frozen or cut off sends late.
    const faultFreeMs = this.#context.faultFreeMs('vm', 'runner');
    for (const { promise, afterMs, count } of unwanted.filter((one) => one.afterMs < faultFreeMs)) {
      const subject = `${requestId} reached ${instanceId} from ${vm} ${afterMs} ms after its announcement`;
      if (promise === 'pause') this.#checkBound(promise, count, MAX_DURING_PAUSE, subject);
      else this.#report(promise, subject);
    }
  }

  #checkLimit(now: number, runner: string): void {
    const limit = this.#limits.get(runner);
    if (!limit) return;
    limit.at.push(now);
    while ((limit.at[0] ?? now) < now - LIMIT_WINDOW_MS) limit.at.shift();
    const max =
      (limit.ratePerS * LIMIT_WINDOW_MS * LIMIT_OVERAGE_FACTOR) / 1000 + LIMIT_SLACK_REQUESTS;
    const isSettled = now - limit.since > LIMIT_SETTLE_MS;
    const isQuiet = this.#context.faultFreeMs('vm') >= MIN_FAULT_FREE_MS;
    if (isSettled && isQuiet) this.#checkBound('limit', limit.at.length, max, `${runner} in 4 s`);
  }
}
