/**
 * Simulates a fleet under virtual time whose VMs enforce customers' quotas. It uses real
 * memberships, isolates, freezes and kills VMs, and puts strategies to enforce a quota behind
 * one interface. Counts what was granted in each window, what was refused although an ideal
 * account would have granted it, messages, and the time that requests waited.
 */

import type { QuotaBounds } from '../../../src/core/quotas/account';
import type { Quota } from '../../../src/core/customers/types';
import { Membership } from '../../../src/core/membership/membership';
import type { Member, MembershipAction, MembershipEvent } from '../../../src/core/membership/types';
import { canOwn } from '../../../src/core/membership/types';
import { rankByCores } from '../../../src/core/ownership';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** A VM as strategies see it. */
export interface QuotaVm {
  readonly number: number;
  readonly name: string;
  readonly membership: Membership;
  dead: boolean;
  frozen: boolean;
}

/** Functions of the fleet that strategies may use. */
export interface QuotaNetwork {
  readonly now: number;
  readonly vms: readonly QuotaVm[];
  readonly random: () => number;
  /** Sends a message, which is lost if the VM is unreachable or dead. A frozen VM receives it after it resumes. */
  send(from: QuotaVm, to: QuotaVm, deliver: () => void): void;
  /** Runs a task at a VM after a delay, unless the VM is dead by then; at a frozen VM it runs after the VM resumes. */
  later(vm: QuotaVm, ms: number, run: () => void): void;
  /** VMs ranked as owners of a key, the preferred owner first, by one VM's view of the members. */
  ranked(vm: QuotaVm, key: string): readonly QuotaVm[];
}

/** A strategy to enforce quotas across VMs. */
export interface QuotaStrategy {
  /** Requests quota for one request at a VM; `done` is called once. */
  ask(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
    rank?: number,
  ): void;
  /** Called when one VM's view of the members has changed. */
  membersChanged?(vm: QuotaVm): void;
  /** Called when a frozen VM resumes. */
  resumed?(vm: QuotaVm): void;
}

/** Creates a strategy. */
export type QuotaStrategyFactory = (network: QuotaNetwork, bounds: QuotaBounds) => QuotaStrategy;

/** Measurements of one customer's requests. */
export interface QuotaMeasurements {
  /** Maximum granted in one window minus what the quota allows in it, as a fraction of the permitted overage. */
  readonly overshoot: number;
  /** Fraction of the requests granted by an ideal account that were refused; 0 if none. */
  readonly wronglyRefused: number;
  /** Mean time that a request waited for the decision, in milliseconds. */
  readonly waitMs: number;
  /** Messages between VMs per request, without those of the membership. */
  readonly messages: number;
  /** Fraction of the requests that were granted; 1 if there are none. */
  readonly granted: number;
}

/** Whose requests a load consists of. */
export interface QuotaSource {
  readonly customer: string;
  /** Urgency; 0 is the most urgent. */
  readonly rank: number;
}

/** The only customer, unless a load names another one. */
const DEFAULT_SOURCE: QuotaSource = { customer: 'ada', rank: 0 };

const HOP_MS = 1.5;
const PROBE_MS = 300;
const SUSPECT_MS = 800;
const SEEDS = 3;
const BATCH_MS = 50;

interface Run {
  readonly at: number;
  readonly size: number;
}

interface Request extends Run {
  readonly source: QuotaSource;
  granted: boolean | undefined;
  waitMs: number;
}

/** A simulated fleet that serves the requests of customers that have one quota each, all of the same size. */
export class QuotaFleet implements QuotaNetwork {
  readonly vms: QuotaVm[];

  readonly random: () => number;

  readonly #schedule = new Schedule();

  readonly #bounds: QuotaBounds;

  readonly #strategy: QuotaStrategy;

  readonly #requests: Request[] = [];

  readonly #rankings = new Map<QuotaVm, Map<string, readonly QuotaVm[]>>();

  readonly #pendingChanges = new Set<QuotaVm>();

  #isolated: ReadonlySet<number> = new Set();

  /** Two sets of VMs that cannot reach each other. */
  #partition: readonly [ReadonlySet<number>, ReadonlySet<number>] = [new Set(), new Set()];

  #messages = 0;

  #quota: Quota;

