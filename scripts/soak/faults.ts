/** Faults of all kinds, drawn from a seed: in series and overlapping, with calm between the storms. */

import { setTimeout as pause } from 'node:timers/promises';

import type { FakeStore, StoreCopy } from '../../test/fakes/store';
import type { PooledRunner, RunnerPool } from './pool';
import type { Mesh } from './mesh';
import type { LinkState, LinkProxy } from './proxy';
import type { RunnerBehaviour } from './runner';
import { healthyBehaviour } from './runner';
import type { Vm } from './vm';

/** What faults work on. */
export interface FaultContext {
  readonly random: () => number;
  readonly vms: readonly Vm[];
  readonly mesh: Mesh;
  readonly store: FakeStore;
  readonly pool: RunnerPool;
  /** The store came back from an older copy. */
  readonly onStoreRestored: () => void;
  /** A fault begins or ends. */
  readonly onFault: (id: number, name: string, target: string, begins: boolean) => void;
}

/** A fault that was begun: what it works on, and how it ends. */
interface Begun {
  readonly target: string;
  /** Resolves once it is over. */
  readonly over: Promise<void>;
}

type Fault = () => Begun | undefined;

/** What a kind of fault works on; its name begins so. */
export type FaultFamily = 'vm' | 'store' | 'runner';

const STORM_MS = 16_000;
const CALM_MS = 12_000;
/** Longest time of one fault, in milliseconds. */
const LONGEST_MS = 6000;
/** Part of the VMs that may be down or stopped at once. */
const DOWN_PART = 0.5;
const COPY_MS = 5000;
/** Least time for which a VM is alone, in milliseconds. */
const ALONE_MS = 6000;
/** Time after its return in which operator and runners have not written to the store again, in milliseconds. */
const STALE_MS = 1500;
/** Time in which VMs find each other again, in milliseconds: part of the cut. */
const RECONNECT_MS = 2000;
/** Twice the longest step of a VM's time of day, in milliseconds. */
const CLOCK_STEP_MS = 8000;

/** Draws faults and ends them. */
export class FaultInjector {
  readonly #context: FaultContext;

  readonly #wanted: ReadonlySet<string> | undefined;

  readonly #counts: Record<string, number> = {};

  /** Targets that a fault works on; another one leaves them alone until it is over. */
  readonly #busy = new Set<string>();

  readonly #open = new Map<Promise<void>, string>();

  /** When the last fault of a family ended. */
  readonly #endedAt = new Map<string, number>();

  readonly #began = Date.now();

  #next = 0;

  #copy: StoreCopy | undefined;

  /** @param wanted names of the kinds to draw from. Default: all */
  constructor(context: FaultContext, wanted?: readonly string[]) {
    this.#context = context;
    this.#wanted = wanted && new Set(wanted);
  }

  get counts(): Readonly<Record<string, number>> {
    return this.#counts;
  }

