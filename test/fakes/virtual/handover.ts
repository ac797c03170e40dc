/**
 * Planners of one service under virtual time, VMs that go by one of them or by another, and
 * the truth of the runners: messages are lost, callers leave, VMs die, runners start anew.
 */

import { Planner } from '../../../src/core/memory/planner';
import { planPolicy } from '../../../src/core/memory/policy';
import type { Demand, Grant, PlanAction, PlanEvent } from '../../../src/core/memory/types';
import type { Engine, Runner } from '../../../src/core/routing/types';
import { runnerOf } from '../runner';

/** What happens at one moment; numbers name VMs, owners, requests and runners in turn. */
export type HandoverStep =
  | { readonly kind: 'ask'; readonly vm: number; readonly prompt: number; readonly output: number }
  /** A VM goes by an owner from now on. */
  | { readonly kind: 'move'; readonly vm: number; readonly owner: number }
  /** The next messages to owners are lost. */
  | { readonly kind: 'lose'; readonly count: number }
  | { readonly kind: 'leave'; readonly request: number }
  | { readonly kind: 'crash'; readonly runner: number }
  | { readonly kind: 'die'; readonly vm: number }
  | { readonly kind: 'freeze'; readonly owner: number; readonly forMs: number }
  | { readonly kind: 'pass'; readonly ms: number };

/** How far a request has come, as its VM knows. */
type State = 'asked' | 'prefilling' | 'read' | 'running' | 'over';

interface Request {
  readonly demand: Demand;
  readonly vm: number;
  readonly outputTokens: number;
  state: State;
  grant: Grant | undefined;
  askedAt: number;
  startedAt: number | undefined;
  /** When what it does now is over. */
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
const READ_TOKEN_MS = 0.02;
const TOKEN_MS = 7;
/** A VM whose request waits asks again after this time, in milliseconds. */
const ASK_AGAIN_MS = 250;
const HOLD_MS = 2000;
const REPORT_MS = 1000;
const SILENT_MS = 7000;
const PATIENCE_MS = 3600;
const OWNERS = 2;
const VMS = 3;

/** Everything of one run. */
export class Handover {
  now = 0;

  readonly #planners = Array.from({ length: OWNERS }, () => new Planner(planPolicy));

  readonly #frozenUntil = Array.from({ length: OWNERS }, () => 0);

  /** When each owner heard of each VM last. */
  readonly #heard = Array.from({ length: OWNERS }, () => new Map<number, number>());

  readonly #ownerOf = Array.from({ length: VMS }, () => 0);

  readonly #dead = new Set<number>();

  readonly #requests: Request[] = [];

  #runners: readonly Runner[] = [
    runnerOf('p1', 'prefill'),
    runnerOf('d1', 'decode'),
    runnerOf('d2', 'decode'),
  ];

  #lost = 0;

  #starts = 0;

  /** When anything last happened that an owner may not know of. */
  #troubleAt = 0;

  /** The most that prompts took of a runner's memory, as a part of it, while one owner knew all. */
  mostKnown = 0;

  constructor() {
    for (let owner = 0; owner < OWNERS; owner += 1) {
      this.#send(owner, undefined, { kind: 'runners', engine, runners: this.#runners });
    }
  }

  take(step: HandoverStep): void {
    if (step.kind === 'pass') {
      this.run(step.ms);
      return;
    }
    if (step.kind === 'ask') {
      this.#ask(step.vm % VMS, step.prompt, step.output);
      return;
    }
    this.#troubleAt = this.now;
    if (step.kind === 'lose') this.#lost += step.count;
    else if (step.kind === 'move') this.#move(step.vm % VMS, step.owner % OWNERS);
    else if (step.kind === 'leave') this.#leave(step.request);
    else if (step.kind === 'crash') this.#crash(step.runner);
    else if (step.kind === 'die') this.#die(step.vm % VMS);
    else this.#frozenUntil[step.owner % OWNERS] = this.now + step.forMs;
  }

