/**
 * Simulates a fleet under virtual time whose VMs learn the configuration and the
 * runners from a store and from each other. Counts the work that grows with the
 * fleet: calls to the store, exchanges between VMs, and packets.
 */

import { Membership } from '../../../src/core/membership/membership';
import {
  isIsolated,
  joinTargets,
  readersOf,
  shouldRead,
} from '../../../src/core/membership/readers';
import type {
  MembershipAction,
  MembershipEvent,
  GossipUpdate,
} from '../../../src/core/membership/types';
import { isPresent } from '../../../src/core/membership/types';
import { Quarantine } from '../../../src/core/quarantine/quarantine';
import type { Suspect, Verdict } from '../../../src/core/quarantine/types';
import type { StateDigest } from '../../../src/core/routing/digest';
import { decodeDigest, encodeDigest } from '../../../src/core/routing/digest';
import type { RunnerRecord } from '../../../src/core/routing/directory';
import { RunnerDirectory } from '../../../src/core/routing/directory';
import { Freshness, ProofBackoff, proofSource } from '../../../src/core/routing/freshness';
import type { Position } from '../../../src/core/routing/position';
import { StoreHistory } from '../../../src/core/routing/position';
import type { KnownState } from '../../../src/core/routing/propagation';
import {
  configUpdates,
  ERA_PATH,
  UpdatePropagation,
  RUNNER_PATH,
} from '../../../src/core/routing/propagation';
import type { FetchOptions } from '../../../src/node/router/stateexchange';
import { fromUpdate } from '../../../src/node/router/updates';
import { SUSPECT_PATH, suspectUpdate, suspectSchema } from '../../../src/node/router/suspects';
import { runnerOf } from '../runner';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** Work done by the fleet since it started. */
export interface SyncCost {
  readonly storeCalls: number;
  /** State exchanges that VMs started. */
  readonly exchanges: number;
  /** Maximum number of exchanges answered by one VM. */
  readonly maxAnswered: number;
  readonly packets: number;
}

interface Vm {
  readonly number: number;
  readonly startedAt: number;
  readonly membership: Membership;
  readonly directory: RunnerDirectory;
  readonly history: StoreHistory;
  readonly freshness: Freshness;
  readonly propagation: UpdatePropagation;
  readonly quarantine: Quarantine;
  /** Suspect requests not yet announced to the other VMs, by fingerprint. */
  readonly suspects: Map<string, Suspect>;
  configVersion: number;
  isReading: boolean;
  /** Whether a loop of calls to the store is running. */
  isPolling: boolean;
  /** Consecutive failed calls to the store. */
  failedCalls: number;
  /** Whether the members changed since the readers were last selected. */
  haveMembersChanged: boolean;
  answeredExchanges: number;
  /** Whether it is selected to read the store on behalf of others. */
  isSelected: boolean;
  dead: boolean;
  frozen: boolean;
  readonly backoff: ProofBackoff;
  /** Value of the store's change counter at its last read; undefined before the first read and after a failed one. */
  seenChanges: number | undefined;
  /** Offset of its clock from virtual time, in milliseconds. */
  clockOffsetMs: number;
}

const HOP_MS = 1.5;
const STORE_LATENCY_MS = 4;
const PROBE_MS = 300;
const SUSPECT_MS = 800;
const ROLE_CHECK_MS = 250;
const WATCH_INTERVAL_MS = 700;
const WATCH_MS = 2000;
/** Interval at which an open watch checks for changes. */
const WATCH_POLL_MS = 50;
const CALL_TIMEOUT_MS = 1200;
/** Timeout of the call that follows a failed one. */
const RETRY_TIMEOUT_MS = 600;
const BATCH_MS = 20;
/** Time within which runners rewrite the entries that a restored copy of the store lacks. */
const REWRITE_MS = 1200;
const JOIN_INTERVAL_MS = 500;
const JOIN_ROUNDS = 8;
const SEEDS = 3;
/** Maximum age of a configuration by which keys are accepted. */
const KEY_MAX_AGE_MS = 4700;