  /** Time since the last fault of some families ended, in milliseconds; 0 while one lasts. */
  faultFreeMs(...families: readonly FaultFamily[]): number {
    const isOpen = [...this.#open.values()].some((name) => families.includes(familyOf(name)));
    if (isOpen) return 0;
    const ends = families.map((family) => this.#endedAt.get(family) ?? this.#began);
    return Date.now() - Math.max(...ends);
  }

  /** Names of all kinds. */
  get kinds(): readonly string[] {
    return Object.keys(this.#kinds());
  }

  async run(until: number): Promise<void> {
    const copies = setInterval(() => {
      this.#copy = this.#context.store.copy();
    }, COPY_MS);
    while (Date.now() < until) {
      await this.#storm(Math.min(until, Date.now() + STORM_MS));
      await Promise.all(this.#open.keys());
      await pause(Math.max(0, Math.min(CALM_MS, until - Date.now())));
    }
    clearInterval(copies);
  }

  async #storm(until: number): Promise<void> {
    const { random } = this.#context;
    const kinds = Object.entries(this.#kinds()).filter(
      ([name]) => !this.#wanted || this.#wanted.has(name),
    );
    while (Date.now() < until && kinds.length > 0) {
      const [name, fault] = kinds[Math.floor(random() * kinds.length)] as [string, Fault];
      this.#begin(name, fault());
      await pause(100 + random() * 1800);
    }
  }

  #begin(name: string, begun: Begun | undefined): void {
    if (!begun) return;
    const { target, over } = begun;
    this.#next += 1;
    const id = this.#next;
    this.#busy.add(target);
    this.#counts[name] = (this.#counts[name] ?? 0) + 1;
    this.#context.onFault(id, name, target, true);
    const work = over
      .catch((error: Error) => console.error(`${name}: ${error.message}`))
      .finally(() => {
        this.#open.delete(work);
        this.#busy.delete(target);
        this.#endedAt.set(familyOf(name), Date.now());
        this.#context.onFault(id, name, target, false);
      });
    this.#open.set(work, name);
  }

  #kinds(): Readonly<Record<string, Fault>> {
    return {
      'vm-kill': () => this.#endVm('SIGKILL'),
      'vm-stop': () => this.#endVm('SIGTERM'),
      'vm-freeze': () => this.#onVm((vm) => this.#freeze(vm)),
      'vm-clock': () => this.#onVm((vm) => this.#stepClock(vm)),
      'vm-hangup': () => this.#onVm(async (vm) => vm.signal('SIGHUP')),
      'vm-cut': () => this.#onMesh((vm) => this.#cut(vm, this.#othersOf(vm))),
      'vm-alone': () => this.#onMesh((vm) => this.#isolate(vm)),
      'vm-cut-some': () => this.#onMesh((vm) => this.#cut(vm, this.#someOf(this.#othersOf(vm)))),
      'vm-links': () =>
        this.#onMesh(async (vm) => this.#context.mesh.reset(vm, this.#context.random, 0.5)),
      'store-silent': () => this.#storeMood('silent'),
      'store-busy': () => this.#storeMood('busy'),
      'store-deaf': () => this.#storeMood('deaf'),
      'store-forgets': () => this.#onStore(async () => this.#context.store.compact()),
      'store-older': () => this.#onStore(async () => this.#comeBack()),
      'store-strange': () => this.#onStore(async () => this.#strangeEntry()),
      'store-link': () => this.#onStoreLink(),
      'runner-crash': () => this.#onRunner((place) => this.#crash(place)),
      'runner-fails': () => this.#mood({ failRatio: 0.4 }),
      'runner-all-fail': () => this.#failAll(),
      'runner-sheds': () => this.#mood({ shedRatio: 0.4 }),
      'runner-cuts': () => this.#mood({ cutRatio: 0.4 }),
      'runner-mute': () => this.#mood({ hangRatio: 0.2 }),
      'runner-slow': () => this.#mood({ slowdown: 4 }),
      'runner-link': () => this.#onRunner((place) => this.#link(place.proxy)),
      'runner-reset': () =>
        this.#onRunner(async ({ proxy }) => proxy.reset(this.#context.random, 0.5)),
    };
  }

  #pick<T>(all: readonly T[]): T | undefined {
    return all[Math.floor(this.#context.random() * all.length)];
  }

  #time(): number {
    return 200 + this.#context.random() * LONGEST_MS;
  }

  #onVm(work: (vm: Vm) => Promise<void>): Begun | undefined {
    const { vms } = this.#context;
    const down = vms.filter(({ isUp: up, isPaused: frozen }) => !up || frozen).length;
    const free = vms.filter(({ isUp: up, place }) => up && !this.#busy.has(place.name));
    const vm = this.#pick(free);
    if (!vm || down + 1 > vms.length * DOWN_PART) return undefined;
    return { target: vm.place.name, over: work(vm) };
  }

  #onMesh(work: (vm: Vm) => Promise<void>): Begun | undefined {
    return this.#context.mesh.hasPairs ? this.#onVm(work) : undefined;
  }

