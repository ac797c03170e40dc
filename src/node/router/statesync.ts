/**
 * Replicates the routing state between VMs: reads the store if this VM is one of its
 * readers, announces changes to other VMs and applies theirs.
 */

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { toFailure } from '../../core/failure';
import { isIsolated, joinTargets, readersOf, shouldRead } from '../../core/membership/readers';
import type { GossipUpdate } from '../../core/membership/types';
import type { Suspect } from '../../core/quarantine/types';
import type { RunnerRate } from '../../core/ratelimits/types';
import { isPresent } from '../../core/membership/types';
import type { StateDigest } from '../../core/routing/digest';
import { decodeDigest, encodeDigest, stateDigestOf } from '../../core/routing/digest';
import { ProofBackoff } from '../../core/routing/freshness';
import {
  CONFIG_PATH,
  configUpdates,
  ERA_PATH,
  UpdatePropagation,
  RUNNER_PATH,
} from '../../core/routing/propagation';
import { bootNow } from '../../utils/clock';
import type { Metrics } from '../metrics';
import type { RouterFleet } from './fleet';
import type { Authorizer } from './authorizer';
import type { RoutingState } from './routingstate';
import type { StateChange } from './routingstatelistener';
import type { QuarantineController } from './quarantine';
import type { RateLimitController } from './ratelimits';
import { RATE_PATH, rateUpdate, rateSchema } from './ratewire';
import { fromUpdate } from './updates';
import { SUSPECT_PATH, suspectUpdate, suspectSchema } from './suspects';
import type { FetchOptions, StateExchange } from './stateexchange';
import { decodeRecord, decodeEras, encodeRecord } from './stateexchange';
import type { Feed } from './types';

/** Dependencies of the replication. */
export interface StateSyncContext {
  readonly routingState: RoutingState;
  readonly authorizer: Authorizer;
  readonly quarantine: QuarantineController;
  readonly rateLimits: RateLimitController;
  readonly fleet: RouterFleet;
  readonly feed: Feed;
  readonly exchange: StateExchange;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Addresses through which this VM joins the fleet. */
  readonly seeds: readonly string[];
  /** This VM's peer address. */
  readonly self: string;
  /** Called when the description that this VM announces has changed. */
  readonly onDescription: () => void;
}

/**
 * Period of the check whether this VM must read the store, in milliseconds; short compared with the
 * time to detect a dead reader.
 */
const READER_CHECK_MS = 250;
/**
 * Number of state exchanges after the start and the time between two, in milliseconds: gossip is
 * slow while many VMs start together.
 */
const JOIN_ROUNDS = 8;
const JOIN_PERIOD_MS = 500;
/**
 * Time after its start for which a VM waits for the first state exchange before it reads the store,
 * in milliseconds: allows three attempts and hardly delays the start.
 */
const FIRST_FETCH_LIMIT_MS = 1500;
/** Consecutive failed calls after which the store counts as lost; a single watch may be interrupted. */
const LOST_AFTER_FAILURES = 2;
/**
 * Time after which a VM that read the store in place of another VM, and lost it as well, may be
 * chosen as a reader again, in milliseconds.
 */
const LOST_PAUSE_MS = 4000;

/** Rate limits that are gossiped one by one; VMs find further ones by comparing digests. */
const MAX_GOSSIPED_RATES = 16;

/** Replication of the routing state at one VM. */
export class StateSync {
  readonly #context: StateSyncContext;

  readonly #propagation = new UpdatePropagation();

  /** The digest that packets of this VM carry. */
  #digest: StateDigest = decodeDigest('');

  readonly #startedAt = performance.now();

  readonly #readerTimer: NodeJS.Timeout;

  #joinTimer: NodeJS.Timeout | undefined;

  #joinRounds = 0;

  /** Number of pending state exchanges. */
  #pendingFetches = 0;

  /** Whether a state exchange with another VM has succeeded. */
  #hasFetched = false;

  #fetchTimer: NodeJS.Timeout | undefined;

  #isReading = false;

  #shouldRead = false;

  #isStoreUp = false;

  #failedCalls = 0;

  #lostAt = -Infinity;

  readonly #confirmationPace = new ProofBackoff();

  /**
   * Whether the members changed since the readers were chosen. Choosing them costs one hash per VM
   * of the failure domain.
   */
  #haveMembersChanged = true;

