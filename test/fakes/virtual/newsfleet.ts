/**
 * A fleet under virtual time whose VMs hear of configuration and runners from a
 * store and from each other. Counts what grows with the fleet: calls to the
 * store, exchanges between VMs, packets.
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
import type { Suspect } from '../../../src/core/quarantine/types';
import type { RunnerRecord } from '../../../src/core/routing/directory';
import { RunnerDirectory } from '../../../src/core/routing/directory';
import { Freshness, ProofBackoff, proofSource } from '../../../src/core/routing/freshness';
import type { Position } from '../../../src/core/routing/position';
import { StoreHistory } from '../../../src/core/routing/position';
import { ERA_PATH, UpdatePropagation, RUNNER_PATH } from '../../../src/core/routing/propagation';
import { fromUpdate } from '../../../src/node/router/updates';
import { SUSPECT_PATH, suspectUpdate, suspectSchema } from '../../../src/node/router/suspects';
import { runnerOf } from '../runner';
import { Schedule } from './schedule';
import { seeded } from './workload';

/** What a fleet did. */
export interface NewsCost {
  readonly storeCalls: number;
  /** Exchanges that VMs asked of each other. */
  readonly exchanges: number;
  /** Most exchanges that one VM answered. */
  readonly mostAnswered: number;
  readonly packets: number;
}

interface Vm {
  readonly number: number;
  readonly startedAt: number;
  readonly membership: Membership;
  readonly directory: RunnerDirectory;
  readonly history: StoreHistory;
  readonly freshness: Freshness;
  readonly spread: UpdatePropagation;
  readonly quarantine: Quarantine;
  /** Requests of which others are still to be told. */
  readonly suspects: Map<string, Suspect>;
  configVersion: number;
  reading: boolean;
  /** Whether a loop of calls to the store runs. */
  busy: boolean;
  failed: number;
  /** Whether the members changed since the readers were worked out. */
  changed: boolean;
  answered: number;
  /** Whether it is to read for others. */
  chosen: boolean;
  dead: boolean;
  frozen: boolean;
  readonly proofPace: ProofBackoff;
  /** Changes of the store that it has read. Default: none. */
  seen: number | undefined;
  /** By how much its clock is ahead of time. */
  aheadMs: number;
}

const HOP_MS = 1.5;
const STORE_MS = 4;
const PROBE_MS = 300;
const SUSPECT_MS = 800;
const DUTY_MS = 250;
const WATCH_PACE_MS = 700;
const WATCH_MS = 2000;
/** Period of looking whether a watch has something to tell. */
const WATCH_LOOK_MS = 50;
const CALL_LIMIT_MS = 1200;
/** Limit of the call after one that failed. */
const CHECK_LIMIT_MS = 600;
const GATHER_MS = 20;
/** Time in which runners write again what a copy of the store lacks. */
const REWRITE_MS = 1200;
const JOIN_PACE_MS = 500;
const JOIN_ROUNDS = 8;
const SEEDS = 3;
/** Age to which keys count. */
const KEY_MS = 4700;

/** VMs and a store. */
export class NewsFleet {
  readonly #vms: Vm[];

  readonly #schedule = new Schedule();

  readonly #random: () => number;

  /** Facts of the store, by listing, and the version of the configuration. */
  readonly #facts = new Map<string, RunnerRecord>();

  #storeConfig = 1;

  /** Changes of what the store holds; watches wait for them. */
  #changes = 0;

  /** 0 until it comes back for the first time, as of a store that tells no era. */
  #storeEra = 0;

  #revision = 1;

  /** Whether requests need keys, so that VMs ask how old their configuration is; heartbeats end no watch then. */
  #keyed = false;

  /** VMs whose calls the store leaves without answer. */
  #refused: ((vm: number) => boolean) | undefined;

  /** VMs that are cut off from all others, though not from the store. */
  #cut: ReadonlySet<number> = new Set();

  /** VMs that reach each other and no others. */
  #apart: ReadonlySet<number> = new Set();

  /** VMs whose packets are lost, though others reach them. */
  #mute: ReadonlySet<number> = new Set();

  #storeCalls = 0;

  #exchanges = 0;

  #packets = 0;

  /** @param readsAlways whether a VM reads the store whatever the others do */
  constructor(size: number, runners: number, seed: number, readsAlways = false) {
    this.#random = seeded(seed);
    for (let i = 0; i < runners; i += 1) this.#write(`r${i}`, false);
    this.#vms = Array.from({ length: size }, (_, number) => this.#vm(number));
    for (const vm of this.#vms) {
      this.#schedule.add(vm.startedAt, () => this.#start(vm, readsAlways));
    }
  }

