/**
 * VMs that obtain reservations from the planner of whichever of them owns the service, as
 * `ReservationClient` and `PlannerHost` do, for a `MemoryBench`. Owners crash, freeze or are cut
 * off, and messages between VMs are lost.
 */

import type { Planner } from '../../../src/core/memory/planner';
import type { Demand, Grant, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { Random } from '../virtual/workload';
import type { PlacementPolicy } from './bench';

/** What a VM knows of one of its requests. */
interface Client {
  readonly demand: Demand;
  state: 'asking' | 'waiting' | 'prefilling' | 'assigning' | 'running';
  grant: Grant | undefined;
  startedAt: number | undefined;
  unanswered: number;
  /** When the VM stops waiting for a message of the owner that it asked. */
  timeoutAt: number;
  /** The owner that it asked last. */
  owner: number;
}

interface Vm {
  readonly name: string;
  readonly planner: Planner;
  state: 'up' | 'frozen' | 'dead';
  /** Since when the others cannot reach it; infinite while they can. */
  lostAt: number;
  /** Whether the others have found out. */
  isRemoved: boolean;
  /** Whether it has planned the service. */
  hasPlanned: boolean;
  /** Whether it asks all VMs for their reservations with the next tick. */
  collects: boolean;
  /** Until when this VM ranks each other VM last. */
  readonly skippedUntil: Map<number, number>;
  /** The owner that it reported its reservations to last. */
  reportedTo: number | undefined;
}

/** Times of `ReservationClient`, `RouterFleet` and `PlannerHost`, in milliseconds. */
const CALL_TIMEOUT_MS = 250;
const ASK_AGAIN_MS = 500;
const SKIP_MS = 1500;
const HOLDINGS_MS = 2000;
const MAX_UNANSWERED = 4;
const NO_OWNER_RETRY_MS = 700;
const TICK_MS = 25;
/** Time in which the membership finds out that a VM does not answer, in milliseconds. */
const DETECT_MS = 2000;

/** The VMs of one service; the first that is not skipped owns it. */
export class PlannerFleet implements PlacementPolicy {
  readonly #vms: readonly Vm[];

  readonly #random: Random;

  readonly #clients = new Map<string, Client>();

  readonly #isolated = new Set<number>();

  #lossShare = 0;

  #actions: PlanAction[] = [];

  #repeatedAsks = 0;

  /** @param createPlanner creates the planner of each VM */
  constructor(size: number, random: Random, createPlanner: () => Planner) {
    this.#random = random;
    this.#vms = Array.from({ length: size }, (_, number) => ({
      name: `vm${number}`,
      planner: createPlanner(),
      state: 'up',
      lostAt: Infinity,
      isRemoved: false,
      hasPlanned: false,
      collects: false,
      skippedUntil: new Map(),
      reportedTo: undefined,
    }));
  }

  /** Asks for a reservation beyond the first for each attempt. */
  get repeatedAsks(): number {
    return this.#repeatedAsks;
  }

  /** Names of the VMs that run. */
  get names(): readonly string[] {
    return this.#vms.filter(({ state }) => state !== 'dead').map(({ name }) => name);
  }

  /** Crashes VMs with their requests. */
  kill(now: number, numbers: readonly number[]): void {
    for (const number of numbers) {
      const vm = this.#vms[number] as Vm;
      vm.state = 'dead';
      vm.lostAt = now;
      for (const [id, { demand }] of this.#clients) {
        if (demand.vm === vm.name) this.#clients.delete(id);
      }
    }
  }

  /** Freezes a VM, or resumes it: it finds out that it was paused and asks for all reservations. */
  freeze(now: number, number: number, isFrozen: boolean): void {
    const vm = this.#vms[number] as Vm;
    vm.state = isFrozen ? 'frozen' : 'up';
    vm.lostAt = isFrozen ? now : Infinity;
    if (isFrozen || !vm.hasPlanned) return;
    vm.planner.startWarmUp(now);
    vm.collects = true;
  }

  /** Cuts VMs off from all others. */
  isolate(now: number, numbers: readonly number[]): void {
    this.#isolated.clear();
    numbers.forEach((number) => this.#isolated.add(number));
    this.#vms.forEach((known, number) => {
      const vm = known;
      if (vm.state === 'up') vm.lostAt = this.#isolated.has(number) ? now : Infinity;
    });
  }

  /** Loses a share of the messages between VMs that have no answer, from now on. */
  lose(share: number): void {
    this.#lossShare = share;
  }

  handle(now: number, event: PlanEvent): readonly PlanAction[] {
    this.#actions = [];
    this.#dispatch(now, event);
    return this.#actions;
  }

  #dispatch(now: number, event: PlanEvent): void {
    if (event.kind === 'woke') this.#tick(now);
    else if (event.kind === 'runners') {
      this.#vms.forEach(({ state }, number) => {
        if (state !== 'dead') this.#plan(now, number, event);
      });
    } else if (event.kind === 'reported') {
      this.#vms.forEach(({ state, planner }, number) => {
        const isBusy = planner.waiting + planner.placed > 0;
        if (state === 'up' && isBusy) this.#plan(now, number, event);
      });
    } else if (event.kind === 'asked') this.#admit(now, event.demand);
    else if ('id' in event) this.#progress(now, event);
  }

  #admit(now: number, demand: Demand): void {
    const number = this.#numberOf(demand.vm);
    if (this.#vms[number]?.state !== 'up') return;
    const client: Client = {
      demand,
      state: 'asking',
      grant: undefined,
      startedAt: undefined,
      unanswered: 0,
      timeoutAt: 0,
      owner: 0,
    };
    this.#clients.set(demand.id, client);
    this.#ask(now, client);
  }

  #ask(now: number, known: Client): void {
    const client = known;
    const { demand } = client;
    const number = this.#numberOf(demand.vm);
    const owner = this.#ownerOf(now, number);
    client.owner = owner;
    client.state = 'asking';
    client.timeoutAt = now + CALL_TIMEOUT_MS;
    if (!this.#deliver(now, number, owner, { kind: 'asked', demand })) {
      // The link to a process that ended is closed, so that the call fails at once.
      if (this.#vms[owner]?.state === 'dead') client.timeoutAt = now;
      return;
    }
    if (client.state !== 'asking') return;
    client.state = 'waiting';
    client.timeoutAt = now + ASK_AGAIN_MS;
  }

  #progress(now: number, event: Extract<PlanEvent, { readonly id: string }>): void {
    const client = this.#clients.get(event.id);
    if (!client) return;
    const number = this.#numberOf(client.demand.vm);
    if (event.kind === 'started') client.startedAt = now;
    if (event.kind === 'released' || event.kind === 'finished') this.#clients.delete(event.id);
    if (event.kind === 'prefilled') {
      client.state = 'assigning';
      client.timeoutAt = now + ASK_AGAIN_MS;
    }
    const isDelivered = this.#deliver(now, number, this.#ownerOf(now, number), event);
    if (event.kind === 'prefilled' && !isDelivered) client.timeoutAt = now + CALL_TIMEOUT_MS;
    // The bench reports the end of a request only once.
    if (event.kind === 'finished') {
      const released = { kind: 'released', id: event.id, blame: undefined } as const;
      this.#deliver(now, number, this.#ownerOf(now, number), released);
    }
  }

  #tick(now: number): void {
    for (const [id, client] of [...this.#clients]) this.#checkTimeout(now, id, client);
    this.#vms.forEach((vm, number) => {
      if (vm.state !== 'up') return;
      if (now % HOLDINGS_MS < TICK_MS) {
        this.#reportHoldings(now, number, this.#ownerOf(now, number));
      }
      if (vm.collects) this.#collect(now, number);
      if (vm.planner.waiting > 0) this.#plan(now, number, { kind: 'woke' });
    });
    this.#vms.forEach((vm, number) => this.#updateMember(now, number, vm));
  }

  /** Removes a VM that does not answer from the members of those that cannot reach it. */
  #updateMember(now: number, number: number, known: Vm): void {
    const vm = known;
    const wasRemoved = vm.isRemoved;
    vm.isRemoved = now - vm.lostAt >= DETECT_MS;
    if (wasRemoved || !vm.isRemoved) return;
    this.#vms.forEach(({ state }, other) => {
      const isTold = state === 'up' && other !== number && !this.#isolated.has(other);
      if (isTold) this.#plan(now, other, { kind: 'vmLost', vm: vm.name });
    });
  }

  #checkTimeout(now: number, id: string, known: Client): void {
    const client = known;
    const number = this.#numberOf(client.demand.vm);
    const vm = this.#vms[number];
    if (vm?.state !== 'up' || now < client.timeoutAt) return;
    if (client.state === 'assigning' && client.grant) {
      client.state = 'running';
      this.#actions.push({ kind: 'bind', id, decode: client.grant.decode });
    } else if (client.state === 'asking' || client.state === 'waiting') {
      if (client.state === 'asking') {
        client.unanswered += 1;
        vm.skippedUntil.set(client.owner, now + SKIP_MS);
      }
      if (client.unanswered >= MAX_UNANSWERED) {
        this.#clients.delete(id);
        const cause = { rank: client.demand.rank, reason: 'memory' } as const;
        this.#actions.push({ kind: 'refuse', id, retryAfterMs: NO_OWNER_RETRY_MS, cause });
      } else if (now < client.demand.lostAt) {
        this.#repeatedAsks += 1;
        this.#ask(now, client);
      }
    }
  }

  /** A planner whose record may be incomplete asks all VMs for their reservations. */
  #collect(now: number, owner: number): void {
    const vm = this.#vms[owner] as Vm;
    vm.collects = false;
    this.#vms.forEach(({ state }, number) => {
      const isAsked =
        state === 'up' && this.#reaches(owner, number) && !this.#isLost(owner, number);
      if (isAsked) this.#reportHoldings(now, number, owner);
    });
  }

  #reportHoldings(now: number, number: number, owner: number): void {
    const { name } = this.#vms[number] as Vm;
    const holdings = [...this.#clients.values()].flatMap(({ demand, grant, startedAt }) =>
      demand.vm === name && grant ? [{ demand, grant, startedAt }] : [],
    );
    this.#deliver(now, number, owner, { kind: 'told', vm: name, holdings });
  }

  /** The owner by one VM; reports its reservations to a new one before anything else. */
  #ownerOf(now: number, number: number): number {
    const vm = this.#vms[number] as Vm;
    // A VM that is alone takes many seconds to find the others dead.
    const isListed = (other: number): boolean =>
      this.#isolated.has(number) || other === number || !this.#vms[other]?.isRemoved;
    const listed = this.#vms.map((_, other) => other).filter(isListed);
    const isSkipped = (other: number): boolean => (vm.skippedUntil.get(other) ?? 0) > now;
    const owner = listed.find((other) => !isSkipped(other)) ?? listed[0] ?? number;
    if (vm.reportedTo !== owner) {
      vm.reportedTo = owner;
      this.#reportHoldings(now, number, owner);
    }
    return owner;
  }

  /** Delivers a message of a VM to the planner of another one; false if it does not arrive. */
  #deliver(now: number, from: number, to: number, event: PlanEvent): boolean {
    const vm = this.#vms[to] as Vm;
    const isCall = event.kind === 'asked' || event.kind === 'prefilled';
    if (vm.state !== 'up' || !this.#reaches(from, to)) return false;
    if (!isCall && this.#isLost(from, to)) return false;
    if (!vm.hasPlanned) {
      vm.hasPlanned = true;
      vm.collects = true;
      vm.planner.startWarmUp(now);
    }
    this.#plan(now, to, event);
    return true;
  }

  #plan(now: number, owner: number, event: PlanEvent): void {
    const { planner } = this.#vms[owner] as Vm;
    for (const action of planner.handle(now, event)) this.#decide(now, owner, action);
  }

  /** Passes a decision of an owner to the VM of the request, which releases a grant that nobody waits for. */
  #decide(now: number, owner: number, action: PlanAction): void {
    const { id } = action;
    const client = this.#clients.get(id);
    if (!client) {
      if (action.kind === 'grant') {
        this.#plan(now, owner, { kind: 'released', id, blame: undefined });
      }
      return;
    }
    const number = this.#numberOf(client.demand.vm);
    if (!this.#reaches(owner, number) || this.#isLost(owner, number)) return;
    const isOpen = client.state === 'asking' || client.state === 'waiting';
    if (action.kind === 'grant' && isOpen) {
      client.grant = action.grant;
      client.state = action.grant.prefill === undefined ? 'running' : 'prefilling';
    } else if (action.kind === 'bind' && client.state === 'assigning' && client.grant) {
      client.grant = { ...client.grant, decode: action.decode };
      client.state = 'running';
    } else if (action.kind === 'refuse' && (isOpen || client.state === 'assigning')) {
      this.#clients.delete(id);
    } else return;
    this.#actions.push(action);
  }

  #reaches(from: number, to: number): boolean {
    return from === to || (!this.#isolated.has(from) && !this.#isolated.has(to));
  }

  #isLost(from: number, to: number): boolean {
    return from !== to && this.#lossShare > 0 && this.#random() < this.#lossShare;
  }

  #numberOf(name: string): number {
    return this.#vms.findIndex((vm) => vm.name === name);
  }
}
