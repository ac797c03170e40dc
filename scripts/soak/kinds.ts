/** The kinds of faults: what each draws as its target, what it does and how it ends. */

import { setTimeout as pause } from 'node:timers/promises';

import type { FakeStore, StoreCopy } from '../../test/fakes/store';
import type { Mesh } from './mesh';
import type { PooledRunner, RunnerPool } from './pool';
import type { LinkProxy, LinkState } from './proxy';
import type { RunnerBehaviour } from './work';
import { healthyBehaviour } from './work';
import type { RunnerCut, Vm } from './vm';

/** What faults act on, and callbacks about them. */
export interface FaultTargets {
  readonly random: () => number;
  readonly vms: readonly Vm[];
  readonly mesh: Mesh;
  readonly store: FakeStore;
  readonly pool: RunnerPool;
  /** Called after the store was restored from an older copy. */
  readonly onStoreRestored: () => void;
  /** Called when a VM is partitioned from all runners, or not any more. */
  readonly onRunnersCut: (vm: Vm, isCut: boolean) => void;
  /** Called when a runner stops answering, with all its connections open. */
  readonly onLost: (member: PooledRunner) => void;
}

/** A fault in progress. */
export interface ActiveFault {
  /** Names of the VMs, the runner or the link that the fault acts on. */
  readonly targets: readonly string[];
  /** Resolves once the fault has ended. */
  readonly done: Promise<void>;
}

/** Begins a fault; undefined if no suitable target is free. */
export type FaultStarter = () => ActiveFault | undefined;

/** Range of the random part of a fault's duration; the fixed part is 200 ms. */
const MAX_EXTRA_FAULT_MS = 6000;
/** Fraction of the VMs that may be down or paused at the same time. */
const MAX_DOWN_RATIO = 0.5;
/** Minimum time for which a VM is isolated. */
const MIN_ISOLATION_MS = 6000;
/** Time after the store was restored before the operator and the runners write to it again. */
const RESTORE_REWRITE_DELAY_MS = 1500;
/** Minimum time for which a VM is partitioned from all runners. */
const MIN_RUNNERS_CUT_MS = 5000;
/** Time that VMs need to reconnect after a network partition; counted as part of the fault. */
const RECONNECT_MS = 2000;
/** Each burst begins with a fault of this kind: only a few streams are under way at one runner. */
export const LOSS = 'runner-lost';
/** Targets of faults of all plain runners at once, and of all that prefill or decode. */
export const ALL_PLAIN = 'all plain runners';
export const ALL_MODEL = 'all model runners';
/** How runners fail when all of a service do, drawn for each time. */
const failures: readonly Partial<RunnerBehaviour>[] = [
  { failRatio: 0.9 },
  { cutRatio: 0.9 },
  { shedRatio: 0.9 },
];
/** Minimum time for which a lost runner does not answer: its streams would have ended in half of it. */
const MIN_LOST_MS = 4000;
/** Time in which a runner that is to end within an answer has to get a request, and how often that is looked at. */
const MAX_STOP_WAIT_MS = 3000;
const STOP_LOOK_MS = 20;
/** Signals of a series, and the longest pause between two. */
const HANGUPS = 5;
const MAX_HANGUP_PAUSE_MS = 400;
/** Range of clock steps: the clock moves by at most half of it in either direction. */
const CLOCK_STEP_RANGE_MS = 8000;

/** Draws targets of faults and begins faults. */
export class FaultKinds {
  readonly #context: FaultTargets;

  readonly #isBusy: (target: string) => boolean;

  /** VMs that are partitioned from all runners. */
  readonly #cutVms = new Set<Vm>();

  #storeCopy: StoreCopy | undefined;

  /** @param isBusy whether a fault in progress acts on a target */
  constructor(context: FaultTargets, isBusy: (target: string) => boolean) {
    this.#context = context;
    this.#isBusy = isBusy;
  }

  /** Copies the store for its later restoration. */
  copyStore(): void {
    this.#storeCopy = this.#context.store.copy();
  }