  #othersOf(vm: Vm): readonly Vm[] {
    return this.#context.vms.filter((other) => other !== vm);
  }

  #someOf(vms: readonly Vm[]): readonly Vm[] {
    return vms.filter(() => this.#context.random() < 0.5);
  }

  /** Cuts a VM off from others, in both directions or in one. */
  async #cut(vm: Vm, others: readonly Vm[]): Promise<void> {
    const { mesh, random } = this.#context;
    const moods: readonly LinkState[] = ['silent', 'forward', 'back'];
    mesh.cut(vm, others, this.#pick(moods) ?? 'silent');
    await pause(this.#time());
    mesh.cut(vm, others, 'well');
    // What was silenced stays so until it is given up.
    if (random() < 0.5) mesh.reset(vm, random, 1);
    await pause(RECONNECT_MS);
  }

  /** Cuts a VM off from all others and from the store, for longer than a key that was taken away may count. */
  async #isolate(vm: Vm): Promise<void> {
    const { mesh, vms, random } = this.#context;
    const link = mesh.storeLinks[vms.indexOf(vm)];
    mesh.cut(vm, this.#othersOf(vm), 'silent');
    if (link) link.mood = 'silent';
    await pause(ALONE_MS * (1 + random()));
    mesh.cut(vm, this.#othersOf(vm), 'well');
    if (link) link.mood = 'well';
    await pause(RECONNECT_MS);
  }

  #endVm(signal: 'SIGKILL' | 'SIGTERM'): Begun | undefined {
    return this.#onVm(async (vm) => {
      vm.signal(signal);
      await vm.waitForExit();
      await pause(this.#time() / 2);
      vm.start();
      // Its start is part of the fault: nobody knows it yet.
      await pause(2000);
    });
  }

  async #freeze(vm: Vm): Promise<void> {
    vm.signal('SIGSTOP');
    await pause(this.#time());
    vm.signal('SIGCONT');
  }

  async #stepClock(vm: Vm): Promise<void> {
    vm.stepClock((this.#context.random() - 0.5) * CLOCK_STEP_MS);
    await pause(this.#time());
    vm.stepClock(0);
  }

  #onStore(work: () => Promise<void>): Begun | undefined {
    return this.#busy.has('store') ? undefined : { target: 'store', over: work() };
  }

  #storeMood(mood: FakeStore['fault']): Begun | undefined {
    return this.#onStore(async () => {
      const { store } = this.#context;
      store.fault = mood;
      await pause(this.#time());
      store.fault = 'well';
    });
  }

  /** Operator and runners write again what the copy lacks. */
  async #comeBack(): Promise<void> {
    const { store, pool, onStoreRestored: onReturn } = this.#context;
    if (this.#copy) store.restore(this.#copy);
    await pause(STALE_MS);
    onReturn();
    for (const place of pool.members) pool.publish(place.runner);
    await pause(500);
  }

  async #strangeEntry(): Promise<void> {
    const { store } = this.#context;
    const strange = ['{', '{"service":7}', '{"service":"desk","address":"nowhere"}'];
    store.put('servers/i-strange', this.#pick(strange));
    await pause(this.#time());
    store.remove('servers/i-strange');
  }

  #onStoreLink(): Begun | undefined {
    const { storeLinks } = this.#context.mesh;
    const index = Math.floor(this.#context.random() * storeLinks.length);
    const link = storeLinks[index];
    const target = `store link ${index + 1}`;
    return link && !this.#busy.has(target) ? { target, over: this.#link(link) } : undefined;
  }

  async #link(link: LinkProxy): Promise<void> {
    const proxy = link;
    const { random } = this.#context;
    const moods: readonly LinkState[] = ['silent', 'forward', 'back', 'refuse', 'well'];
    proxy.mood = this.#pick(moods) ?? 'well';
    if (proxy.mood === 'well') proxy.delayMs = random() * 300;
    await pause(this.#time());
    proxy.mood = 'well';
    proxy.delayMs = 0;
    // What was silenced stays so.
    proxy.reset(random, 1);
  }

  #onRunner(work: (place: PooledRunner) => Promise<void>): Begun | undefined {
    const free = this.#context.pool.members.filter(
      ({ runner }) => runner.isUp && !this.#busy.has(runner.runnerId),
    );
    const place = this.#pick(free);
    return place && { target: place.runner.runnerId, over: work(place) };
  }

  async #crash(place: PooledRunner): Promise<void> {
    await this.#context.pool.restart(place, this.#time());
    // VMs hear of the new start, and the old one's requests end.
    await pause(1500);
  }

  /** All plain runners fail most of their requests. */
  #failAll(): Begun | undefined {
    const places = this.#context.pool.membersUp('plain');
    const moods = places.map(({ runner }) => runner);
    if (moods.some(({ runnerId: listing }) => this.#busy.has(listing))) return undefined;
    const over = async (): Promise<void> => {
      for (const runner of moods) runner.behaviour = { ...healthyBehaviour, failRatio: 0.8 };
      await pause(this.#time());
      for (const runner of moods) runner.behaviour = healthyBehaviour;
    };
    return { target: 'all plain runners', over: over() };
  }

  #mood(change: Partial<RunnerBehaviour>): Begun | undefined {
    return this.#onRunner(async ({ runner }) => {
      const changed = runner;
      changed.behaviour = { ...healthyBehaviour, ...change };
      await pause(this.#time());
      changed.behaviour = healthyBehaviour;
    });
  }
}

function familyOf(name: string): FaultFamily {
  return name.split('-')[0] as FaultFamily;
}