  run(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) this.#tick();
  }

  /** All VMs go by one owner, and nothing is lost any more. */
  settle(): void {
    this.#lost = 0;
    this.#frozenUntil.fill(0);
    for (let vm = 0; vm < VMS; vm += 1) this.#move(vm, 0);
  }

  /** Requests whose VM still waits for something. */
  get open(): number {
    return this.#requests.filter(({ state, vm }) => state !== 'over' && !this.#dead.has(vm)).length;
  }

  /** What owners still count. */
  get counted(): readonly { readonly waiting: number; readonly placed: number }[] {
    return this.#planners.map(({ waiting, placed }) => ({ waiting, placed }));
  }

  /** Part of the decode memory that each owner takes for given out. */
  get memory(): readonly number[] {
    return this.#planners.map((planner) => planner.load(this.now).memory);
  }

  #tick(): void {
    this.now += TICK_MS;
    for (const request of this.#requests) this.#advance(request);
    if (this.now % HOLD_MS === 0) {
      for (let vm = 0; vm < VMS; vm += 1) this.#tell(vm);
    }
    for (let owner = 0; owner < OWNERS; owner += 1) this.#wake(owner);
    this.#measure();
  }

  #wake(owner: number): void {
    for (const [vm, at] of this.#heard[owner] ?? []) {
      if (this.now - at > SILENT_MS) {
        this.#heard[owner]?.delete(vm);
        this.#send(owner, undefined, { kind: 'vmLost', vm: `vm${vm}` });
      }
    }
    if (this.now % REPORT_MS === 0) {
      for (const { id, role } of this.#runners) {
        const report = { runner: id, usedTokens: this.#usedOf(id) };
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
    this.#send(this.#owner(vm), vm, { kind: 'asked', demand });
  }

  /** What a request does next by the clock. */
  #advance(request: Request): void {
    const state = request;
    if (state.state === 'over' || this.#dead.has(state.vm)) return;
    const { id } = state.demand;
    const owner = this.#owner(state.vm);
    if (state.state === 'asked' && this.now - state.askedAt >= ASK_AGAIN_MS) {
      state.askedAt = this.now;
      if (this.now >= state.demand.lostAt) this.#release(state, undefined);
      else this.#send(owner, state.vm, { kind: 'asked', demand: state.demand });
    } else if (state.state === 'prefilling' && this.now >= state.dueAt) {
      state.state = 'read';
      state.dueAt = this.now + engine.keepMs * 4;
      this.#prefilled(state);
    } else if (state.state === 'read') {
      // What was read lapses, and its VM gives up.
      if (this.now >= state.dueAt) this.#release(state, undefined);
      else if (this.now % ASK_AGAIN_MS === 0) this.#prefilled(state);
    } else if (state.state === 'running' && this.now >= state.dueAt) {
      state.state = 'over';
      const { outputTokens } = state;
      this.#send(owner, state.vm, { kind: 'finished', id, outputTokens });
      this.#send(owner, state.vm, { kind: 'released', id, blame: undefined });
    }
  }

  #prefilled({ demand, vm }: Request): void {
    const told = { ms: 100, unreachable: undefined, shedBy: undefined };
    this.#send(this.#owner(vm), vm, { kind: 'prefilled', id: demand.id, ...told });
  }

  #release(request: Request, blame: string | undefined): void {
    const state = request;
    state.state = 'over';
    const { id } = state.demand;
    this.#send(this.#owner(state.vm), state.vm, { kind: 'released', id, blame });
  }

  /** A verdict of an owner reaches the VM that asked, unless that one goes by another by now. */
  #perform(owner: number, action: PlanAction): void {
    const state = this.#requests.find(({ demand }) => demand.id === action.id);
    if (!state || state.state === 'over' || this.#dead.has(state.vm)) return;
    if (this.#owner(state.vm) !== owner) return;
    if (action.kind === 'refuse') this.#release(state, undefined);
    else if (action.kind === 'grant' && state.state === 'asked') {
      state.grant = action.grant;
      if (action.grant.prefill === undefined) this.#start(state, action.grant.decode);
      else {
        state.state = 'prefilling';
        state.dueAt = this.now + state.demand.promptTokens * READ_TOKEN_MS;
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
    this.#send(this.#owner(state.vm), state.vm, { kind: 'started', id: state.demand.id });
  }

  #move(vm: number, owner: number): void {
    if (this.#dead.has(vm)) return;
    this.#ownerOf[vm] = owner;
    this.#planners[owner]?.startWarmUp(this.now);
    this.#tell(vm);
  }

  /** A VM tells its owner all that it holds, as it does from time to time. */
  #tell(vm: number): void {
    if (this.#dead.has(vm)) return;
    const held = this.#requests.filter(
      ({ vm: of, state }) => of === vm && state !== 'asked' && state !== 'over',
    );
    const holdings = held.map(({ demand, grant, startedAt }) => ({
      demand,
      grant: grant as Grant,
      startedAt,
    }));
    this.#send(this.#owner(vm), vm, { kind: 'told', vm: `vm${vm}`, holdings });
  }

  #leave(number: number): void {
    const open = this.#requests.filter(({ state, vm }) => state !== 'over' && !this.#dead.has(vm));
    const request = open[number % Math.max(1, open.length)];
    if (request) this.#release(request, undefined);
  }

  /** A runner ends and is there again as another start; what it ran breaks off. */
  #crash(number: number): void {
    const gone = this.#runners[number % this.#runners.length];
    if (!gone) return;
    this.#starts += 1;
    const { role, listing } = gone;
    const id = `${listing}@${this.#starts}`;
    this.#runners = this.#runners.map((one) =>
      one === gone ? runnerOf(id, role, { listing }) : one,
    );
    for (let owner = 0; owner < OWNERS; owner += 1) {
      this.#send(owner, undefined, { kind: 'runners', engine, runners: this.#runners });
    }
    for (const request of this.#requests) {
      const { state, grant } = request;
      const ran = state === 'running' && grant?.decode === gone.id;
      const read = state === 'prefilling' && grant?.prefill === gone.id;
      if (ran || read) this.#release(request, gone.id);
    }
  }

  /** A VM ends with all of its requests; owners hear of it from the membership. */
  #die(vm: number): void {
    if (this.#dead.size + 1 >= VMS) return;
    this.#dead.add(vm);
    for (let owner = 0; owner < OWNERS; owner += 1) {
      this.#send(owner, undefined, { kind: 'vmLost', vm: `vm${vm}` });
    }
  }

  #owner(vm: number): number {
    return this.#ownerOf[vm] ?? 0;
  }

  /** A message of a VM may be lost; what an owner finds out itself is not. */
  #send(owner: number, vm: number | undefined, event: PlanEvent): void {
    const isFrozen = (this.#frozenUntil[owner] ?? 0) > this.now;
    if (vm !== undefined) {
      if (this.#lost > 0 || isFrozen) {
        this.#lost = Math.max(0, this.#lost - 1);
        return;
      }
      this.#heard[owner]?.set(vm, this.now);
    } else if (isFrozen && event.kind !== 'runners' && event.kind !== 'vmLost') return;
    const actions = this.#planners[owner]?.handle(this.now, event) ?? [];
    for (const action of actions) this.#perform(owner, action);
  }

  #usedOf(runner: string): number {
    return this.#requests
      .filter(
        ({ state, grant, vm }) =>
          state === 'running' && grant?.decode === runner && !this.#dead.has(vm),
      )
      .reduce((sum, { demand }) => sum + demand.promptTokens, 0);
  }

  /** Where one owner has known all for some time, what it gave out must fit. */
  #measure(): void {
    const isOne = new Set(this.#ownerOf).size === 1;
    if (!isOne || this.now - this.#troubleAt < SILENT_MS * 2) return;
    for (const { id, role } of this.#runners) {
      if (role === 'decode') {
        this.mostKnown = Math.max(this.mostKnown, this.#usedOf(id) / engine.memoryTokens);
      }
    }
  }
}
