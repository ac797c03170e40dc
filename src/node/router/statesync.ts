/**
 * Keeps this VM's knowledge in step with the fleet: reads the store if it is one
 * of the readers, tells other VMs of changes, and hears of theirs.
 */

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { toFailure } from '../../core/failure';
import { isIsolated, joinTargets, readersOf, shouldRead } from '../../core/membership/readers';
import type { GossipUpdate } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';
import type { RunnerRate } from '../../core/ratelimits/types';
import { isPresent } from '../../core/membership/types';
import { ProofBackoff } from '../../core/routing/freshness';
import { ERA_PATH, UpdatePropagation, RUNNER_PATH } from '../../core/routing/propagation';
import { bootNow } from '../../utils/clock';
import type { Metrics } from '../metrics';
import type { RouterFleet } from './fleet';
import type { Authorizer } from './authorizer';
import type { RoutingState, StateChange } from './routingstate';
import type { QuarantineController } from './quarantine';
import type { RateLimitController } from './ratelimits';
import { RATE_PATH, rateUpdate, rateSchema } from './ratewire';
import { fromUpdate } from './updates';
import { SUSPECT_PATH, suspectUpdate, suspectSchema } from './suspects';
import type { StateExchange } from './stateexchange';
import { decodeRecord, decodeEras, encodeRecord } from './stateexchange';
import type { Feed } from './types';

/** What the desk works with. */
export interface StateSyncContext {
  readonly knowledge: RoutingState;
  readonly gate: Authorizer;
  readonly quarantine: QuarantineController;
  readonly rateLimits: RateLimitController;
  readonly fleet: RouterFleet;
  readonly feed: Feed;
  readonly sync: StateExchange;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Addresses of VMs that may be up already. */
  readonly seeds: readonly string[];
  /** This VM's own address. */
  readonly self: string;
  /** What this VM tells of itself has changed. */
  readonly onDescription: () => void;
}

/** Period of looking whether this VM is to read the store, in milliseconds: little beside the time in which a dead reader is found. */
const DUTY_MS = 250;
/** Exchanges with members while this VM is new, and the time between two, in milliseconds: news of many that start together goes round slowly. */
const JOIN_ROUNDS = 8;
const JOIN_PACE_MS = 500;
/** Time from its start for which a VM waits for another to tell what is in force before it reads the store, in milliseconds: three tries, and little of a start. */
const TOLD_LIMIT_MS = 1500;
/** Failed calls one after the other after which the store counts as lost: one watch alone may be cut. */
const LOST_CALLS = 2;
/** Time after which a VM that read in place of another, and lost the store too, may be chosen again, in milliseconds. */
const LOST_MS = 4000;

/** Rate limits that are told one by one; of more at once, the others show in the digests that VMs compare. */
const RATES_TOLD = 16;

/** The news of one VM. */
export class StateSync {
  readonly #context: StateSyncContext;

  readonly #spread = new UpdatePropagation();

  readonly #startedAt = performance.now();

  readonly #duty: NodeJS.Timeout;

  #join: NodeJS.Timeout | undefined;

  #joined = 0;

  /** Calls to other VMs under way. */
  #asked = 0;

  /** Whether another VM told all that it knows. */
  #wasTold = false;

  #fetchTimer: NodeJS.Timeout | undefined;

  #reading = false;

  #shouldRead = false;

  #storeUp = false;

  #failedCalls = 0;

  #lostAt = -Infinity;

  readonly #proofPace = new ProofBackoff();

  /** Whether the members changed since the readers were worked out; that takes a hash for each VM of the failure domain. */
  #membersChanged = true;