/** Time from the start of new runners in a release to the announcement of the old ones that they leave. */
const RELEASE_OVERLAP_MS = 1000;
/** Time from a runner's announcement that it leaves to the removal of its entry. */
const LEAVING_MS = 2500;
/** Limits of runner records in one exchange. */
const MAX_RECORDS = 2000;
const MAX_RECENT_RECORDS = 200;
const RUNNER_BORN_AT = 1_783_999_006_291;

/** A simulated fleet of VMs and their store. */
export class SyncFleet {
  readonly #vms: Vm[];

  readonly #schedule = new Schedule();

  readonly #random: () => number;

  /** Runner records in the store, by listing. */
  readonly #records = new Map<string, RunnerRecord>();

  /** When runners announced that they leave, by listing, as long as a VM uses them. */
  readonly #leavingSince = new Map<string, number>();

  #storeConfig = 1;

  /** Counts changes of the store's content; watches wait for the next one. */
  #storeChanges = 0;

  /** 0 until the first restore, like a store that reports no era. */
  #storeEra = 0;

  #revision = 1;

  /** Whether requests need keys, so that VMs check the age of their configuration. Watches then wait for a change. */
  #keysRequired = false;

  /** Selects the VMs whose calls the store does not answer. */
  #isStoreBlocked: ((vm: number) => boolean) | undefined;

  /** VMs that cannot reach any other VM but can reach the store. */
  #isolated: ReadonlySet<number> = new Set();

  /** VMs that can reach only each other and the store. */
  #partitioned: ReadonlySet<number> = new Set();

  /** VMs whose outgoing packets are lost; they still receive packets. */
  #muted: ReadonlySet<number> = new Set();

  /** Fraction of datagrams between VMs that are lost. */
  #lossRate = 0;

  #storeCalls = 0;

  #exchanges = 0;

  #packets = 0;

  /** @param readsAlways whether every VM reads the store, whether or not it is selected as a reader */
  constructor(size: number, runners: number, seed: number, readsAlways = false) {
    this.#random = seeded(seed);
    for (let i = 0; i < runners; i += 1) this.#write(`r${i}`, false);
    this.#vms = Array.from({ length: size }, (_, number) => this.#createVm(number));
    for (const vm of this.#vms) {
      this.#schedule.add(vm.startedAt, () => this.#start(vm, readsAlways));
    }
  }

  get now(): number {
    return this.#schedule.now;
  }

  get cost(): SyncCost {
    return {
      storeCalls: this.#storeCalls,
      exchanges: this.#exchanges,
      maxAnswered: Math.max(...this.#vms.map(({ answeredExchanges }) => answeredExchanges)),
      packets: this.#packets,
    };
  }

  /** Running VMs that currently read the store. */
  get readers(): readonly number[] {
    return this.#vms.filter((vm) => vm.isReading && !vm.dead).map(({ number }) => number);
  }

  /** Writes a runner's entry; `changed` marks it as leaving, otherwise only its heartbeat is new. */
  writeRunner(runner: string, changed: boolean): void {
    this.#write(runner, changed);
  }

  /**
   * Replaces all runners, `count` at a time every `gapMs`: new ones start, then as many old ones
   * announce that they leave, and `leavingMs` later their entries are removed.
   */
  release(count: number, gapMs: number, leavingMs = LEAVING_MS): void {
    const old = [...this.#records.keys()];
    for (let i = 0; i * count < old.length; i += 1) {
      const startAt = this.now + i * gapMs;
      for (const id of old.slice(i * count, (i + 1) * count)) {
        this.#schedule.add(startAt, () => this.#write(`${id}-new`, false));
        this.#schedule.add(startAt + RELEASE_OVERLAP_MS, () => {
          this.#write(id, true);
          this.#leavingSince.set(id, this.now);
        });
        this.#schedule.add(startAt + RELEASE_OVERLAP_MS + leavingMs, () => this.#remove(id));
      }
    }
  }

