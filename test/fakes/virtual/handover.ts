/**
 * Simulates the planners of one service, the VMs that use them, and the runners' actual state
 * under virtual time. VMs change owners, messages are lost, callers disconnect, VMs crash and
 * runners restart.
 */

import { Planner } from '../../../src/core/memory/planner';
import { planPolicy } from '../../../src/core/memory/policy';
import type { Demand, Grant, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { Engine, Runner } from '../../../src/core/routing/types';
import { runnerOf } from '../runner';

/** One step of a simulation. Numbers select VMs, owners, requests and runners, modulo their count. */
export type HandoverStep =
  | { readonly kind: 'ask'; readonly vm: number; readonly prompt: number; readonly output: number }
  /** A VM uses this owner from now on. */
  | { readonly kind: 'move'; readonly vm: number; readonly owner: number }
  /** The next `count` messages from VMs to owners are lost. */
  | { readonly kind: 'lose'; readonly count: number }
  /** The caller of an open request disconnects. */
  | { readonly kind: 'leave'; readonly request: number }
  | { readonly kind: 'crash'; readonly runner: number }
  | { readonly kind: 'die'; readonly vm: number }
  | { readonly kind: 'freeze'; readonly owner: number; readonly forMs: number }
  | { readonly kind: 'pass'; readonly ms: number };

/** State of a request at its VM. */
type State = 'asked' | 'prefilling' | 'read' | 'running' | 'over';

interface Request {
  readonly demand: Demand;
  readonly vm: number;
  readonly outputTokens: number;
  state: State;
  grant: Grant | undefined;
  askedAt: number;
  startedAt: number | undefined;
  /** When its current phase ends. */
  dueAt: number;
}

const engine: Engine = {
  slots: 16,
  memoryTokens: 20_000,
  eventTokens: 7,
  keepMs: 500,
  switchMs: undefined,
};
const TICK_MS = 25;
const PREFILL_TOKEN_MS = 0.02;
const TOKEN_MS = 7;
/** A VM repeats its query for a waiting request after this time, in milliseconds. */
const RETRY_MS = 250;
const HOLDINGS_MS = 2000;
const REPORT_MS = 1000;
const VM_TIMEOUT_MS = 7000;
const PATIENCE_MS = 3600;
const OWNERS = 2;
const VMS = 3;

/** One simulation run. */
export class Handover {
  now = 0;

  readonly #planners = Array.from({ length: OWNERS }, () => new Planner(planPolicy));

  readonly #frozenUntil = Array.from({ length: OWNERS }, () => 0);

  /** When each owner last received a message from each VM. */
  readonly #lastSeen = Array.from({ length: OWNERS }, () => new Map<number, number>());

  readonly #ownerOf = Array.from({ length: VMS }, () => 0);

  readonly #dead = new Set<number>();

  readonly #requests: Request[] = [];

  #runners: readonly Runner[] = [
    runnerOf('p1', 'prefill'),
    runnerOf('d1', 'decode'),
    runnerOf('d2', 'decode'),
  ];

  #messagesToDrop = 0;

  #restarts = 0;

  /** Time of the last fault, after which an owner's state may be incomplete. */
  #lastFaultAt = 0;

  /** Highest share of a runner's memory used by prompts while a single owner had complete state. */
  maxUsage = 0;

  constructor() {
    for (let owner = 0; owner < OWNERS; owner += 1) {
      this.#send(owner, undefined, { kind: 'runners', engine, runners: this.#runners });
    }
  }

  /** Applies one step. */
  apply(step: HandoverStep): void {
    if (step.kind === 'pass') {
      this.run(step.ms);
      return;
    }
    if (step.kind === 'ask') {
      this.#ask(step.vm % VMS, step.prompt, step.output);
      return;
    }
    this.#lastFaultAt = this.now;
    if (step.kind === 'lose') this.#messagesToDrop += step.count;
    else if (step.kind === 'move') this.#setOwner(step.vm % VMS, step.owner % OWNERS);
    else if (step.kind === 'leave') this.#disconnect(step.request);
    else if (step.kind === 'crash') this.#crashRunner(step.runner);
    else if (step.kind === 'die') this.#killVm(step.vm % VMS);
    else this.#frozenUntil[step.owner % OWNERS] = this.now + step.forMs;
  }

  run(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) this.#tick();
  }

  /** Ends all faults: every VM uses the first owner, and no more messages are lost. */
  endFaults(): void {
    this.#messagesToDrop = 0;
    this.#frozenUntil.fill(0);
    for (let vm = 0; vm < VMS; vm += 1) this.#setOwner(vm, 0);
  }

  /** Number of unfinished requests of running VMs. */
  get open(): number {
    return this.#requests.filter(({ state, vm }) => state !== 'over' && !this.#dead.has(vm)).length;
  }

  /** Waiting requests and reservations that each owner still counts. */
  get counts(): readonly { readonly waiting: number; readonly placed: number }[] {
    return this.#planners.map(({ waiting, placed }) => ({ waiting, placed }));
  }

  /** Share of the decode memory that each owner counts as reserved. */
  get reservedMemory(): readonly number[] {
    return this.#planners.map((planner) => planner.load(this.now).memory);
  }

  #tick(): void {
    this.now += TICK_MS;
    for (const request of this.#requests) this.#advance(request);
    if (this.now % HOLDINGS_MS === 0) {
      for (let vm = 0; vm < VMS; vm += 1) this.#reportHoldings(vm);
    }
    for (let owner = 0; owner < OWNERS; owner += 1) this.#wake(owner);
    this.#recordUsage();
  }

  #wake(owner: number): void {
    for (const [vm, at] of this.#lastSeen[owner] ?? []) {
      if (this.now - at > VM_TIMEOUT_MS) {
        this.#lastSeen[owner]?.delete(vm);
        this.#send(owner, undefined, { kind: 'vmLost', vm: `vm${vm}` });
      }
    }
    if (this.now % REPORT_MS === 0) {
      for (const { id, role } of this.#runners) {
        const report = { runner: id, usedTokens: this.#usedTokens(id) };
        if (role === 'decode') this.#send(owner, undefined, { kind: 'reported', report });
      }
    }
    this.#send(owner, undefined, { kind: 'woke' });
  }

  #ask(vm: number, prompt: number, output: number): void {
    if (this.#dead.has(vm)) return;
    const demand: Demand = {
      id: `r${this.#requests.length}`,
      vm: `vm${vm}`,
      customer: undefined,
      rank: 1,
      promptId: undefined,
      promptTokens: prompt,
      maxOutputTokens: output,
      hintTokens: output,
      dueAt: this.now + 900,
      gapMs: 0,
      lostAt: this.now + PATIENCE_MS,
      returned: false,
      resuming: false,
      avoid: [],
    };
    const request: Request = {
      demand,
      vm,
      outputTokens: output,
      state: 'asked',
      grant: undefined,
      askedAt: this.now,
      startedAt: undefined,
      dueAt: Infinity,
    };
    this.#requests.push(request);
    this.#send(this.#ownerFor(vm), vm, { kind: 'asked', demand });
  }

  /** Advances a request to its next state if its time has come. */
  #advance(request: Request): void {
    const state = request;
    if (state.state === 'over' || this.#dead.has(state.vm)) return;
    const { id } = state.demand;
    const owner = this.#ownerFor(state.vm);
    if (state.state === 'asked' && this.now - state.askedAt >= RETRY_MS) {
      state.askedAt = this.now;
      if (this.now >= state.demand.lostAt) this.#release(state, undefined);
      else this.#send(owner, state.vm, { kind: 'asked', demand: state.demand });
    } else if (state.state === 'prefilling' && this.now >= state.dueAt) {
      state.state = 'read';
      state.dueAt = this.now + engine.keepMs * 4;
      this.#prefilled(state);
    } else if (state.state === 'read') {
      // The prefilled KV cache has expired, and the VM abandons the request.
      if (this.now >= state.dueAt) this.#release(state, undefined);
      else if (this.now % RETRY_MS === 0) this.#prefilled(state);
    } else if (state.state === 'running' && this.now >= state.dueAt) {
      state.state = 'over';
      const { outputTokens } = state;
      this.#send(owner, state.vm, { kind: 'finished', id, outputTokens });
      this.#send(owner, state.vm, { kind: 'released', id, blame: undefined });
    }
  }

  #prefilled({ demand, vm }: Request): void {
    const outcome = { ms: 100, unreachable: undefined, shedBy: undefined };
    this.#send(this.#ownerFor(vm), vm, { kind: 'prefilled', id: demand.id, ...outcome });
  }

  #release(request: Request, blame: string | undefined): void {
    const state = request;
    state.state = 'over';
    const { id } = state.demand;
    this.#send(this.#ownerFor(state.vm), state.vm, { kind: 'released', id, blame });
  }

  /** Delivers an owner's decision to the VM of the request, unless that VM now uses another owner. */
  #perform(owner: number, action: PlanAction): void {
    const state = this.#requests.find(({ demand }) => demand.id === action.id);
    if (!state || state.state === 'over' || this.#dead.has(state.vm)) return;
    if (this.#ownerFor(state.vm) !== owner) return;
    if (action.kind === 'refuse') this.#release(state, undefined);
    else if (action.kind === 'grant' && state.state === 'asked') {
      state.grant = action.grant;
      if (action.grant.prefill === undefined) this.#start(state, action.grant.decode);
      else {
        state.state = 'prefilling';
        state.dueAt = this.now + state.demand.promptTokens * PREFILL_TOKEN_MS;
      }
    } else if (action.kind === 'bind' && state.state === 'read') this.#start(state, action.decode);
  }

  #start(request: Request, decode: string): void {
    const state = request;
    if (!this.#runners.some(({ id }) => id === decode)) {
      this.#release(state, decode);
      return;
    }
    state.state = 'running';
    state.grant = { prefill: state.grant?.prefill, decode };
    state.startedAt = this.now;
    state.dueAt = this.now + state.outputTokens * TOKEN_MS;
    this.#send(this.#ownerFor(state.vm), state.vm, { kind: 'started', id: state.demand.id });
  }

  #setOwner(vm: number, owner: number): void {
    if (this.#dead.has(vm)) return;
    this.#ownerOf[vm] = owner;
    this.#planners[owner]?.startWarmUp(this.now);
    this.#reportHoldings(vm);
  }

  /** Reports all reservations that a VM holds to its owner, as VMs do periodically. */
  #reportHoldings(vm: number): void {
    if (this.#dead.has(vm)) return;
    const held = this.#requests.filter(
      ({ vm: of, state }) => of === vm && state !== 'asked' && state !== 'over',
    );
    const holdings = held.map(({ demand, grant, startedAt }) => ({
      demand,
      grant: grant as Grant,
      startedAt,
    }));
    this.#send(this.#ownerFor(vm), vm, { kind: 'told', vm: `vm${vm}`, holdings });
  }

  #disconnect(number: number): void {
    const open = this.#requests.filter(({ state, vm }) => state !== 'over' && !this.#dead.has(vm));
    const request = open[number % Math.max(1, open.length)];
    if (request) this.#release(request, undefined);
  }

  /** Crashes a runner, which restarts as a new instance; its requests fail. */
  #crashRunner(number: number): void {
    const crashed = this.#runners[number % this.#runners.length];
    if (!crashed) return;
    this.#restarts += 1;
    const { role, listing } = crashed;
    const id = `${listing}@${this.#restarts}`;
    this.#runners = this.#runners.map((one) =>
      one === crashed ? runnerOf(id, role, { listing }) : one,
    );
    for (let owner = 0; owner < OWNERS; owner += 1) {
      this.#send(owner, undefined, { kind: 'runners', engine, runners: this.#runners });
    }
    for (const request of this.#requests) {
      const { state, grant } = request;
      const wasDecoding = state === 'running' && grant?.decode === crashed.id;
      const wasPrefilling = state === 'prefilling' && grant?.prefill === crashed.id;
      if (wasDecoding || wasPrefilling) this.#release(request, crashed.id);
    }
  }

  /** Crashes a VM with all of its requests; the membership reports it to the owners. */
  #killVm(vm: number): void {
    if (this.#dead.size + 1 >= VMS) return;
    this.#dead.add(vm);
    for (let owner = 0; owner < OWNERS; owner += 1) {
      this.#send(owner, undefined, { kind: 'vmLost', vm: `vm${vm}` });
    }
  }

  #ownerFor(vm: number): number {
    return this.#ownerOf[vm] ?? 0;
  }

  /** Sends an event to an owner. Messages from VMs may be lost; events that the owner observes itself are not. */
  #send(owner: number, vm: number | undefined, event: PlanEvent): void {
    const isFrozen = (this.#frozenUntil[owner] ?? 0) > this.now;
    if (vm !== undefined) {
      if (this.#messagesToDrop > 0 || isFrozen) {
        this.#messagesToDrop = Math.max(0, this.#messagesToDrop - 1);
        return;
      }
      this.#lastSeen[owner]?.set(vm, this.now);
    } else if (isFrozen && event.kind !== 'runners' && event.kind !== 'vmLost') return;
    const actions = this.#planners[owner]?.handle(this.now, event) ?? [];
    for (const action of actions) this.#perform(owner, action);
  }

  #usedTokens(runner: string): number {
    return this.#requests
      .filter(
        ({ state, grant, vm }) =>
          state === 'running' && grant?.decode === runner && !this.#dead.has(vm),
      )
      .reduce((sum, { demand }) => sum + demand.promptTokens, 0);
  }

  /** Records the memory in use while a single owner has had complete state for some time. */
  #recordUsage(): void {
    const hasSingleOwner = new Set(this.#ownerOf).size === 1;
    if (!hasSingleOwner || this.now - this.#lastFaultAt < VM_TIMEOUT_MS * 2) return;
    for (const { id, role } of this.#runners) {
      if (role === 'decode') {
        this.maxUsage = Math.max(this.maxUsage, this.#usedTokens(id) / engine.memoryTokens);
      }
    }
  }
}