  constructor(context: StateSyncContext) {
    this.#context = context;
    this.#readerTimer = setInterval(() => {
      this.#updateReading(performance.now());
      this.#checkFreshness(bootNow());
    }, READER_CHECK_MS);
  }

  /** Starts the first state exchanges. */
  start(): void {
    this.#joinTimer = setInterval(() => this.#joinOnce(), JOIN_PERIOD_MS);
    this.#joinOnce();
  }

  /** Stops all timers and the feed. */
  stop(): void {
    clearInterval(this.#readerTimer);
    clearInterval(this.#joinTimer);
    clearTimeout(this.#fetchTimer);
    this.#context.feed.stop();
  }

  /** Whether this VM's calls to the store fail. */
  get isStoreLost(): boolean {
    return this.#failedCalls >= LOST_AFTER_FAILURES;
  }

  /** Whether this VM reads the store on behalf of the fleet. */
  get reading(): boolean {
    return this.#isReading;
  }

  /** Must be called when the members changed: other VMs may have to read the store now. */
  membersChanged(): void {
    const { fleet, feed } = this.#context;
    if (fleet.self.state === 'left') feed.leave();
    this.#haveMembersChanged = true;
    if (!this.#hasFetched && this.#joinRounds > 0 && this.#pendingFetches === 0) this.#joinOnce();
  }

  /** Announces a change of the routing state, whatever its source, to the other members. */
  announce(change: StateChange): void {
    const { fleet, routingState, metrics } = this.#context;
    this.setDigest();
    const updates = match(change)
      .with({ kind: 'config' }, () => configUpdates(routingState.configVersion))
      .with({ kind: 'runners' }, ({ facts }) =>
        this.#propagation.runnerUpdates(facts, encodeRecord),
      )
      .with({ kind: 'era' }, () => this.#propagation.eraUpdates(routingState.eras))
      .exhaustive();
    if (change.kind === 'era' && change.cameBack) metrics.count('store.returns');
    fleet.gossip(updates);
  }

  /** Publishes the digest of this VM's state, which other VMs compare with theirs. */
  setDigest(): void {
    const { fleet, routingState, quarantine, rateLimits } = this.#context;
    const now = performance.now();
    const { configVersion, rest } = routingState.digest;
    const parts = [rest, quarantine.digest(now), rateLimits.digest(now)];
    this.#digest = stateDigestOf(configVersion, parts);
    fleet.setDigest(encodeDigest(this.#digest));
  }

  /** Announces requests that crashed runners. */
  announceSuspects(suspects: readonly Suspect[]): void {
    this.#context.fleet.gossip(suspects.map(suspectUpdate));
  }

  /** Announces changed rate limits of runners. */
  announceRates(rates: readonly RunnerRate[]): void {
    this.setDigest();
    this.#context.fleet.gossip(rates.slice(0, MAX_GOSSIPED_RATES).map(rateUpdate));
  }

  /** Applies a gossip update of a member. */
  receive(update: GossipUpdate, address: string): void {
    const { routingState, quarantine, rateLimits, log } = this.#context;
    const now = performance.now();
    const { path, text } = update;
    try {
      if (path.startsWith(SUSPECT_PATH)) {
        quarantine.learn(now, [fromUpdate(update, suspectSchema)], address);
      } else if (path.startsWith(RATE_PATH)) {
        rateLimits.learn(now, [fromUpdate(update, rateSchema)], address);
      } else if (path === ERA_PATH) routingState.learnEras(now, decodeEras(text ?? ''), address);
      else if (path.startsWith(RUNNER_PATH) && text !== undefined) {
        routingState.learnRunners(now, [decodeRecord(text)], address);
      } else {
        if (path === CONFIG_PATH) this.#recordAnnouncement(update.revision, address);
        this.#propagation.receive(update, address, routingState);
        this.#fetchDue();
      }
    } catch (error) {
      log.warn({ address, path }, toFailure(error).line);
    }
  }

  /** Schedules a state exchange with a member whose digest differs, as soon as its state has to be fetched. */
  digestDiffers(address: string, digest: string): void {
    const { metrics, routingState } = this.#context;
    metrics.count('digests.differ');
    const theirs = decodeDigest(digest);
    this.#recordAnnouncement(theirs.configVersion, address);
    const now = performance.now();
    this.#propagation.receiveDigest(now, theirs, address, routingState, this.#digest.rest);
    this.#fetchDue();
  }

  /** Records the result of a call to the store; logs when the store becomes reachable or unreachable. */
  storeCallEnded(now: number, up: boolean, detail: string): void {
    const { routingState, log, metrics } = this.#context;
    if (up) routingState.storeAnswered(now);
    else routingState.storeFailed();
    metrics.count(up ? 'store.answers' : 'store.failures');
    this.#setFailed(now, up ? 0 : this.#failedCalls + 1);
    if (up === this.#isStoreUp) return;
    this.#isStoreUp = up;
    if (up) log.info({ detail }, 'The store is reachable.');
    else log.warn({ detail }, 'The store is unreachable.');
  }

  #setFailed(now: number, calls: number): void {
    const before = this.isStoreLost;
    this.#failedCalls = calls;
    if (this.isStoreLost) this.#lostAt = now;
    if (this.isStoreLost === before) return;
    this.#context.onDescription();
    this.#haveMembersChanged = true;
    this.#updateReading(now);
  }

  #updateReading(now: number): void {
    const { fleet, feed, log, routingState } = this.#context;
    const { self, all } = fleet;
    const waitsForOthers = !this.#isReading && all.length === 1;
    if (this.#haveMembersChanged || waitsForOthers) {
      this.#haveMembersChanged = false;
      this.#shouldRead = shouldRead(now, this.#startedAt, self, all);
    }
    const isChosen = this.#shouldRead && this.#canRead(now);
    const reading = isChosen || isIsolated(now, this.#startedAt, fleet.members);
    if (this.isStoreLost && now - this.#lostAt > LOST_PAUSE_MS && !reading) this.#setFailed(now, 0);
    if (reading === this.#isReading) return;
    this.#isReading = reading;
    if (reading) routingState.storeReadingBegan();
    if (reading && !this.#hasFetched) log.info('Configured by the store alone: no VM answered.');
    feed.setReading(reading);
    const { primaries, standbys } = readersOf(self.domain, all);
    const names = [...primaries, ...standbys].map(({ vm }) => vm);
    log.info({ reading, readers: names }, 'Readers of the store changed.');
  }

  /**
   * Requests a freshness confirmation before the own configuration becomes too old for API keys
   * to be accepted. Members also send confirmations with their probes, which reach one member
   * after the other; after an outage that alone took seconds, in which all keys were rejected.
   */
  #checkFreshness(now: number): void {
    const { feed, fleet, authorizer, routingState, metrics } = this.#context;
    metrics.gauge('config.age_ms', routingState.freshness.ageMs(now));
    const source = authorizer.proofSource(now, this.#isReading);
    if (source === 'nobody') {
      this.#confirmationPace.reset();
      return;
    }
    const { primaries, standbys } = readersOf(fleet.self.domain, fleet.all);
    fleet.contact([...primaries, ...standbys].map(({ address }) => address));
    if (source !== 'store' || !this.#confirmationPace.tryQuery(now, this.#isReading)) return;
    metrics.count('proofs.asked');
    feed.confirmConfig();
  }

  /**
   * Whether this VM may read the store yet. A store that was restored from an older copy has an
   * older configuration than the one in force; a new VM that read it before its first state
   * exchange would apply that.
   */
  #canRead(now: number): boolean {
    const { fleet, self } = this.#context;
    const isAlone = !fleet.all.some((one) => one.address !== self && isPresent(one));
    return this.#hasFetched || isAlone || now - this.#startedAt > FIRST_FETCH_LIMIT_MS;
  }

  /** Exchanges state with a random VM: with a seed first, then with present members. */
  #joinOnce(): void {
    const { fleet, seeds, self } = this.#context;
    const present = fleet.all.filter((member) => member.address !== self && isPresent(member));
    const others = seeds.filter((address) => address !== self);
    const known = this.#joinRounds > 0 ? joinTargets(fleet.self.domain, present) : [];
    const choice = known.length > 0 ? known : others;
    const address = choice[Math.floor(Math.random() * choice.length)];
    this.#joinRounds += 1;
    // Seeds and store may both be unreachable at the start, so this repeats until another VM is present.
    if (this.#joinRounds >= JOIN_ROUNDS && present.length > 0) clearInterval(this.#joinTimer);
    if (present.length === 0) fleet.contact(seeds);
    if (address !== undefined) this.#fetch(address, { members: true });
  }

  #recordAnnouncement(version: number, address: string): void {
    const { routingState, metrics } = this.#context;
    if (version > routingState.configVersion) metrics.count('config.announcements');
    routingState.learnVersion(version, address);
  }

  #fetchDue(): void {
    const { routingState } = this.#context;
    const now = performance.now();
    const target = this.#propagation.takeFetchTarget(now, routingState);
    if (target) this.#fetch(target.address, { recentOnly: target.recentOnly });
    clearTimeout(this.#fetchTimer);
    const nextFetchAt = this.#propagation.nextFetchAt(routingState);
    if (Number.isFinite(nextFetchAt)) {
      this.#fetchTimer = setTimeout(() => this.#fetchDue(), Math.max(1, nextFetchAt - now)).unref();
    }
  }

  #fetch(address: string, options: FetchOptions): void {
    const { exchange, metrics, log, routingState } = this.#context;
    const { configVersion: before } = routingState;
    const startedAt = performance.now();
    const fieldsAt = (now: number): object => ({
      source: address,
      before,
      version: routingState.configVersion,
      announced: routingState.latestVersion,
      ms: Math.round(now - startedAt),
    });
    metrics.count('news.fetches');
    this.#pendingFetches += 1;
    exchange
      .fetch(address, options)
      .then(() => {
        const now = performance.now();
        if (routingState.latestVersion > before) {
          log.info(fieldsAt(now), 'Fetched the state of a VM.');
        }
        this.#hasFetched = true;
        this.#updateReading(now);
      })
      .catch((error) => {
        metrics.count('news.failures');
        log.info(fieldsAt(performance.now()), toFailure(error).line);
      })
      .finally(() => {
        this.#pendingFetches -= 1;
      });
  }
}