  /** A VM reads in an answer of a runner that it leaves; the store knows nothing of it. */
  readLeavingAnswer(number: number, listing: string): void {
    const vm = this.#vms[number] as Vm;
    const runner = vm.directory.usable(this.now).find((one) => one.listing === listing);
    const record = runner && vm.directory.applyLeaving(this.now, runner);
    if (!this.#leavingSince.has(listing)) this.#leavingSince.set(listing, this.now);
    if (record) this.#announceRunners(vm, [record]);
  }

  /**
   * Runs for a duration and returns the longest time in it from a runner's announcement that it
   * leaves until no running VM uses the runner any more.
   */
  maxLeavingDelay(ms: number): number {
    let longest = 0;
    this.#runUntil(() => {
      for (const [id, since] of this.#leavingSince) {
        if (this.#isUsed(id)) longest = Math.max(longest, this.now - since);
        else this.#leavingSince.delete(id);
      }
      return false;
    }, ms);
    return longest;
  }

  /** Runs until all running VMs have the store's configuration; returns the time that took, or the limit. */
  timeToConfigure(limitMs: number): number {
    const isCurrent = ({ dead, frozen, configVersion }: Vm): boolean =>
      dead || frozen || configVersion === this.#storeConfig;
    return this.#runUntil(() => this.#vms.every(isCurrent), limitMs);
  }

  /** Makes requests need keys; watches then wait until something changes. */
  requireKeys(): void {
    this.#keysRequired = true;
  }

  /** Writes a new configuration and returns its version. */
  configure(): number {
    this.#storeChanges += 1;
    this.#storeConfig += 1;
    return this.#storeConfig;
  }