  /** Kinds of faults by name. */
  get starters(): Readonly<Record<string, FaultStarter>> {
    return {
      'vm-kill': () => this.#restartVm('SIGKILL'),
      'vm-stop': () => this.#restartVm('SIGTERM'),
      'vm-freeze': () => this.#onVm((vm) => this.#pauseVm(vm)),
      'vm-clock': () => this.#onVm((vm) => this.#stepClock(vm)),
      'vm-hangup': () => this.#onVm(async (vm) => vm.signal('SIGHUP')),
      'vm-hangups': () => this.#onVm((vm) => this.#hangUpOften(vm)),
      'vm-cut': () => this.#onMesh((vm) => this.#partition(vm, this.#othersOf(vm))),
      'vm-alone': () => this.#onMesh((vm) => this.#isolate(vm)),
      'vm-cut-some': () =>
        this.#onMesh((vm) => this.#partition(vm, this.#someOf(this.#othersOf(vm)))),
      'vm-links': () =>
        this.#onMesh(async (vm) => this.#context.mesh.reset(vm, this.#context.random, 0.5)),
      'store-silent': () => this.#disturbStore('silent'),
      'store-busy': () => this.#disturbStore('busy'),
      'store-deaf': () => this.#disturbStore('deaf'),
      'store-forgets': () => this.#onStore(async () => this.#context.store.compact()),
      'store-older': () => this.#onStore(async () => this.#restoreStore()),
      'store-strange': () => this.#onStore(async () => this.#writeMalformedEntry()),
      'store-link': () => this.#onStoreLink(),
      'path-runners': () => this.#onPath(),
      'runner-crash': () => this.#onRunner((member) => this.#crash(member)),
      [LOSS]: () =>
        this.#onRunner((member) => this.#lose(member), this.#context.pool.redundantDecoders),
      'runner-fails': () => this.#disturbRunner({ failRatio: 0.4 }),
      'runner-all-fail': () => this.#failPlainRunners(),
      'runner-models-fail': () => this.#failModelRunners(),
      'runner-sheds': () => this.#disturbRunner({ shedRatio: 0.4 }),
      'runner-cuts': () => this.#disturbRunner({ cutRatio: 0.4 }),
      'runner-heads': () => this.#disturbRunner({ headCutRatio: 0.4 }),
      'runner-stops': () => this.#onRunner((member) => this.#stopWithinAnswer(member)),
      'runner-mute': () => this.#disturbRunner({ hangRatio: 0.2 }),
      'runner-slow': () => this.#disturbRunner({ slowdown: 4 }),
      'runner-link': () => this.#onRunner((member) => this.#disturbLink(member.proxy)),
      'runner-reset': () =>
        this.#onRunner(async ({ proxy }) => proxy.reset(this.#context.random, 0.5)),
    };
  }

  #pick<T>(all: readonly T[]): T | undefined {
    return all[Math.floor(this.#context.random() * all.length)];
  }

  #drawDurationMs(): number {
    return 200 + this.#context.random() * MAX_EXTRA_FAULT_MS;
  }

  #onVm(work: (vm: Vm) => Promise<void>): ActiveFault | undefined {
    const { vms } = this.#context;
    const down = vms.filter(({ isUp, isPaused }) => !isUp || isPaused).length;
    const free = vms.filter(({ isUp, options }) => isUp && !this.#isBusy(options.name));
    const vm = this.#pick(free);
    if (!vm || down + 1 > vms.length * MAX_DOWN_RATIO) return undefined;
    return { targets: [vm.options.name], done: work(vm) };
  }