  get now(): number {
    return this.#schedule.now;
  }

  get cost(): NewsCost {
    return {
      storeCalls: this.#storeCalls,
      exchanges: this.#exchanges,
      mostAnswered: Math.max(...this.#vms.map(({ answered }) => answered)),
      packets: this.#packets,
    };
  }

  /** VMs that read the store now. */
  get readers(): readonly number[] {
    return this.#vms.filter((vm) => vm.reading && !vm.dead).map(({ number }) => number);
  }

  /** A runner writes its entry; `changed` if more than its heartbeat is new. */
  beat(runner: string, changed: boolean): void {
    this.#write(runner, changed);
  }

  /** The configuration names customers, and watches wait until something changes. */
  requireKeys(): void {
    this.#keyed = true;
  }

  configure(): number {
    this.#changes += 1;
    this.#storeConfig += 1;
    return this.#storeConfig;
  }

  /** The store comes back from a copy that lacks some runners, which write again within a heartbeat. */
  comeBack(lost: readonly string[]): void {
    this.#changes += 1;
    this.#storeEra += 1;
    this.#revision -= Math.floor(this.#revision / 2);
    const facts = lost.map((id) => this.#facts.get(id));
    for (const id of lost) this.#facts.delete(id);
    facts.forEach((fact, i) => {
      this.#schedule.add(this.now + (REWRITE_MS * (i + 1)) / facts.length, () => {
        if (fact) this.#write(fact.id, false);
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

  /** Cuts VMs off from all others, not from the store. */
  cut(vms: readonly number[]): void {
    this.#cut = new Set(vms);
  }

  /** Cuts some VMs off from the others; they still reach each other and the store. */
  split(vms: readonly number[]): void {
    this.#apart = new Set(vms);
  }

  /** Loses what VMs send, not what is sent to them. */
  mute(vms: readonly number[]): void {
    this.#mute = new Set(vms);
  }

  /** Starts a VM anew, that knows nothing. */
  restart(number: number): void {
    (this.#vms[number] as Vm).dead = true;
    const vm = { ...this.#vm(number), startedAt: this.now };
    this.#vms[number] = vm;
    this.#start(vm, false);
  }

  /** A VM's time of day is set forward, which it takes for a suspension. */
  step(number: number, ms: number): void {
    (this.#vms[number] as Vm).aheadMs += ms;
  }

  /** The store comes back without its last configuration, which the operator writes again. */
  loseConfig(): void {
    const lost = this.#storeConfig;
    this.#storeConfig -= 1;
    this.comeBack([]);
    this.#schedule.add(this.now + REWRITE_MS, () => {
      this.#changes += 1;
      this.#storeConfig = Math.max(lost, this.#storeConfig);
    });
  }

  /** Configurations by which VMs would let requests run now, where keys count up to an age. */
  servedBy(keyMs: number): readonly number[] {
    return this.#vms
      .filter(({ dead, frozen, configVersion }) => !dead && !frozen && configVersion > 0)
      .filter((vm) => vm.freshness.ageMs(this.#clockOf(vm)) <= keyMs)
      .map(({ configVersion }) => configVersion);
  }

  /** Has the store leave the calls of some VMs without answer. */
  refuse(refused: (vm: number) => boolean): void {
    this.#refused = refused;
  }

  run(ms: number): void {
    this.#until(() => false, ms);
  }

  /** How old the configuration of each VM that runs can be by what it knows, the oldest last. */
  get ages(): readonly number[] {
    return this.#vms
      .filter(({ dead, frozen }) => !dead && !frozen)
      .map((vm) => vm.freshness.ageMs(this.#clockOf(vm)))
      .sort((a, b) => a - b);
  }

  /** The oldest that any of them was in a time. */
  oldestIn(ms: number): number {
    let oldest = 0;
    this.#until(() => {
      oldest = Math.max(oldest, this.ages.at(-1) ?? 0);
      return false;
    }, ms);
    return oldest;
  }

  /** A runner ends under a request that a VM sent it. */
  end(number: number, fingerprint: string, runner: string): void {
    const vm = this.#vms[number] as Vm;
    this.#suspect(vm, vm.quarantine.recordCrash(this.now, fingerprint, runner));
  }

  /** Time until all VMs that run refuse a request, or the limit. */
  refusedBy(fingerprint: string, limitMs: number): number {
    const isRefused = ({ quarantine, dead, frozen }: Vm): boolean =>
      dead || frozen || quarantine.refusedForMs(this.now, fingerprint) !== undefined;
    return this.#until(() => this.#vms.every(isRefused), limitMs);
  }

  /** Time until all VMs that run have the store's configuration and runners, or the limit. */
  settle(limitMs: number): number {
    const digests = (): ReadonlySet<string> =>
      new Set(
        this.#vms
          .filter(({ dead, frozen }) => !dead && !frozen)
          .map(({ configVersion, directory }) => `${configVersion}/${directory.digest.text}`),
      );
    const leaving = [...this.#facts.values()].filter(({ runner }) => runner?.leaving).length;
    const first = (): Vm => this.#vms.find(({ dead, frozen }) => !dead && !frozen) as Vm;
    const isTrue = (): boolean => {
      const { configVersion, directory } = first();
      const usable = directory.usable(this.now).length;
      return configVersion === this.#storeConfig && usable === this.#facts.size - leaving;
    };
    return this.#until(() => isTrue() && digests().size === 1, limitMs);
  }

  #until(holds: () => boolean, limitMs: number): number {
    const began = this.now;
    let looked = began;
    // Time goes on to the limit though nothing happens until then.
    this.#schedule.add(began + limitMs, () => {});
    while (this.#schedule.next() <= began + limitMs) {
      this.#schedule.run();
      if (this.now - looked >= 20) {
        looked = this.now;
        if (holds()) return this.now - began;
      }
    }
    return limitMs;
  }

  #write(id: string, changed: boolean): void {
    this.#changes += 1;
    this.#revision += 1;
    const before = this.#facts.get(id)?.runner;
    const leaving = before?.leaving === true || changed;
    this.#facts.set(id, {
      id,
      position: { era: this.#storeEra, revision: this.#revision },
      runner: runnerOf(id, 'plain', { leaving }),
    });
  }

  #vm(number: number): Vm {
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
      spread: new UpdatePropagation(),
      quarantine: new Quarantine(),
      suspects: new Map(),
      configVersion: 0,
      reading: false,
      busy: false,
      failed: 0,
      changed: true,
      chosen: false,
      answered: 0,
      dead: false,
      frozen: false,
      proofPace: new ProofBackoff(),
      seen: undefined,
      aheadMs: 0,
    };
  }

  #start(vm: Vm, readsAlways: boolean): void {
    const seeds = Array.from({ length: SEEDS }, (_, i) => `${i}:1`).filter(
      (address) => address !== vm.membership.self.address,
    );
    this.#tell(vm, { kind: 'contact', addresses: seeds });
    for (let round = 0; round < JOIN_ROUNDS; round += 1) {
      this.#later(vm, round * JOIN_PACE_MS, () => this.#join(vm, seeds));
    }
    const duty = (): void => {
      this.#duty(vm, readsAlways);
      this.#later(vm, DUTY_MS, duty);
    };
    duty();
    this.#tick(vm);
  }

  #join(vm: Vm, seeds: readonly string[]): void {
    const { all, self } = vm.membership;
    const known = all.filter((member) => member.vm !== self.vm && isPresent(member));
    const near = joinTargets(self.domain, known);
    const choice = near.length > 0 ? near : seeds;
    const address = choice[Math.floor(this.#random() * choice.length)];
    if (known.length === 0) this.#tell(vm, { kind: 'contact', addresses: seeds });
    if (address !== undefined) this.#exchange(vm, address, true);
  }

  /** Runs something at a VM unless it is dead by then; a frozen one does it when it wakes. */
  #later(vm: Vm, ms: number, run: () => void): void {
    this.#schedule.add(this.now + ms, () => {
      if (vm.dead) return;
      if (vm.frozen) this.#later(vm, 50, run);
      else run();
    });
  }

  #tick(vm: Vm): void {
    const due = Math.max(this.now + 1, vm.membership.nextWake());
    this.#schedule.add(due, () => {
      if (vm.dead || vm.frozen) return;
      this.#tell(vm, { kind: 'woke' });
      this.#tick(vm);
    });
  }

  #duty(vm: Vm, readsAlways: boolean): void {
    const state = vm;
    const { self, all } = vm.membership;
    if (state.changed || all.length === 1) {
      state.changed = false;
      state.chosen = readsAlways || shouldRead(this.now, vm.startedAt, self, all);
    }
    this.#checkProof(vm);
    state.reading = vm.chosen || isIsolated(this.now, vm.startedAt, vm.membership);
    if (!state.reading || state.busy) return;
    state.busy = true;
    this.#read(vm);
  }

  #checkProof(vm: Vm): void {
    const ageMs = vm.freshness.ageMs(this.#clockOf(vm));
    const source = this.#keyed ? proofSource(ageMs, KEY_MS, vm.reading) : 'nobody';
    if (source === 'nobody') {
      vm.proofPace.reset();
      return;
    }
    const { self, all } = vm.membership;
    const { primaries: chosen, standbys: deputies } = readersOf(self.domain, all);
    const readers = [...chosen, ...deputies].filter(({ address }) => address !== self.address);
    this.#tell(vm, { kind: 'contact', addresses: readers.map(({ address }) => address) });
    if (source === 'store' && vm.proofPace.tryQuery(this.now, vm.reading)) this.#confirm(vm);
  }

  /** Asks the store for the configuration in force. */
  #confirm(vm: Vm): void {
    this.#storeCalls += 1;
    const askedAt = this.#clockOf(vm);
    if (this.#refused?.(vm.number)) return;
    this.#later(vm, STORE_MS, () => {
      this.#readEra(vm);
      this.#learn(vm, this.#storeConfig, []);
      vm.freshness.recordStoreAnswer(askedAt);
    });
  }

  /** One call to the store after the other: what is new there, at most one call in the pace of a watch. */
  #read(vm: Vm): void {
    const state = vm;
    if (!vm.reading) {
      state.busy = false;
      return;
    }
    this.#storeCalls += 1;
    if (this.#refused?.(vm.number)) {
      this.#later(vm, vm.failed === 1 ? CHECK_LIMIT_MS : CALL_LIMIT_MS, () => {
        this.#setFailed(vm, vm.failed + 1);
        state.seen = undefined;
        this.#read(vm);
      });
      return;
    }
    const askedAt = this.now;
    const proofFrom = this.#clockOf(vm);
    this.#watch(vm, askedAt + WATCH_MS, () => {
      this.#setFailed(vm, 0);
      this.#readEra(vm);
      this.#learn(vm, this.#storeConfig, [...this.#facts.values()]);
      state.seen = this.#changes;
      vm.freshness.recordStoreAnswer(proofFrom);
      const waitMs = Math.max(1, askedAt + WATCH_PACE_MS - this.now);
      this.#later(vm, waitMs, () => this.#read(vm));
    });
  }

  /** Answers once the store holds something new, or when the watch is over. */
  #watch(vm: Vm, until: number, answer: () => void): void {
    const isDue = !this.#keyed || vm.seen !== this.#changes || this.now >= until;
    if (isDue) this.#later(vm, STORE_MS, answer);
    else this.#later(vm, WATCH_LOOK_MS, () => this.#watch(vm, until, answer));
  }

  /** Another era has the whole list read: runners that are missing are gone for now. */
  #readEra(vm: Vm): void {
    const start = { era: this.#storeEra, revision: this.#revision };
    if (vm.history.era === start.era) return;
    this.#storeCalls += 1;
    this.#learnEras(vm, [start]);
    const missing = vm.directory.missing(new Set(this.#facts.keys()));
    const gone = missing.map((id) => ({ id, position: start, runner: undefined }));
    this.#learn(vm, 0, gone);
  }

  #learnEras(vm: Vm, starts: readonly Position[]): void {
    const before = vm.history.era;
    vm.history.apply(starts);
    if (vm.history.era === before) return;
    setDigest(vm);
    if (vm.history.era === 0) return;
    vm.freshness.recordStoreRestore(this.#clockOf(vm));
    this.#tell(vm, { kind: 'rumours', rumours: vm.spread.eraUpdates(vm.history.starts) });
  }

  #setFailed(vm: Vm, calls: number): void {
    const state = vm;
    const before = state.failed >= 2;
    state.failed = calls;
    if (calls >= 2 === before) return;
    const description = { gateways: [], draining: false, storeLost: calls >= 2 };
    this.#tell(vm, { kind: 'described', description });
  }

  #learn(vm: Vm, configVersion: number, facts: readonly RunnerRecord[]): void {
    const state = vm;
    const changed = facts.filter((fact) => vm.directory.apply(this.now, fact, 0));
    const isNewer = configVersion > vm.configVersion;
    if (isNewer) state.configVersion = configVersion;
    if (!isNewer && changed.length === 0) return;
    setDigest(vm);
    const rumours = [
      ...(isNewer ? vm.spread.configUpdates(configVersion) : []),
      ...(changed.length > 0
        ? vm.spread.runnerUpdates(changed, (fact) => JSON.stringify(fact))
        : []),
    ];
    this.#tell(vm, { kind: 'rumours', rumours });
  }

  #suspect(vm: Vm, news: Suspect | undefined): void {
    if (!news) return;
    if (vm.suspects.size === 0) {
      this.#later(vm, GATHER_MS, () => {
        const rumours = [...vm.suspects.values()].map(suspectUpdate);
        vm.suspects.clear();
        this.#tell(vm, { kind: 'rumours', rumours });
      });
    }
    vm.suspects.set(news.fingerprint, news);
  }

  #hear(vm: Vm, rumour: GossipUpdate, address: string): void {
    if (rumour.path.startsWith(SUSPECT_PATH)) {
      this.#suspect(vm, vm.quarantine.apply(this.now, fromUpdate(rumour, suspectSchema)));
      return;
    }
    if (rumour.path === ERA_PATH) {
      this.#learnEras(vm, JSON.parse(rumour.text ?? '') as Position[]);
      return;
    }
    if (rumour.path.startsWith(RUNNER_PATH) && rumour.text !== undefined) {
      this.#learn(vm, 0, [JSON.parse(rumour.text) as RunnerRecord]);
      return;
    }
    const { configVersion, directory } = vm;
    vm.spread.receive(rumour, address, { configVersion, runnersPosition: directory.position });
    this.#exchangeDue(vm);
  }

  #exchangeDue(vm: Vm): void {
    const address = vm.spread.takeFetchTarget(this.now);
    if (address !== undefined) this.#exchange(vm, address, false);
    const { nextFetchAt: dueAt } = vm.spread;
    if (Number.isFinite(dueAt)) {
      this.#later(vm, Math.max(1, dueAt - this.now), () => this.#exchangeDue(vm));
    }
  }

  #exchange(vm: Vm, address: string, members: boolean): void {
    this.#exchanges += 1;
    const { parts } = vm.directory.digest;
    const bearer = this.#vms[Number.parseInt(address, 10)] as Vm;
    if (this.#isCut(vm, bearer) || this.#mute.has(vm.number) || this.#mute.has(bearer.number)) {
      return;
    }
    const askedAt = this.#clockOf(vm);
    this.#later(bearer, HOP_MS, () => {
      if (bearer.startedAt > this.now) return;
      bearer.answered += 1;
      const { digest } = bearer.directory;
      const facts = bearer.directory.factsIn(this.now, digest.differingParts(parts), 2000);
      const { all } = bearer.membership;
      const { configVersion } = bearer;
      const { starts } = bearer.history;
      const proof = bearer.freshness.proofAt(this.#clockOf(bearer), configVersion);
      this.#later(vm, HOP_MS, () => {
        this.#learnEras(vm, starts);
        this.#learn(vm, configVersion, facts);
        if (proof) vm.freshness.acceptProof(askedAt, proof, vm.configVersion);
        if (members) this.#tell(vm, { kind: 'synced', members: all });
      });
    });
  }

  #isCut({ number: one }: Vm, { number: other }: Vm): boolean {
    if (this.#cut.has(one) || this.#cut.has(other)) return true;
    return this.#apart.has(one) !== this.#apart.has(other);
  }

  /** Time as the VM counts it while it may be suspended. */
  #clockOf({ aheadMs }: Vm): number {
    return this.now + aheadMs;
  }

  #tell(vm: Vm, event: MembershipEvent): void {
    for (const action of vm.membership.handle(this.now, event)) this.#perform(vm, action);
  }

  #perform(vm: Vm, action: MembershipAction): void {
    if (action.kind === 'changed') Object.assign(vm, { changed: true });
    if (action.kind === 'heard') this.#hear(vm, action.rumour, action.address);
    if (action.kind === 'differs') {
      vm.spread.reportMismatch(this.now, action.address);
      this.#exchangeDue(vm);
    }
    if (action.kind !== 'send') return;
    this.#packets += 1;
    const target = this.#vms[Number.parseInt(action.to, 10)];
    if (!target || this.#mute.has(vm.number) || this.#isCut(vm, target)) return;
    const { packet } = action;
    if (packet.kind === 'ping') vm.freshness.recordQuery(this.#clockOf(vm), packet.seq);
    const proof = vm.freshness.proofAt(this.#clockOf(vm), vm.configVersion);
    this.#schedule.add(this.now + HOP_MS, () => {
      if (target.dead || target.frozen || target.startedAt > this.now) return;
      if (proof && packet.kind === 'ack') {
        target.freshness.recordReply(packet.seq, proof, target.configVersion);
      }
      this.#tell(target, { kind: 'packet', packet });
    });
  }
}

function setDigest({ membership, configVersion, directory, history }: Vm): void {
  membership.setDigest(`${configVersion}/${directory.digest.text}/${history.era ?? 0}`);
}
