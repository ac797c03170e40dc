import fc from 'fast-check';

import type { RunnerRecord } from '../../src/core/routing/directory';
import type { Position } from '../../src/core/routing/position';
import type { StateChange } from '../../src/node/router/routingstatelistener';
import { seeded } from '../fakes/virtual/workload';
import { HistoryStore, HistoryVm, SimulatedRunner } from '../fakes/virtual/storehistory';

/** One random event. */
type Step =
  | { readonly kind: 'leave' | 'vanish' | 'crash'; readonly runner: number }
  | { readonly kind: 'start' }
  | { readonly kind: 'return'; readonly ageMs: number }
  | { readonly kind: 'cut'; readonly vm: number; readonly forMs: number }
  | { readonly kind: 'newVm'; readonly vm: number }
  | { readonly kind: 'pass' };

const TICK_MS = 100;
const READ_MS = 700;
const STEP_TICKS = 3;
const READERS = 2;
const VMS = 4;
const RUNNERS = 4;
/**
 * Time without events after which all VMs must agree, in milliseconds: running runners register
 * again, leases expire, and gossip makes a few rounds.
 */
const QUIET_MS = 9000;
/**
 * Time after which a VM must not use a runner that it knows to leave, in milliseconds: an entry
 * that is missing may have expired in an outage.
 */
const BOUND_MS = 2600;

const nat = fc.nat(30);
const step: fc.Arbitrary<Step> = fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('leave' as const), runner: nat }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('vanish' as const), runner: nat }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('crash' as const), runner: nat }) },
  { weight: 3, arbitrary: fc.constant({ kind: 'start' as const }) },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('return' as const),
      ageMs: fc.integer({ min: 0, max: 6000 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      vm: fc.nat(READERS - 1),
      forMs: fc.integer({ min: 100, max: 4000 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('newVm' as const), vm: fc.nat(VMS - 1) }) },
  { weight: 6, arbitrary: fc.constant({ kind: 'pass' as const }) },
);

/** A fleet whose gossip is randomly delayed and lost. */
class Fleet {
  readonly store = new HistoryStore();

  readonly runners: SimulatedRunner[] = [];

  readonly vms: HistoryVm[] = [];

  readonly broken: string[] = [];

  now = 0;

  /** When each VM learned that a runner leaves, by VM and runner. */
  readonly #acknowledged = new Map<string, number>();

  readonly #random: () => number;