  #onMesh(work: (vm: Vm) => Promise<void>): ActiveFault | undefined {
    return this.#context.mesh.hasPairs ? this.#onVm(work) : undefined;
  }

  /** Partitions a VM from all runners. One VM at least keeps its paths. */
  #onPath(): ActiveFault | undefined {
    const { vms } = this.#context;
    const isLast = this.#cutVms.size + 1 >= vms.length;
    return isLast ? undefined : this.#onVm((vm) => this.#cutFromRunners(vm));
  }

  async #cutFromRunners(vm: Vm): Promise<void> {
    const { onRunnersCut } = this.#context;
    const cuts: readonly RunnerCut[] = ['silent', 'refuse'];
    this.#cutVms.add(vm);
    vm.cutFromRunners(this.#pick(cuts));
    onRunnersCut(vm, true);
    await pause(MIN_RUNNERS_CUT_MS + this.#drawDurationMs());
    vm.cutFromRunners(undefined);
    onRunnersCut(vm, false);
    this.#cutVms.delete(vm);
  }

  #othersOf(vm: Vm): readonly Vm[] {
    return this.#context.vms.filter((other) => other !== vm);
  }

  #someOf(vms: readonly Vm[]): readonly Vm[] {
    return vms.filter(() => this.#context.random() < 0.5);
  }

  /** Partitions a VM from others, in both directions or in one. */
  async #partition(vm: Vm, others: readonly Vm[]): Promise<void> {
    const { mesh, random } = this.#context;
    const states: readonly LinkState[] = ['silent', 'forward', 'back'];
    mesh.cut(vm, others, this.#pick(states) ?? 'silent');
    await pause(this.#drawDurationMs());
    mesh.cut(vm, others, 'well');
    // Connections silenced during the partition stay silent until a peer closes them.
    if (random() < 0.5) mesh.reset(vm, random, 1);
    await pause(RECONNECT_MS);
  }

  /** Isolates a VM from all others and from the store, for longer than a revoked key may still be accepted. */
  async #isolate(vm: Vm): Promise<void> {
    const { mesh, vms, random } = this.#context;
    const link = mesh.storeLinks[vms.indexOf(vm)];
    mesh.cut(vm, this.#othersOf(vm), 'silent');
    if (link) link.state = 'silent';
    await pause(MIN_ISOLATION_MS * (1 + random()));
    mesh.cut(vm, this.#othersOf(vm), 'well');
    if (link) link.state = 'well';
    await pause(RECONNECT_MS);
  }

  #restartVm(signal: 'SIGKILL' | 'SIGTERM'): ActiveFault | undefined {
    return this.#onVm(async (vm) => {
      if (signal === 'SIGTERM') await vm.terminate();
      else {
        vm.signal(signal);
        await vm.waitForExit();
      }
      await pause(this.#drawDurationMs() / 2);
      vm.start();
      // The start-up counts as part of the fault: the other VMs do not know the new process yet.
      await pause(2000);
    });
  }

  /** Lets a VM read its settings again several times, also while it does so. */
  async #hangUpOften(vm: Vm): Promise<void> {
    for (let signals = 0; signals < HANGUPS; signals += 1) {
      vm.signal('SIGHUP');
      await pause(this.#context.random() * MAX_HANGUP_PAUSE_MS);
    }
  }

  async #pauseVm(vm: Vm): Promise<void> {
    vm.signal('SIGSTOP');
    await pause(this.#drawDurationMs());
    vm.signal('SIGCONT');
  }

  async #stepClock(vm: Vm): Promise<void> {
    vm.stepClock((this.#context.random() - 0.5) * CLOCK_STEP_RANGE_MS);
    await pause(this.#drawDurationMs());
    vm.stepClock(0);
  }

  #onStore(work: () => Promise<void>): ActiveFault | undefined {
    return this.#isBusy('store') ? undefined : { targets: ['store'], done: work() };
  }

  #disturbStore(mood: FakeStore['fault']): ActiveFault | undefined {
    return this.#onStore(async () => {
      const { store } = this.#context;
      store.fault = mood;
      await pause(this.#drawDurationMs());
      store.fault = 'well';
    });
  }

  /** Restores the store from the last copy; the operator and the runners then rewrite the entries that it lacks. */
  async #restoreStore(): Promise<void> {
    const { store, pool, onStoreRestored } = this.#context;
    if (this.#storeCopy) store.restore(this.#storeCopy);
    await pause(RESTORE_REWRITE_DELAY_MS);
    onStoreRestored();
    for (const member of pool.members) pool.publish(member.runner);
    await pause(500);
  }

  async #writeMalformedEntry(): Promise<void> {
    const { store } = this.#context;
    const malformed = ['{', '{"service":7}', '{"service":"desk","address":"nowhere"}'];
    store.put('servers/i-strange', this.#pick(malformed));
    await pause(this.#drawDurationMs());
    store.remove('servers/i-strange');
  }

  #onStoreLink(): ActiveFault | undefined {
    const { storeLinks } = this.#context.mesh;
    const index = Math.floor(this.#context.random() * storeLinks.length);
    const link = storeLinks[index];
    const target = `store link ${index + 1}`;
    return link && !this.#isBusy(target)
      ? { targets: [target], done: this.#disturbLink(link) }
      : undefined;
  }

  async #disturbLink(link: LinkProxy): Promise<void> {
    const proxy = link;
    const { random } = this.#context;
    const states: readonly LinkState[] = ['silent', 'forward', 'back', 'refuse', 'well'];
    proxy.state = this.#pick(states) ?? 'well';
    if (proxy.state === 'well') proxy.delayMs = random() * 300;
    await pause(this.#drawDurationMs());
    proxy.state = 'well';
    proxy.delayMs = 0;
    // Silenced connections stay silent, so they are reset.
    proxy.reset(random, 1);
  }

  #onRunner(
    work: (member: PooledRunner) => Promise<void>,
    members: readonly PooledRunner[] = this.#context.pool.members,
  ): ActiveFault | undefined {
    const free = members.filter(({ runner }) => runner.isUp && !this.#isBusy(runner.runnerId));
    const member = this.#pick(free);
    return member && { targets: [member.runner.runnerId], done: work(member) };
  }

  async #crash(member: PooledRunner): Promise<void> {
    await this.#context.pool.restart(member, this.#drawDurationMs());
    // Time for the VMs to learn of the new instance, and for requests of the old one to end.
    await pause(1500);
  }

  /** Lets the process of a runner end within an answer; it is restarted in any case. */
  async #stopWithinAnswer(member: PooledRunner): Promise<void> {
    const { runner } = member;
    runner.behaviour = { ...healthyBehaviour, stopRatio: 0.5 };
    const until = Date.now() + MAX_STOP_WAIT_MS;
    while (runner.isUp && Date.now() < until) await pause(STOP_LOOK_MS);
    runner.behaviour = healthyBehaviour;
    await this.#crash(member);
  }

  /** Stops a runner as a loss of power does: no connection ends, and it comes back without its state. */
  async #lose(member: PooledRunner): Promise<void> {
    const { pool, onLost, random } = this.#context;
    const { proxy } = member;
    proxy.state = 'silent';
    onLost(member);
    const untilListing = pool.expire(member);
    await pause(MIN_LOST_MS + this.#drawDurationMs() / 2);
    clearTimeout(untilListing);
    if (member.runner.isUp) await pool.restart(member, 0);
    proxy.state = 'well';
    proxy.reset(random, 1);
    await pause(1500);
  }

  /** Makes all plain runners fail most of their requests. */
  #failPlainRunners(): ActiveFault | undefined {
    const members = this.#context.pool.membersUp('plain');
    const runners = members.map(({ runner }) => runner);
    if (runners.some(({ runnerId }) => this.#isBusy(runnerId))) return undefined;
    const run = async (): Promise<void> => {
      for (const runner of runners) runner.behaviour = { ...healthyBehaviour, failRatio: 0.8 };
      await pause(this.#drawDurationMs());
      for (const runner of runners) runner.behaviour = healthyBehaviour;
    };
    return { targets: [ALL_PLAIN], done: run() };
  }

  /** Makes all runners of the model service fail most of their requests, in one way. */
  #failModelRunners(): ActiveFault | undefined {
    const { pool } = this.#context;
    const runners = [...pool.membersUp('decode'), ...pool.membersUp('prefill')].map(
      ({ runner }) => runner,
    );
    if (runners.some(({ runnerId }) => this.#isBusy(runnerId))) return undefined;
    const behaviour = { ...healthyBehaviour, ...this.#pick(failures) };
    const run = async (): Promise<void> => {
      for (const runner of runners) runner.behaviour = behaviour;
      await pause(this.#drawDurationMs());
      for (const runner of runners) runner.behaviour = healthyBehaviour;
    };
    return { targets: [ALL_MODEL, ...runners.map(({ runnerId }) => runnerId)], done: run() };
  }

  /** Makes all runners fail most of their requests, or none. */
  failRunners(doFail: boolean): void {
    const behaviour = doFail ? { ...healthyBehaviour, ...this.#pick(failures) } : healthyBehaviour;
    for (const { runner } of this.#context.pool.members) runner.behaviour = behaviour;
  }

  #disturbRunner(change: Partial<RunnerBehaviour>): ActiveFault | undefined {
    return this.#onRunner(async ({ runner }) => {
      const changed = runner;
      changed.behaviour = { ...healthyBehaviour, ...change };
      await pause(this.#drawDurationMs());
      changed.behaviour = healthyBehaviour;
    });
  }
}
