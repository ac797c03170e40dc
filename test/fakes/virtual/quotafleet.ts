/**
 * A fleet under virtual time whose VMs ask for customers' quotas: real memberships, cuts,
 * freezes and kills between them, and ways to keep a quota behind one interface. Counts
 * what ran in each window, what was refused although an ideal account had allowed it,
 * messages, and the time that a request waited.
 */

import type { QuotaBounds } from '../../../src/core/quotas/account';
import type { Quota } from '../../../src/core/customers/types';
import { Membership } from '../../../src/core/membership/membership';
import type { Member, MembershipAction, MembershipEvent } from '../../../src/core/membership/types';
import { canOwn } from '../../../src/core/membership/types';
import { rankByCores } from '../../../src/core/ownership';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** A VM as the ways see it. */
export interface QuotaVm {
  readonly number: number;
  readonly name: string;
  readonly membership: Membership;
  dead: boolean;
  frozen: boolean;
}

/** What a way may use of the fleet. */
export interface QuotaNetwork {
  readonly now: number;
  readonly vms: readonly QuotaVm[];
  readonly random: () => number;
  /** Delivers a message to a VM that can be reached; one to a frozen VM comes when it wakes. */
  send(from: QuotaVm, to: QuotaVm, deliver: () => void): void;
  later(vm: QuotaVm, ms: number, run: () => void): void;
  /** VMs by falling claim to a key, as one VM sees the members. */
  ranked(vm: QuotaVm, key: string): readonly QuotaVm[];
}

/** A way to keep quotas. */
export interface QuotaWay {
  /** A VM asks for one run; `done` is called once. */
  ask(
    vm: QuotaVm,
    customer: string,
    quota: Quota,
    size: number,
    done: (granted: boolean) => void,
  ): void;
  /** The members changed, as one VM sees them. */
  membersChanged?(vm: QuotaVm): void;
  /** A VM goes on after it stood still. */
  resumed?(vm: QuotaVm): void;
}

/** How a way is made. */
export type QuotaWayOf = (network: QuotaNetwork, bounds: QuotaBounds) => QuotaWay;

/** What was seen of one customer. */
export interface QuotaFigures {
  /** The most that ran in one window, less what the quota allows in it, as a part of what may be over it. */
  readonly over: number;
  /** By how much less ran than an ideal account would have let through, as a part. */
  readonly refusedBelow: number;
  /** Mean time that a request waited for its answer, in milliseconds. */
  readonly waitMs: number;
  /** Messages between VMs for each request, without those of the membership. */
  readonly messages: number;
}

const HOP_MS = 1.5;
const PROBE_MS = 300;
const SUSPECT_MS = 800;
const SEEDS = 3;
const GATHER_MS = 50;

interface Run {
  readonly at: number;
  readonly size: number;
}

interface Request extends Run {
  granted: boolean | undefined;
  waitMs: number;
}

/** VMs, callers and one customer. */
export class QuotaFleet implements QuotaNetwork {
  readonly vms: QuotaVm[];

  readonly random: () => number;

  readonly #schedule = new Schedule();

  readonly #bounds: QuotaBounds;

  readonly #way: QuotaWay;

  readonly #requests: Request[] = [];

  readonly #rankings = new Map<QuotaVm, Map<string, readonly QuotaVm[]>>();

  readonly #gathering = new Set<QuotaVm>();

  #cut: ReadonlySet<number> = new Set();

  /** VMs that do not reach those of the other set. */
  #apart: readonly [ReadonlySet<number>, ReadonlySet<number>] = [new Set(), new Set()];

  #messages = 0;

  #quota: Quota;

  constructor(size: number, quota: Quota, bounds: QuotaBounds, wayOf: QuotaWayOf, seed: number) {
    this.random = seeded(seed);
    this.#quota = quota;
    this.#bounds = bounds;
    this.vms = Array.from({ length: size }, (_, number) => this.#vm(number));
    this.#way = wayOf(this, bounds);
    for (const vm of this.vms) this.#start(vm);
  }

  get now(): number {
    return this.#schedule.now;
  }

  get quota(): Quota {
    return this.#quota;
  }

  /** The operator changes the quota; all VMs know of it at once. */
  configure(quota: Quota): void {
    this.#quota = quota;
  }

  /** What ran in the next time. */
  ranIn(ms: number): number {
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

  /** Requests of the customer come at a rate, at random times, to VMs drawn at random from some. */
  load(perS: number, size: number, forMs: number, among: readonly number[]): void {
    const end = this.now + forMs;
    const next = (): void => {
      const wait = (-Math.log(1 - this.random()) * 1000) / perS;
      this.#schedule.add(this.now + wait, () => {
        if (this.now > end) return;
        this.#request(among[Math.floor(this.random() * among.length)] ?? 0, size);
        next();
      });
    };
    next();
  }

  cut(vms: readonly number[]): void {
    this.#cut = new Set(vms);
  }

  /** Cuts the links between two sets; all other ones stay. */
  cutBetween(some: readonly number[], others: readonly number[]): void {
    this.#apart = [new Set(some), new Set(others)];
  }