  readonly #messages: {
    readonly at: number;
    readonly to: number;
    readonly facts: readonly RunnerRecord[];
  }[] = [];

  constructor(random: () => number) {
    this.#random = random;
    for (let i = 0; i < RUNNERS; i += 1) this.#start();
    for (let vm = 0; vm < VMS; vm += 1) this.vms.push(this.#newVm(vm));
  }

  take(one: Step): void {
    const { runners, store, vms } = this;
    if (one.kind === 'leave') runners[one.runner % runners.length]?.leave(this.now, store);
    else if (one.kind === 'vanish') runners[one.runner % runners.length]?.remove(this.now, store);
    else if (one.kind === 'crash') runners[one.runner % runners.length]?.crash();
    else if (one.kind === 'start') this.#start();
    else if (one.kind === 'return') store.restore(this.now, one.ageMs);
    else if (one.kind === 'cut') {
      const vm = vms[one.vm];
      if (vm) vm.storeLostUntil = this.now + one.forMs;
    } else if (one.kind === 'newVm') this.#replace(one.vm);
  }

  run(ms: number): void {
    const until = this.now + ms;
    while (this.now < until) this.#tick();
  }

  get living(): readonly string[] {
    return this.runners
      .filter(({ isActive }) => isActive)
      .map(({ runner }) => runner.id)
      .sort();
  }

  usable(vm: number): readonly string[] {
    return (this.vms[vm]?.usable(this.now) ?? []).map(({ id }) => id).sort();
  }

  #start(): void {
    this.runners.push(new SimulatedRunner(this.now, `r${this.runners.length}`));
  }

  #newVm(number: number): HistoryVm {
    return new HistoryVm((change) => this.#spread(number, change));
  }

  /**
   * Replaces a VM by a new process, which exchanges state with another VM before it reads the
   * store, as the router does.
   */
  #replace(number: number): void {
    const vm = this.#newVm(number);
    this.vms[number] = vm;
    for (const key of [...this.#acknowledged.keys()]) {
      if (key.startsWith(`${number} `)) this.#acknowledged.delete(key);
    }
    const other = this.vms[(number + 1) % VMS];
    if (other) vm.fetchFrom(this.now, other);
  }

  #spread(from: number, change: StateChange): void {
    if (change.kind !== 'runners') return;
    for (let to = 0; to < VMS; to += 1) {
      const isLost = this.#random() < 0.3;
      const at = this.now + this.#random() * 500;
      if (to !== from && !isLost) this.#messages.push({ at, to, facts: change.facts });
    }
  }

  #tick(): void {
    this.now += TICK_MS;
    const { now, store } = this;
    for (const runner of this.runners) runner.tick(now, store);
    store.tick(now);
    for (const message of this.#messages.splice(0)) {
      if (message.at > now) this.#messages.push(message);
      else this.vms[message.to]?.routingState.learnRunners(now, message.facts, 'peer');
    }
    this.vms.forEach((vm, number) => {
      if (number < READERS && (now + number * 300) % READ_MS === 0) vm.readStore(now, store);
      // VMs whose digests differ exchange state.
      const other = this.vms[Math.floor(this.#random() * VMS)];
      const differs = other && other.routingState.digest !== vm.routingState.digest;
      if (differs && this.#random() < 0.2) vm.fetchFrom(now, other);
      this.#check(number, vm);
    });
  }

  #check(number: number, vm: HistoryVm): void {
    const usable = new Set(vm.usable(this.now).map(({ id }) => id));
    for (const { runner, leavePosition } of this.runners) {
      const { id } = runner;
      const key = `${number} ${id}`;
      const isNew =
        leavePosition && !this.#acknowledged.has(key) && knows(vm, this.now, id, leavePosition);
      if (isNew) this.#acknowledged.set(key, this.now);
      const since = this.now - (this.#acknowledged.get(key) ?? Infinity);
      if (since > BOUND_MS && usable.has(id)) {
        this.broken.push(`${this.now}: VM ${number} uses ${id}, which it knows to leave`);
      }
    }
  }
}

interface RunnerEntry {
  readonly id: string;
  readonly era: number;
  readonly revision: number;
  readonly leaving?: boolean;
}

/** Whether a VM knows that a runner leaves: by its record or by the position of its last write. */
function knows({ routingState }: HistoryVm, now: number, id: string, leftWith: Position): boolean {
  const { runners } = routingState.snapshot(now) as { runners: readonly RunnerEntry[] };
  return runners.some(
    ({ id: known, era, revision, leaving }) =>
      known === id && (leaving || (era === leftWith.era && revision === leftWith.revision)),
  );
}

describe('a store that is restored from older copies, with random other events', () => {
  /*
   * Runners leave, crash and start, and the store is restored from copies, also several times
   * in a row, while readers are disconnected and VMs restart. A VM that knew that a runner
   * leaves must not use it again, and once no more events occur, all VMs must know the
   * running runners.
   */
  test('makes no leaving runner usable again, and all VMs know the running runners in the end', () => {
    fc.assert(
      fc.property(fc.array(step, { maxLength: 40 }), fc.nat(1e6), (steps, seed) => {
        const fleet = new Fleet(seeded(seed));
        fleet.run(3000);
        for (const one of steps) {
          fleet.take(one);
          fleet.run(STEP_TICKS * TICK_MS);
        }
        fleet.run(QUIET_MS);
        const seen = fleet.vms.map((_, vm) => fleet.usable(vm));
        expect(seen).toEqual(fleet.vms.map(() => fleet.living));
        expect(fleet.broken).toEqual([]);
      }),
      { numRuns: 1000, seed: 27 },
    );
  }, 120_000);
});