  /** Restores the store from a copy that lacks some runners; these rewrite their entries within a heartbeat. */
  restoreStore(lost: readonly string[]): void {
    this.#storeChanges += 1;
    this.#storeEra += 1;
    this.#revision -= Math.floor(this.#revision / 2);
    const records = lost.map((id) => this.#records.get(id));
    for (const id of lost) this.#records.delete(id);
    records.forEach((record, i) => {
      this.#schedule.add(this.now + (REWRITE_MS * (i + 1)) / records.length, () => {
        if (record) this.#write(record.id, false);
      });
    });
  }

  freeze(vms: readonly number[], frozen: boolean): void {
    for (const number of vms) {
      const vm = this.#vms[number] as Vm;
      vm.frozen = frozen;
      if (!frozen) this.#tick(vm);
    }
  }

  kill(vms: readonly number[]): void {
    for (const number of vms) (this.#vms[number] as Vm).dead = true;
  }

  /** Isolates VMs from all other VMs, but not from the store. */
  isolate(vms: readonly number[]): void {
    this.#isolated = new Set(vms);
  }

  /** Partitions some VMs from the others; they can still reach each other and the store. */
  partition(vms: readonly number[]): void {
    this.#partitioned = new Set(vms);
  }

  /** Drops packets that these VMs send, but not packets sent to them. State exchanges fail in both directions. */
  dropOutgoing(vms: readonly number[]): void {
    this.#muted = new Set(vms);
  }

  /** Loses a fraction of the datagrams between VMs; state exchanges are not affected. */
  loseDatagrams(fraction: number): void {
    this.#lossRate = fraction;
  }

  /** Restarts a VM with empty state. */
  restart(number: number): void {
    (this.#vms[number] as Vm).dead = true;
    const vm = { ...this.#createVm(number), startedAt: this.now };
    this.#vms[number] = vm;
    this.#start(vm, false);
  }

  /** Moves a VM's clock forward, which the VM treats as a suspension. */
  advanceClock(number: number, ms: number): void {
    (this.#vms[number] as Vm).clockOffsetMs += ms;
  }

  /** Restores the store from a copy without its last configuration, which the operator writes again. */
  restoreWithoutConfig(): void {
    const lost = this.#storeConfig;
    this.#storeConfig -= 1;
    this.restoreStore([]);
    this.#schedule.add(this.now + REWRITE_MS, () => {
      this.#storeChanges += 1;
      this.#storeConfig = Math.max(lost, this.#storeConfig);
    });
  }

  /** Versions of the configurations by which running VMs would accept keys now, given the maximum age. */
  usableConfigs(keyMs: number): readonly number[] {
    return this.#vms
      .filter(({ dead, frozen, configVersion }) => !dead && !frozen && configVersion > 0)
      .filter((vm) => vm.freshness.ageMs(this.#clockOf(vm)) <= keyMs)
      .map(({ configVersion }) => configVersion);
  }

  /** Makes the store leave the calls of the selected VMs unanswered. */
  blockStore(refused: (vm: number) => boolean): void {
    this.#isStoreBlocked = refused;
  }

  run(ms: number): void {
    this.#runUntil(() => false, ms);
  }

  /** Upper bound of the configuration's age at each running VM, in milliseconds, in ascending order. */
  get configAges(): readonly number[] {
    return this.#vms
      .filter(({ dead, frozen }) => !dead && !frozen)
      .map((vm) => vm.freshness.ageMs(this.#clockOf(vm)))
      .sort((a, b) => a - b);
  }

  /** Runs for a duration and returns the highest configuration age that any running VM had in it. */
  maxConfigAge(ms: number): number {
    let oldest = 0;
    this.#runUntil(() => {
      oldest = Math.max(oldest, this.configAges.at(-1) ?? 0);
      return false;
    }, ms);
    return oldest;
  }

  /** Records that a runner crashed while processing a request from a VM. */
  crashRunner(number: number, fingerprint: string, runner: string): void {
    const vm = this.#vms[number] as Vm;
    this.#announceSuspect(vm, vm.quarantine.recordCrash(this.now, fingerprint, runner));
  }

  /** Records at a VM that a runner crashed under a request with some fingerprints. */
  crash(number: number, fingerprints: readonly string[], runner: string, late: boolean): void {
    const vm = this.#vms[number] as Vm;
    for (const one of vm.quarantine.accused(this.now, fingerprints, runner)) {
      this.#announceSuspect(vm, vm.quarantine.recordCrash(this.now, one, runner, late));
    }
  }

  /** Records at a VM that a run of a request was found sound. */
  complete(number: number, fingerprints: readonly string[]): void {
    const vm = this.#vms[number] as Vm;
    for (const one of fingerprints) {
      this.#announceSuspect(vm, vm.quarantine.recordCompletion(this.now, one));
    }
  }

  /** What a VM does with a request. */
  verdict(number: number, fingerprints: readonly string[]): Verdict {
    return (this.#vms[number] as Vm).quarantine.verdict(this.now, fingerprints);
  }

  /** Runs a task at a virtual time, in milliseconds. */
  runAt(at: number, task: () => void): void {
    this.#schedule.add(at, task);
  }

  /** Runs until all running VMs refuse a request; returns the time that took, or the limit. */
  timeToRefuse(fingerprint: string, limitMs: number): number {
    const isRefused = ({ quarantine, dead, frozen }: Vm): boolean =>
      dead || frozen || quarantine.refusedForMs(this.now, fingerprint) !== undefined;
    return this.#runUntil(() => this.#vms.every(isRefused), limitMs);
  }

  /** Runs until all running VMs have the store's configuration and runners; returns the time that took, or the limit. */
  timeToConverge(limitMs: number): number {
    const digests = (): ReadonlySet<string> =>
      new Set(
        this.#vms
          .filter(({ dead, frozen }) => !dead && !frozen)
          .map(({ configVersion, directory }) => `${configVersion}/${directory.digest.text}`),
      );
    const wanted = [...this.#records.values()].filter(({ runner }) => runner?.leaving === false);
    const first = (): Vm => this.#vms.find(({ dead, frozen }) => !dead && !frozen) as Vm;
    const isCurrent = (): boolean => {
      const { configVersion, directory } = first();
      const usable = directory.usable(this.now).length;
      return configVersion === this.#storeConfig && usable === wanted.length;
    };
    return this.#runUntil(() => isCurrent() && digests().size === 1, limitMs);
  }

  #runUntil(condition: () => boolean, limitMs: number): number {
    const startedAt = this.now;
    let checkedAt = startedAt;
    // An empty task at the limit moves the time forward if nothing else is scheduled.
    this.#schedule.add(startedAt + limitMs, () => {});
    while (this.#schedule.next() <= startedAt + limitMs) {
      this.#schedule.run();
      if (this.now - checkedAt >= 20) {
        checkedAt = this.now;
        if (condition()) return this.now - startedAt;
      }
    }
    return limitMs;
  }

  #write(id: string, changed: boolean): void {
    this.#storeChanges += 1;
    this.#revision += 1;
    const before = this.#records.get(id)?.runner;
    const leaving = before?.leaving === true || changed;
    this.#records.set(id, {
      id,
      position: { era: this.#storeEra, revision: this.#revision },
      runner: runnerOf(id, 'plain', {
        id: `${id}@${RUNNER_BORN_AT}`,
        listing: id,
        bornAt: RUNNER_BORN_AT,
        version: 'v1',
        address: '10.1.64.45:8541',
        domain: 'domain-1',
        leaving,
      }),
    });
  }

  #remove(id: string): void {
    this.#storeChanges += 1;
    this.#revision += 1;
    const position = { era: this.#storeEra, revision: this.#revision };
    this.#records.set(id, { id, position, runner: undefined });
  }

  #isUsed(listing: string): boolean {
    return this.#vms.some(
      ({ dead, frozen, directory }) =>
        !dead && !frozen && directory.usable(this.now).some((runner) => runner.listing === listing),
    );
  }

  #createVm(number: number): Vm {
    const random = this.#random;
    return {
      number,
      startedAt: random() * 1000,
      membership: new Membership({
        vm: `vm${number}`,
        domain: `domain-${number % 5}`,
        address: `${number}:1`,
        cores: number % 13 === 0 ? 1.35 : 0.324,
        probeMs: PROBE_MS,
        suspectMs: SUSPECT_MS,
        random,
        incarnation: 1 + this.now,
      }),
      directory: new RunnerDirectory(),
      history: new StoreHistory(),
      freshness: new Freshness(),
      propagation: new UpdatePropagation(),
      quarantine: new Quarantine(),
      suspects: new Map(),
      configVersion: 0,
      isReading: false,
      isPolling: false,
      failedCalls: 0,
      haveMembersChanged: true,
      isSelected: false,
      answeredExchanges: 0,
      dead: false,
      frozen: false,
      backoff: new ProofBackoff(),
      seenChanges: undefined,
      clockOffsetMs: 0,
    };
  }

  #start(vm: Vm, readsAlways: boolean): void {
    const seeds = Array.from({ length: SEEDS }, (_, i) => `${i}:1`).filter(
      (address) => address !== vm.membership.self.address,
    );
    this.#dispatch(vm, { kind: 'contact', addresses: seeds });
    for (let round = 0; round < JOIN_ROUNDS; round += 1) {
      this.#runLater(vm, round * JOIN_INTERVAL_MS, () => this.#join(vm, seeds));
    }
    const checkRole = (): void => {
      this.#updateRole(vm, readsAlways);
      this.#runLater(vm, ROLE_CHECK_MS, checkRole);
    };
    checkRole();
    this.#tick(vm);
  }

  #join(vm: Vm, seeds: readonly string[]): void {
    const { all, self } = vm.membership;
    const known = all.filter((member) => member.vm !== self.vm && isPresent(member));
    const near = joinTargets(self.domain, known);
    const choice = near.length > 0 ? near : seeds;
    const address = choice[Math.floor(this.#random() * choice.length)];
    if (known.length === 0) this.#dispatch(vm, { kind: 'contact', addresses: seeds });
    if (address !== undefined) this.#exchange(vm, address, { members: true });
  }

  /** Runs a task at a VM after a delay, unless the VM is dead by then; at a frozen VM it runs after the VM resumes. */
  #runLater(vm: Vm, ms: number, run: () => void): void {
    this.#schedule.add(this.now + ms, () => {
      if (vm.dead) return;
      if (vm.frozen) this.#runLater(vm, 50, run);
      else run();
    });
  }

  #tick(vm: Vm): void {
    const due = Math.max(this.now + 1, vm.membership.nextWake());
    this.#schedule.add(due, () => {
      if (vm.dead || vm.frozen) return;
      this.#dispatch(vm, { kind: 'woke' });
      this.#tick(vm);
    });
  }

  #updateRole(vm: Vm, readsAlways: boolean): void {
    const state = vm;
    const { self, all } = vm.membership;
    if (state.haveMembersChanged || all.length === 1) {
      state.haveMembersChanged = false;
      state.isSelected = readsAlways || shouldRead(this.now, vm.startedAt, self, all);
    }
    this.#checkProof(vm);
    state.isReading = vm.isSelected || isIsolated(this.now, vm.startedAt, vm.membership);
    if (!state.isReading || state.isPolling) return;
    state.isPolling = true;
    this.#pollStore(vm);
  }

  #checkProof(vm: Vm): void {
    const ageMs = vm.freshness.ageMs(this.#clockOf(vm));
    const source = this.#keysRequired ? proofSource(ageMs, KEY_MAX_AGE_MS, vm.isReading) : 'nobody';
    if (source === 'nobody') {
      vm.backoff.reset();
      return;
    }
    const { self, all } = vm.membership;
    const { primaries, standbys } = readersOf(self.domain, all);
    const readers = [...primaries, ...standbys].filter(({ address }) => address !== self.address);
    this.#dispatch(vm, { kind: 'contact', addresses: readers.map(({ address }) => address) });
    if (source === 'store' && vm.backoff.tryQuery(this.now, vm.isReading)) this.#queryConfig(vm);
  }

  /** Reads only the current configuration from the store. */
  #queryConfig(vm: Vm): void {
    this.#storeCalls += 1;
    const askedAt = this.#clockOf(vm);
    if (this.#isStoreBlocked?.(vm.number)) return;
    this.#runLater(vm, STORE_LATENCY_MS, () => {
      this.#checkEra(vm);
      this.#applyState(vm, this.#storeConfig, []);
      vm.freshness.recordStoreAnswer(askedAt);
    });
  }

  /** Calls the store in a loop for changes, at most once per watch interval. */
  #pollStore(vm: Vm): void {
    const state = vm;
    if (!vm.isReading) {
      state.isPolling = false;
      return;
    }
    this.#storeCalls += 1;
    if (this.#isStoreBlocked?.(vm.number)) {
      this.#runLater(vm, vm.failedCalls === 1 ? RETRY_TIMEOUT_MS : CALL_TIMEOUT_MS, () => {
        this.#setFailed(vm, vm.failedCalls + 1);
        state.seenChanges = undefined;
        this.#pollStore(vm);
      });
      return;
    }
    const askedAt = this.now;
    const proofFrom = this.#clockOf(vm);
    this.#watch(vm, askedAt + WATCH_MS, () => {
      this.#setFailed(vm, 0);
      this.#checkEra(vm);
      this.#applyState(vm, this.#storeConfig, [...this.#records.values()]);
      state.seenChanges = this.#storeChanges;
      vm.freshness.recordStoreAnswer(proofFrom);
      const waitMs = Math.max(1, askedAt + WATCH_INTERVAL_MS - this.now);
      this.#runLater(vm, waitMs, () => this.#pollStore(vm));
    });
  }

  /** Answers once the store has changed, or when the watch ends. */
  #watch(vm: Vm, until: number, answer: () => void): void {
    const isDue = !this.#keysRequired || vm.seenChanges !== this.#storeChanges || this.now >= until;
    if (isDue) this.#runLater(vm, STORE_LATENCY_MS, answer);
    else this.#runLater(vm, WATCH_POLL_MS, () => this.#watch(vm, until, answer));
  }

  /** Reads the whole list after a change of era; runners missing from it are treated as removed. */
  #checkEra(vm: Vm): void {
    const start = { era: this.#storeEra, revision: this.#revision };
    if (vm.history.era === start.era) return;
    this.#storeCalls += 1;
    this.#applyEras(vm, [start]);
    const missing = vm.directory.missing(new Set(this.#records.keys()));
    const gone = missing.map((id) => ({ id, position: start, runner: undefined }));
    this.#applyState(vm, 0, gone);
  }

  #applyEras(vm: Vm, starts: readonly Position[]): void {
    const before = vm.history.era;
    vm.history.apply(starts);
    if (vm.history.era === before) return;
    setDigest(vm);
    if (vm.history.era === 0) return;
    vm.freshness.recordStoreRestore(this.#clockOf(vm));
    this.#dispatch(vm, { kind: 'rumours', rumours: vm.propagation.eraUpdates(vm.history.starts) });
  }

  #setFailed(vm: Vm, calls: number): void {
    const state = vm;
    const before = state.failedCalls >= 2;
    state.failedCalls = calls;
    if (calls >= 2 === before) return;
    const description = { gateways: [], draining: false, storeLost: calls >= 2 };
    this.#dispatch(vm, { kind: 'described', description });
  }

  #applyState(vm: Vm, configVersion: number, records: readonly RunnerRecord[]): void {
    const state = vm;
    const changed = records.filter((record) => vm.directory.apply(this.now, record, 0));
    const isNewer = configVersion > vm.configVersion;
    if (isNewer) state.configVersion = configVersion;
    if (!isNewer && changed.length === 0) return;
    setDigest(vm);
    const rumours = [
      ...(isNewer ? configUpdates(configVersion) : []),
      ...(changed.length > 0
        ? vm.propagation.runnerUpdates(changed, (record) => JSON.stringify(record))
        : []),
    ];
    this.#dispatch(vm, { kind: 'rumours', rumours });
  }

  #announceRunners(vm: Vm, records: readonly RunnerRecord[]): void {
    setDigest(vm);
    const rumours = vm.propagation.runnerUpdates(records, (record) => JSON.stringify(record));
    this.#dispatch(vm, { kind: 'rumours', rumours });
  }

  #announceSuspect(vm: Vm, suspect: Suspect | undefined): void {
    if (!suspect) return;
    if (vm.suspects.size === 0) {
      this.#runLater(vm, BATCH_MS, () => {
        const rumours = [...vm.suspects.values()].map(suspectUpdate);
        vm.suspects.clear();
        this.#dispatch(vm, { kind: 'rumours', rumours });
      });
    }
    vm.suspects.set(suspect.fingerprint, suspect);
  }

  #receiveUpdate(vm: Vm, update: GossipUpdate, address: string): void {
    if (update.path.startsWith(SUSPECT_PATH)) {
      this.#announceSuspect(vm, vm.quarantine.apply(this.now, fromUpdate(update, suspectSchema)));
      return;
    }
    if (update.path === ERA_PATH) {
      this.#applyEras(vm, JSON.parse(update.text ?? '') as Position[]);
      return;
    }
    if (update.path.startsWith(RUNNER_PATH) && update.text !== undefined) {
      this.#applyState(vm, 0, [JSON.parse(update.text) as RunnerRecord]);
      return;
    }
    vm.propagation.receive(update, address, knownState(vm));
    this.#exchangeIfDue(vm);
  }

  #exchangeIfDue(vm: Vm): void {
    const known = knownState(vm);
    const target = vm.propagation.takeFetchTarget(this.now, known);
    if (target) this.#exchange(vm, target.address, { recentOnly: target.recentOnly });
    const nextFetchAt = vm.propagation.nextFetchAt(known);
    if (Number.isFinite(nextFetchAt)) {
      this.#runLater(vm, Math.max(1, nextFetchAt - this.now), () => this.#exchangeIfDue(vm));
    }
  }

  #exchange(vm: Vm, address: string, { members = false, recentOnly = false }: FetchOptions): void {
    this.#exchanges += 1;
    const { parts } = vm.directory.digest;
    const peer = this.#vms[Number.parseInt(address, 10)] as Vm;
    if (
      this.#isUnreachable(vm, peer) ||
      this.#muted.has(vm.number) ||
      this.#muted.has(peer.number)
    ) {
      return;
    }
    const askedAt = this.#clockOf(vm);
    this.#runLater(peer, HOP_MS, () => {
      if (peer.startedAt > this.now) return;
      peer.answeredExchanges += 1;
      const { digest } = peer.directory;
      const differing = digest.differingParts(parts);
      const records = recentOnly
        ? peer.directory.latestIn(this.now, differing, MAX_RECENT_RECORDS)
        : peer.directory.factsIn(this.now, differing, MAX_RECORDS);
      const { all } = peer.membership;
      const { configVersion } = peer;
      const { starts } = peer.history;
      const proof = peer.freshness.proofAt(this.#clockOf(peer), configVersion);
      this.#runLater(vm, HOP_MS, () => {
        this.#applyEras(vm, starts);
        this.#applyState(vm, configVersion, records);
        if (proof) vm.freshness.acceptProof(askedAt, proof, vm.configVersion);
        if (members) this.#dispatch(vm, { kind: 'synced', members: all });
      });
    });
  }

  #isUnreachable({ number: one }: Vm, { number: other }: Vm): boolean {
    if (this.#isolated.has(one) || this.#isolated.has(other)) return true;
    return this.#partitioned.has(one) !== this.#partitioned.has(other);
  }

  /** The VM's own clock, which also advances while it is suspended. */
  #clockOf({ clockOffsetMs }: Vm): number {
    return this.now + clockOffsetMs;
  }

  #dispatch(vm: Vm, event: MembershipEvent): void {
    for (const action of vm.membership.handle(this.now, event)) this.#perform(vm, action);
  }

  #perform(vm: Vm, action: MembershipAction): void {
    if (action.kind === 'changed') Object.assign(vm, { haveMembersChanged: true });
    if (action.kind === 'heard') this.#receiveUpdate(vm, action.rumour, action.address);
    if (action.kind === 'differs') {
      const theirs = decodeDigest(action.digest);
      const { rest } = digestOf(vm);
      vm.propagation.receiveDigest(this.now, theirs, action.address, knownState(vm), rest);
      this.#exchangeIfDue(vm);
    }
    if (action.kind !== 'send') return;
    this.#packets += 1;
    const target = this.#vms[Number.parseInt(action.to, 10)];
    if (!target || this.#muted.has(vm.number) || this.#isUnreachable(vm, target)) return;
    if (this.#lossRate > 0 && this.#random() < this.#lossRate) return;
    const { packet } = action;
    if (packet.kind === 'ping') vm.freshness.recordQuery(this.#clockOf(vm), packet.seq);
    const proof = vm.freshness.proofAt(this.#clockOf(vm), vm.configVersion);
    this.#schedule.add(this.now + HOP_MS, () => {
      if (target.dead || target.frozen || target.startedAt > this.now) return;
      if (proof && packet.kind === 'ack') {
        target.freshness.recordReply(packet.seq, proof, target.configVersion);
      }
      this.#dispatch(target, { kind: 'packet', packet });
    });
  }
}

function digestOf({ configVersion, directory, history }: Vm): StateDigest {
  return { configVersion, rest: `${directory.digest.text}/${history.era ?? 0}` };
}

function setDigest(vm: Vm): void {
  vm.membership.setDigest(encodeDigest(digestOf(vm)));
}

function knownState({ configVersion, directory }: Vm): KnownState {
  return { configVersion, runnersPosition: directory.position };
}