  constructor(
    size: number,
    quota: Quota,
    bounds: QuotaBounds,
    wayOf: QuotaStrategyFactory,
    seed: number,
  ) {
    this.random = seeded(seed);
    this.#quota = quota;
    this.#bounds = bounds;
    this.vms = Array.from({ length: size }, (_, number) => this.#createVm(number));
    this.#strategy = wayOf(this, bounds);
    for (const vm of this.vms) this.#start(vm);
  }

  get now(): number {
    return this.#schedule.now;
  }

  get quota(): Quota {
    return this.#quota;
  }

  /** Changes the quota at all VMs at once. */
  configure(quota: Quota): void {
    this.#quota = quota;
  }

  /** Runs for a duration and returns the total size of the requests granted in it. */
  grantedDuring(ms: number): number {
    const from = this.now;
    this.run(ms);
    return this.#requests
      .filter(({ at, granted }) => at >= from && granted)
      .reduce((sum, { size }) => sum + size, 0);
  }

  run(ms: number): void {
    const end = this.now + ms;
    while (this.#schedule.next() <= end) this.#schedule.run();
    this.#schedule.add(end, () => {});
    this.#schedule.run();
  }

  /** Schedules Poisson arrivals of a customer's requests at a rate, each at a random VM of `among`. */
  load(
    perS: number,
    size: number,
    forMs: number,
    among: readonly number[],
    source = DEFAULT_SOURCE,
  ): void {
    const end = this.now + forMs;
    const next = (): void => {
      const wait = (-Math.log(1 - this.random()) * 1000) / perS;
      this.#schedule.add(this.now + wait, () => {
        if (this.now > end) return;
        this.#request(among[Math.floor(this.random() * among.length)] ?? 0, size, source);
        next();
      });
    };
    next();
  }

  /** Isolates VMs from all others, also from each other. */
  isolate(vms: readonly number[]): void {
    this.#isolated = new Set(vms);
  }

  /** Cuts the links between two sets of VMs and keeps all other links. */
  partition(some: readonly number[], others: readonly number[]): void {
    this.#partition = [new Set(some), new Set(others)];
  }

  kill(vms: readonly number[]): void {
    for (const number of vms) (this.vms[number] as QuotaVm).dead = true;
  }

  freeze(number: number, frozen: boolean): void {
    const vm = this.vms[number] as QuotaVm;
    vm.frozen = frozen;
    if (frozen) return;
    this.#strategy.resumed?.(vm);
    this.#tick(vm);
  }

  /** The owner of a key by the view of the first running VM; -1 if it sees none. */
  owner(key: string): number {
    const vm = this.vms.find(({ dead, frozen }) => !dead && !frozen) as QuotaVm;
    return this.ranked(vm, key)[0]?.number ?? -1;
  }

  /** Measurements of a customer's requests that arrived since a time, of all ranks unless one is given. */
  measurements(since: number, customer = 'ada', rank?: number): QuotaMeasurements {
    const decided = this.#requests.filter(
      ({ at, granted, source }) =>
        at >= since &&
        granted !== undefined &&
        source.customer === customer &&
        (rank === undefined || source.rank === rank),
    );
    const grants = decided.filter(({ granted }) => granted);
    const { windowMs, overage, slack } = this.#bounds;
    const { ratePerS, burst } = this.#quota;
    const allowed = (ratePerS * windowMs) / 1000 + burst;
    const most = maxInWindow(grants, windowMs);
    const ideal = idealGrants(decided, this.#quota);
    const wait = decided.reduce((sum, { waitMs }) => sum + waitMs, 0);
    return {
      overshoot: (most - allowed) / (overage * allowed + slack),
      wronglyRefused: Math.max(0, 1 - grants.length / Math.max(1, ideal)),
      waitMs: wait / Math.max(1, decided.length),
      messages: this.#messages / Math.max(1, this.#requests.length),
      granted: decided.length === 0 ? 1 : grants.length / decided.length,
    };
  }