  kill(vms: readonly number[]): void {
    for (const number of vms) (this.vms[number] as QuotaVm).dead = true;
  }

  freeze(number: number, frozen: boolean): void {
    const vm = this.vms[number] as QuotaVm;
    vm.frozen = frozen;
    if (frozen) return;
    this.#way.resumed?.(vm);
    this.#tick(vm);
  }

  /** The VM that all others go by for a key. */
  owner(key: string): number {
    const vm = this.vms.find(({ dead, frozen }) => !dead && !frozen) as QuotaVm;
    return this.ranked(vm, key)[0]?.number ?? -1;
  }

  /** What was seen since a time. */
  figures(since: number): QuotaFigures {
    const asked = this.#requests.filter(({ at, granted }) => at >= since && granted !== undefined);
    const ran = asked.filter(({ granted }) => granted);
    const { windowMs, overage, slack } = this.#bounds;
    const { ratePerS, burst } = this.#quota;
    const allowed = (ratePerS * windowMs) / 1000 + burst;
    const most = mostInWindow(ran, windowMs);
    const ideal = idealOf(asked, this.#quota);
    const wait = asked.reduce((sum, { waitMs }) => sum + waitMs, 0);
    return {
      over: (most - allowed) / (overage * allowed + slack),
      refusedBelow: Math.max(0, 1 - ran.length / Math.max(1, ideal)),
      waitMs: wait / Math.max(1, asked.length),
      messages: this.#messages / Math.max(1, this.#requests.length),
    };
  }

  send(from: QuotaVm, to: QuotaVm, deliver: () => void): void {
    this.#messages += 1;
    if (this.#isCut(from, to)) return;
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
      found = rankByCores(key, vm.membership.all.filter(canOwn)).map((member) => this.#of(member));
      known.set(key, found);
    }
    return found;
  }

  #of({ address }: Member): QuotaVm {
    return this.vms[Number.parseInt(address, 10)] as QuotaVm;
  }

  /** Those that are cut off reach nobody, not even each other. */
  #isCut({ number: one }: QuotaVm, { number: other }: QuotaVm): boolean {
    const [some, others] = this.#apart;
    const isApart = (some.has(one) && others.has(other)) || (some.has(other) && others.has(one));
    return one !== other && (isApart || this.#cut.has(one) || this.#cut.has(other));
  }

  #request(number: number, size: number): void {
    const vm = this.vms[number] as QuotaVm;
    if (vm.dead || vm.frozen) return;
    const request: Request = { at: this.now, size, granted: undefined, waitMs: 0 };
    this.#requests.push(request);
    this.#way.ask(vm, 'ada', this.#quota, size, (granted) => {
      request.granted = granted;
      request.waitMs = this.now - request.at;
    });
  }

  #vm(number: number): QuotaVm {
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
      this.#tell(vm, { kind: 'contact', addresses: others });
      this.#tick(vm);
    });
    this.#schedule.add(500, () => {
      const members = this.vms.map(({ membership }) => membership.self);
      this.#tell(vm, { kind: 'synced', members });
    });
  }

  #tick(vm: QuotaVm): void {
    this.#schedule.add(Math.max(this.now + 1, vm.membership.nextWake()), () => {
      if (vm.dead || vm.frozen) return;
      this.#tell(vm, { kind: 'woke' });
      this.#tick(vm);
    });
  }

  #tell(vm: QuotaVm, event: MembershipEvent): void {
    for (const action of vm.membership.handle(this.now, event)) this.#perform(vm, action);
  }

  /** Changes of members come in swarms; what follows from them is worked out once for all. */
  #gather(vm: QuotaVm): void {
    this.#rankings.delete(vm);
    if (this.#gathering.has(vm)) return;
    this.#gathering.add(vm);
    this.later(vm, GATHER_MS, () => {
      this.#gathering.delete(vm);
      this.#way.membersChanged?.(vm);
    });
  }

  #perform(vm: QuotaVm, action: MembershipAction): void {
    if (action.kind === 'changed') this.#gather(vm);
    if (action.kind !== 'send') return;
    const target = this.vms[Number.parseInt(action.to, 10)];
    if (!target || this.#isCut(vm, target)) return;
    const { packet } = action;
    this.#schedule.add(this.now + HOP_MS, () => {
      if (!target.dead && !target.frozen) this.#tell(target, { kind: 'packet', packet });
    });
  }
}

/** The most that began within one window. */
function mostInWindow(runs: readonly Run[], windowMs: number): number {
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

/** How many requests one account that sees all at once would let through. */
function idealOf(requests: readonly Request[], { ratePerS, burst }: Quota): number {
  let through = 0;
  let level = burst;
  let at = requests[0]?.at ?? 0;
  for (const request of requests) {
    level = Math.min(burst, level + ((request.at - at) * ratePerS) / 1000);
    at = request.at;
    if (level >= request.size) {
      level -= request.size;
      through += 1;
    }
  }
  return through;
}