  constructor(context: StateSyncContext) {
    this.#context = context;
    this.#duty = setInterval(() => {
      this.#checkDuty(performance.now());
      this.#checkProof(bootNow());
    }, DUTY_MS);
  }

  start(): void {
    this.#join = setInterval(() => this.#joinOnce(), JOIN_PACE_MS);
    this.#joinOnce();
  }

  stop(): void {
    clearInterval(this.#duty);
    clearInterval(this.#join);
    clearTimeout(this.#fetchTimer);
    this.#context.feed.stop();
  }

  /** Whether this VM's calls to the store fail. */
  get isStoreLost(): boolean {
    return this.#failedCalls >= LOST_CALLS;
  }

  /** Whether this VM reads the store for others. */
  get reading(): boolean {
    return this.#reading;
  }

  /** The members changed: others may be readers now. */
  membersChanged(): void {
    this.#membersChanged = true;
    if (!this.#wasTold && this.#joined > 0 && this.#asked === 0) this.#joinOnce();
  }

  /** Something came in, from wherever: tells it on. */
  announce(news: StateChange): void {
    const { fleet, knowledge, metrics } = this.#context;
    this.setDigest();
    const rumours = match(news)
      .with({ kind: 'config' }, () => this.#spread.configUpdates(knowledge.configVersion))
      .with({ kind: 'runners' }, ({ facts }) => this.#spread.runnerUpdates(facts, encodeRecord))
      .with({ kind: 'era' }, () => this.#spread.eraUpdates(knowledge.eras))
      .exhaustive();
    if (news.kind === 'era' && news.cameBack) metrics.count('store.returns');
    fleet.gossip(rumours);
  }

  /** Others compare what this VM knows with what they know. */
  setDigest(): void {
    const { fleet, knowledge, quarantine, rateLimits } = this.#context;
    const now = performance.now();
    const parts = [knowledge.digest, quarantine.digest(now), rateLimits.digest(now)];
    fleet.setDigest(parts.filter((part) => part !== '').join('/'));
  }

  /** Runners ended under requests. */
  announceSuspects(suspects: readonly Suspect[]): void {
    this.#context.fleet.gossip(suspects.map(suspectUpdate));
  }

  /** Rate limits of runners changed. */
  announceRates(rates: readonly RunnerRate[]): void {
    this.setDigest();
    this.#context.fleet.gossip(rates.slice(0, RATES_TOLD).map(rateUpdate));
  }

  /** A member tells news. */
  receive(rumour: GossipUpdate, address: string): void {
    const { knowledge, quarantine, rateLimits, log } = this.#context;
    const now = performance.now();
    const { path, text } = rumour;
    try {
      if (path.startsWith(SUSPECT_PATH)) {
        quarantine.learn(now, [fromUpdate(rumour, suspectSchema)], address);
      } else if (path.startsWith(RATE_PATH)) {
        rateLimits.learn(now, [fromUpdate(rumour, rateSchema)], address);
      } else if (path === ERA_PATH) knowledge.learnEras(now, decodeEras(text ?? ''), address);
      else if (path.startsWith(RUNNER_PATH) && text !== undefined) {
        knowledge.learnRunners(now, [decodeRecord(text)], address);
      } else {
        this.#spread.receive(rumour, address, knowledge);
        this.#fetchDue();
      }
    } catch (error) {
      log.warn({ address, path }, toFailure(error).line);
    }
  }

  /** A member knows other things. */
  digestDiffers(address: string): void {
    this.#spread.reportMismatch(performance.now(), address);
    this.#fetchDue();
  }

  /** A call to the store has ended; logs where that changes. */
  storeCallEnded(now: number, up: boolean, detail: string): void {
    const { knowledge, log, metrics } = this.#context;
    if (up) knowledge.storeAnswered(now);
    else knowledge.storeFailed(now);
    metrics.count(up ? 'store.answers' : 'store.failures');
    this.#setFailed(now, up ? 0 : this.#failedCalls + 1);
    if (up === this.#storeUp) return;
    this.#storeUp = up;
    if (up) log.info({ detail }, 'The store answers.');
    else log.warn({ detail }, 'The store does not answer.');
  }

  #setFailed(now: number, calls: number): void {
    const before = this.isStoreLost;
    this.#failedCalls = calls;
    if (this.isStoreLost) this.#lostAt = now;
    if (this.isStoreLost === before) return;
    this.#context.onDescription();
    this.#membersChanged = true;
    this.#checkDuty(now);
  }

  #checkDuty(now: number): void {
    const { fleet, feed, log } = this.#context;
    const { self, all } = fleet;
    const waitsForOthers = !this.#reading && all.length === 1;
    if (this.#membersChanged || waitsForOthers) {
      this.#membersChanged = false;
      this.#shouldRead = shouldRead(now, this.#startedAt, self, all);
    }
    const isChosen = this.#shouldRead && this.#mayRead(now);
    const reading = isChosen || isIsolated(now, this.#startedAt, fleet.members);
    if (this.isStoreLost && now - this.#lostAt > LOST_MS && !reading) this.#setFailed(now, 0);
    if (reading === this.#reading) return;
    this.#reading = reading;
    if (reading && !this.#wasTold) log.info('Goes by the store alone: no other VM told anything.');
    feed.setReading(reading);
    const { primaries: chosen, standbys: deputies } = readersOf(self.domain, all);
    const names = [...chosen, ...deputies].map(({ vm }) => vm);
    log.info({ reading, readers: names }, 'Readers of the store changed.');
  }

  /**
   * Asks how old the own configuration is before keys stop counting. Members tell with
   * their probes, by turns; after an outage that took seconds, in which all keys were refused.
   */
  #checkProof(now: number): void {
    const { feed, fleet, gate, knowledge, metrics } = this.#context;
    metrics.gauge('config.age_ms', knowledge.freshness.ageMs(now));
    const source = gate.proofSource(now, this.#reading);
    if (source === 'nobody') {
      this.#proofPace.reset();
      return;
    }
    const { primaries: chosen, standbys: deputies } = readersOf(fleet.self.domain, fleet.all);
    fleet.contact([...chosen, ...deputies].map(({ address }) => address));
    if (source !== 'store' || !this.#proofPace.tryQuery(now, this.#reading)) return;
    metrics.count('proofs.asked');
    feed.confirmConfig();
  }

  /**
   * A store that came back from an older copy has an older configuration than the other
   * VMs have in force; a new VM that reads it before they told would serve by that.
   */
  #mayRead(now: number): boolean {
    const { fleet, self } = this.#context;
    const isAlone = !fleet.all.some((one) => one.address !== self && isPresent(one));
    return this.#wasTold || isAlone || now - this.#startedAt > TOLD_LIMIT_MS;
  }

  /** A VM that is new learns of the others from those that are there. */
  #joinOnce(): void {
    const { fleet, seeds, self } = this.#context;
    const present = fleet.all.filter((member) => member.address !== self && isPresent(member));
    const strangers = seeds.filter((address) => address !== self);
    const known = this.#joined > 0 ? joinTargets(fleet.self.domain, present) : [];
    const choice = known.length > 0 ? known : strangers;
    const address = choice[Math.floor(Math.random() * choice.length)];
    this.#joined += 1;
    // Seeds and store may both be away when a VM starts; it goes on asking for as long as it is alone.
    if (this.#joined >= JOIN_ROUNDS && present.length > 0) clearInterval(this.#join);
    if (present.length === 0) fleet.contact(seeds);
    if (address !== undefined) this.#fetch(address, true);
  }

  #fetchDue(): void {
    const now = performance.now();
    const address = this.#spread.takeFetchTarget(now);
    if (address !== undefined) this.#fetch(address, false);
    clearTimeout(this.#fetchTimer);
    const { nextFetchAt: dueAt } = this.#spread;
    if (Number.isFinite(dueAt)) {
      this.#fetchTimer = setTimeout(() => this.#fetchDue(), Math.max(1, dueAt - now)).unref();
    }
  }

  #fetch(address: string, members: boolean): void {
    const { sync, metrics, log } = this.#context;
    metrics.count('news.fetches');
    this.#asked += 1;
    sync
      .fetch(address, members)
      .then(() => {
        this.#wasTold = true;
        this.#checkDuty(performance.now());
      })
      .catch((error) => log.debug({ address }, toFailure(error).line))
      .finally(() => {
        this.#asked -= 1;
      });
  }
}