  send(from: QuotaVm, to: QuotaVm, deliver: () => void): void {
    this.#messages += 1;
    if (this.#isUnreachable(from, to)) return;
    this.later(to, HOP_MS, deliver);
  }

  later(vm: QuotaVm, ms: number, run: () => void): void {
    this.#schedule.add(this.now + ms, () => {
      if (vm.dead) return;
      if (vm.frozen) this.later(vm, 50, run);
      else run();
    });
  }

  ranked(vm: QuotaVm, key: string): readonly QuotaVm[] {
    let known = this.#rankings.get(vm);
    if (!known) {
      known = new Map();
      this.#rankings.set(vm, known);
    }
    let found = known.get(key);
    if (!found) {
      found = rankByCores(key, vm.membership.all.filter(canOwn)).map((member) =>
        this.#vmOf(member),
      );
      known.set(key, found);
    }
    return found;
  }

  #vmOf({ address }: Member): QuotaVm {
    return this.vms[Number.parseInt(address, 10)] as QuotaVm;
  }

  /** Isolated VMs cannot reach any VM, including each other. */
  #isUnreachable({ number: one }: QuotaVm, { number: other }: QuotaVm): boolean {
    const [some, others] = this.#partition;
    const isApart = (some.has(one) && others.has(other)) || (some.has(other) && others.has(one));
    return one !== other && (isApart || this.#isolated.has(one) || this.#isolated.has(other));
  }

  #request(number: number, size: number, source: QuotaSource): void {
    const vm = this.vms[number] as QuotaVm;
    if (vm.dead || vm.frozen) return;
    const request: Request = { at: this.now, size, source, granted: undefined, waitMs: 0 };
    this.#requests.push(request);
    const done = (granted: boolean): void => {
      request.granted = granted;
      request.waitMs = this.now - request.at;
    };
    this.#strategy.ask(vm, source.customer, this.#quota, size, done, source.rank);
  }

  #createVm(number: number): QuotaVm {
    const membership = new Membership({
      vm: `vm${number}`,
      domain: `domain-${number % 3}`,
      address: `${number}:1`,
      cores: number % 11 === 0 ? 1.35 : 0.324,
      probeMs: PROBE_MS,
      suspectMs: SUSPECT_MS,
      random: this.random,
      incarnation: 1,
    });
    return { number, name: `vm${number}`, membership, dead: false, frozen: false };
  }

  #start(vm: QuotaVm): void {
    this.#schedule.add(this.random() * 300, () => {
      const addresses = Array.from({ length: SEEDS }, (_, i) => `${i}:1`);
      const others = addresses.filter((address) => address !== vm.membership.self.address);
      this.#dispatch(vm, { kind: 'contact', addresses: others });
      this.#tick(vm);
    });
    this.#schedule.add(500, () => {
      const members = this.vms.map(({ membership }) => membership.self);
      this.#dispatch(vm, { kind: 'synced', members });
    });
  }

  #tick(vm: QuotaVm): void {
    this.#schedule.add(Math.max(this.now + 1, vm.membership.nextWake()), () => {
      if (vm.dead || vm.frozen) return;
      this.#dispatch(vm, { kind: 'woke' });
      this.#tick(vm);
    });
  }

  #dispatch(vm: QuotaVm, event: MembershipEvent): void {
    for (const action of vm.membership.handle(this.now, event)) this.#perform(vm, action);
  }

  /** Combines membership changes, which arrive in bursts, into one notification. */
  #scheduleMembersChanged(vm: QuotaVm): void {
    this.#rankings.delete(vm);
    if (this.#pendingChanges.has(vm)) return;
    this.#pendingChanges.add(vm);
    this.later(vm, BATCH_MS, () => {
      this.#pendingChanges.delete(vm);
      this.#strategy.membersChanged?.(vm);
    });
  }

  #perform(vm: QuotaVm, action: MembershipAction): void {
    if (action.kind === 'changed') this.#scheduleMembersChanged(vm);
    if (action.kind !== 'send') return;
    const target = this.vms[Number.parseInt(action.to, 10)];
    if (!target || this.#isUnreachable(vm, target)) return;
    const { packet } = action;
    this.#schedule.add(this.now + HOP_MS, () => {
      if (!target.dead && !target.frozen) this.#dispatch(target, { kind: 'packet', packet });
    });
  }
}

/** Maximum total size of requests that arrived within one window. */
function maxInWindow(runs: readonly Run[], windowMs: number): number {
  let most = 0;
  let sum = 0;
  let from = 0;
  for (const { at, size } of runs) {
    sum += size;
    while ((runs[from]?.at ?? at) < at - windowMs) {
      sum -= runs[from]?.size ?? 0;
      from += 1;
    }
    most = Math.max(most, sum);
  }
  return most;
}

/** Number of requests that a single account with immediate knowledge of all requests would grant. */
function idealGrants(requests: readonly Request[], { ratePerS, burst }: Quota): number {
  let granted = 0;
  let level = burst;
  let at = requests[0]?.at ?? 0;
  for (const request of requests) {
    level = Math.min(burst, level + ((request.at - at) * ratePerS) / 1000);
    at = request.at;
    if (level >= request.size) {
      level -= request.size;
      granted += 1;
    }
  }
  return granted;
}
