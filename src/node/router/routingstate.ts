/**
 * The router's view of the fleet: configuration, runners and the age of the store's data.
 * The feed and other VMs update it; the request paths read it.
 */

import type { Logger } from 'pino';

import type { RunnerBackoff } from '../../core/routing/backoffs';
import { RunnerBackoffs } from '../../core/routing/backoffs';
import type { StateDigest } from '../../core/routing/digest';
import type { RunnerRecord } from '../../core/routing/directory';
import { RunnerDirectory } from '../../core/routing/directory';
import type { FreshnessProof } from '../../core/routing/freshness';
import { Freshness } from '../../core/routing/freshness';
import { HEARTBEAT_MS, StoreOutages } from '../../core/routing/outages';
import type { StoreHistory, Position } from '../../core/routing/position';
import { StoreList } from '../../core/routing/storelist';
import { RouteTable } from '../../core/routing/table';
import { Failure } from '../../core/failure';
import type { Runner, RunnerRole, RoutingConfig } from '../../core/routing/types';
import type { VersionHistory } from '../../core/versions/history';
import { bootNow } from '../../utils/clock';
import { LogRateLimiter } from '../loglimiter';
import type { FreshnessExchange } from '../scheduler/members';
import { InvalidEntryReport } from './invalidentryreport';
import type { RoutingStateListener } from './routingstatelistener';

/** Log lines about changed runners per second; a fleet that starts would flood the log otherwise. */
const RUNNER_LINES_PER_S = 10;

/** Configuration and runners as one VM knows them. */
export class RoutingState {
  readonly #log: Logger;

  readonly #directory = new RunnerDirectory();

  /** Pauses that runners asked this VM for. */
  readonly backoffs = new RunnerBackoffs();

  /** Tracks the maximum age of the configuration. */
  readonly freshness = new Freshness();

  readonly #history: StoreHistory;

  #table: RouteTable | undefined;

  /** Latest version of the configuration that another VM has announced; 0 before the first. */
  #announcedVersion = 0;

  readonly #outages: StoreOutages;

  readonly #listener: RoutingStateListener;

  readonly #lines: LogRateLimiter;

  readonly #invalid: InvalidEntryReport;

  readonly #list = new StoreList();

  /** @param heartbeatMs interval at which runners write their entries, in milliseconds */
  constructor(
    history: StoreHistory,
    log: Logger,
    listener: RoutingStateListener,
    heartbeatMs = HEARTBEAT_MS,
  ) {
    this.#history = history;
    this.#outages = new StoreOutages(heartbeatMs);
    this.#log = log;
    this.#listener = listener;
    this.#lines = new LogRateLimiter(RUNNER_LINES_PER_S, (lines) =>
      log.info({ lines, ...this.runnersPosition }, 'More runners changed.'),
    );
    this.#invalid = new InvalidEntryReport(log, listener);
  }

  /** Undefined until a configuration is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Version of the configuration in use; 0 until one is known. */
  get configVersion(): number {
    return this.#table?.config.version ?? 0;
  }

  /** Latest version of the configuration that is known to exist, in use here or not. */
  get latestVersion(): number {
    return Math.max(this.#announcedVersion, this.configVersion);
  }

  /** Callbacks by which members exchange freshness confirmations in their probes. */
  get freshnessExchange(): FreshnessExchange {
    return {
      currentProof: () => this.freshness.proofAt(bootNow(), this.configVersion),
      onPingSent: (seq) => this.freshness.recordQuery(bootNow(), seq),
      onAckReceived: (seq, proof) => this.freshness.recordReply(seq, proof, this.configVersion),
    };
  }

  /** This VM's freshness confirmation as a field of a message; empty if it has none. */
  proof(now: number): { readonly proof?: FreshnessProof } {
    const proof = this.freshness.proofAt(now, this.configVersion);
    return proof ? { proof } : {};
  }

  /** Software versions that served each service lately. */
  get versions(): VersionHistory {
    return this.#directory.versions;
  }

  /** Latest store position at which a runner changed. */
  get runnersPosition(): Position {
    return this.#directory.position;
  }

  /** Start positions of the store's latest eras, the latest first. */
  get eras(): readonly Position[] {
    return this.#history.starts;
  }

  /** Counter of the runner changes that affect routing. */
  get runnerChanges(): number {
    return this.#directory.changes;
  }

  /** Digest of the routing state, by which VMs detect that theirs differ. */
  get digest(): StateDigest {
    const rest = `${this.#directory.digest.text}/${this.#history.era ?? 0}`;
    return { configVersion: this.configVersion, rest };
  }

  /** The parts of the digest of the runners. */
  get digestParts(): readonly number[] {
    return this.#directory.digest.parts;
  }

  /** Runner records in the parts of the digest that differ from another VM's, about `most` at most. */
  recordsDiffering(now: number, theirs: readonly number[], most: number): readonly RunnerRecord[] {
    return this.#directory.factsIn(now, this.#directory.digest.differingParts(theirs), most);
  }

  /** The `most` latest runner records in these parts. */
  latestDiffering(now: number, theirs: readonly number[], most: number): readonly RunnerRecord[] {
    return this.#directory.latestIn(now, this.#directory.digest.differingParts(theirs), most);
  }

  /** Records that this VM begins to read the store. */
  storeReadingBegan(): void {
    this.#outages.began();
  }

  /** Records a successful call to the store. */
  storeAnswered(now: number): void {
    // An answer to another VM confirms the configuration here.
    const silentMs = this.#outages.answered(now, now - this.freshness.ageMs(bootNow()));
    if (silentMs === 0) return;
    this.#log.info(
      { silentMs: Math.round(silentMs) },
      'The store was unavailable for so long that entries of running runners may have expired.',
    );
  }

  /** Records a failed call to the store. */
  storeFailed(): void {
    this.#outages.failed();
  }

  /**
   * Applies a change of the store's era. Entries that are missing in a restored copy are
   * treated as after an outage: running runners register again within the same time.
   */
  learnEras(now: number, starts: readonly Position[], source: string): void {
    const { era: before } = this.#history;
    const cameBack = this.#history.apply(starts);
    const [start] = this.#history.starts;
    if (cameBack) {
      this.#outages.restored(now);
      this.#log.warn({ ...start, before, source }, 'The store was restored from an older copy.');
    }
    const isFirst = before === undefined && start !== undefined && start.era > 0;
    if (cameBack || isFirst) this.#listener.onChange({ kind: 'era', cameBack });
  }

  /** Time since the last successful call to the store, in milliseconds. */
  storeAgeMs(now: number): number {
    return now - this.#outages.answeredAt;
  }

  /** Records that another VM has a version of the configuration. */
  learnVersion(version: number, source: string): void {
    const { configVersion: known } = this;
    if (version <= this.latestVersion) return;
    this.#announcedVersion = version;
    this.#log.info({ version, known, source }, 'Another VM announced a newer configuration.');
  }

  /** Applies a configuration if it is newer than the one in use; returns whether it is. */
  learnConfig(now: number, config: RoutingConfig, source: string): boolean {
    if (this.#table && config.version <= this.#table.config.version) return false;
    const before = this.configVersion;
    this.#table = new RouteTable(config, this.#table);
    const { version, routes, customers, limits } = config;
    const streamMs = routes.map(({ resumable, timeoutMs }) => (resumable ? timeoutMs : 0));
    this.versions.setLongestStream(Math.max(0, ...streamMs));
    this.#log.info(
      {
        version,
        before,
        routes: routes.length,
        customers: customers?.length,
        limits,
        source,
        storeAgeMs: Math.round(this.storeAgeMs(now)),
      },
      'Applied a new configuration.',
    );
    this.#logDisputedKeys(version);
    this.#listener.onChange({ kind: 'config' });
    return true;
  }

  #logDisputedKeys(version: number): void {
    const disputed = this.#table?.keyRing?.disputed ?? 0;
    if (disputed === 0) return;
    const { line } = new Failure(
      'factUnreadable',
      `found ${disputed} keys that two customers share, expected one customer per key; they are rejected`,
    );
    this.#log.warn({ version }, line);
  }

  /** Applies runner records, each if it is newer than the known one. */
  learnRunners(now: number, facts: readonly RunnerRecord[], source: string): void {
    const changed: RunnerRecord[] = [];
    // Another VM may be out of date.
    const withRemoval = (one: RunnerRecord) => [one, ...this.#list.removalOf(one)];
    const isNew = ({ id }: RunnerRecord): boolean => source !== 'store' && !this.#directory.has(id);
    for (const fact of facts.flatMap((one) => (isNew(one) ? withRemoval(one) : one))) {
      const { id, position, runner, unreadable } = fact;
      if (unreadable !== undefined && !this.#directory.isKnown(fact)) {
        this.#invalid.report(now, id, position, unreadable);
      }
      const gone = !runner && unreadable === undefined;
      // The sender's value takes precedence: this VM may not read the store and thus not know of its outage.
      const graceMs = gone ? (fact.graceMs ?? this.#outages.graceMs(now, position)) : 0;
      if (this.#directory.apply(now, fact, graceMs)) {
        changed.push(gone ? { ...fact, graceMs } : fact);
        this.#checkService(now, fact);
        const { leaving, version } = runner ?? {};
        const { held } = fact;
        if (this.#lines.tryAcquire(now)) {
          this.#log.info(
            { runner: id, ...position, gone: !runner, leaving, version, held, graceMs, source },
            'Runner changed.',
          );
        }
      }
    }
    if (changed.length > 0) this.#listener.onChange({ kind: 'runners', facts: changed });
  }

  /**
   * Lets runners get work again that are held no longer, and announces them to other VMs.
   * @param isHeld whether the store's record of software versions still lacks a runner's version
   */
  releaseHeld(now: number, isHeld: (runner: Runner) => boolean): void {
    const released = this.#directory.held.flatMap((record) =>
      record.runner && !isHeld(record.runner) ? [{ ...record, held: false }] : [],
    );
    this.learnRunners(now, released, 'record');
  }

  /** Applies the announcement of a runner in an answer that it leaves, and announces it to other VMs. */
  learnLeaving(now: number, runner: Runner, source: string): void {
    const record = this.#directory.applyLeaving(now, runner);
    if (!record) return;
    const { id, position } = record;
    const gone = record.runner === undefined;
    if (this.#lines.tryAcquire(now)) {
      this.#log.info({ runner: id, ...position, gone, leaving: true, source }, 'Runner changed.');
    }
    this.#listener.onChange({ kind: 'runners', facts: [record] });
  }

  /**
   * Applies the start time that a runner reports about itself; a listed instance that started
   * earlier is gone.
   */
  learnStart(listing: string, bornAt: number): void {
    if (!this.#directory.applyInstanceStart(listing, bornAt)) return;
    this.#log.info({ runner: listing, bornAt, source: 'report' }, 'Runner restarted.');
    this.#listener.onChange({ kind: 'runners', facts: [] });
  }

  /** The latest known start time of a listing's instances, in Unix milliseconds; 0 if none is known. */
  latestStart(listing: string): number {
    return this.#directory.latestInstanceStart(listing);
  }

  /**
   * Reports a runner whose service the configuration does not define. It gets no requests until a
   * configuration does.
   */
  #checkService(now: number, { id, position, runner }: RunnerRecord): void {
    if (!runner || !this.#table || this.#table.service(runner.service)) return;
    this.#invalid.report(
      now,
      id,
      position,
      `runner ${id}: found service ${runner.service}, expected a known one`,
    );
  }

  /** Applies a full list of the store: runners that it lacks are gone as of its position. */
  learnList(now: number, listed: ReadonlySet<string>, position: Position): void {
    this.#outages.listed(position);
    this.#list.learn(listed, position);
    const gone = this.#directory
      .missing(listed)
      .map((id): RunnerRecord => ({ id, position, runner: undefined }));
    this.learnRunners(now, gone, 'list');
  }

  /** State of the configuration, the store and the runners, for operators. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    const usable = new Set(this.#directory.usable(now).map(({ id }) => id));
    return {
      configVersion: this.configVersion,
      routes: this.#table?.config.routes.length ?? 0,
      storeAgeMs: Number.isFinite(this.#outages.answeredAt)
        ? Math.round(this.storeAgeMs(now))
        : null,
      era: this.#history.era ?? null,
      backoffs: this.backoffs.pending(now),
      versions: this.versions.sightings(now),
      runners: this.#directory.facts.map(({ id, position, runner }) => ({
        id,
        ...position,
        usable: usable.has(id),
        ...(runner ?? { gone: true }),
      })),
    };
  }

  /** Whether a runner is listed at an address, also one that leaves. */
  isListed(address: string): boolean {
    return this.#directory.facts.some(({ runner }) => runner?.address === address);
  }

  /** Runners that may get requests now. */
  runners(now: number): readonly Runner[] {
    return this.#directory.usable(now);
  }

  /**
   * Applies the pause that a runner asks this VM for when it rejects a request; returns how long
   * this VM keeps to it, in milliseconds.
   */
  learnBackoff(now: number, { id }: Runner, ms: number): number {
    return this.backoffs.record(now, id, ms, Math.random());
  }

  /** The pauses that runners of a service asked this VM for. */
  backoffsOf(now: number, service: string): readonly RunnerBackoff[] {
    const pending = this.backoffs.pending(now);
    if (pending.length === 0) return pending;
    const ids = new Set(this.runnersOf(now, service).map(({ id }) => id));
    return pending.filter(({ runner }) => ids.has(runner));
  }

  /**
   * Time until the first runner of a service accepts requests of this VM again, in milliseconds; 0
   * if one does, or if there are none.
   */
  openInMs(now: number, service: string): number {
    const waits = this.runnersOf(now, service).map(({ id }) => this.backoffs.remainingMs(now, id));
    return waits.length === 0 ? 0 : Math.min(...waits);
  }

  /** Whether this VM may send a request to a runner now. */
  accepts(now: number, runner: Runner): boolean {
    const isOpen = this.backoffs.remainingMs(now, runner.id) === 0;
    return isOpen && this.#directory.isUsable(now, runner);
  }

  /** Runners of a service, and of a role if one is given, to which this VM may send requests now. */
  openRunnersOf(now: number, service: string, role?: RunnerRole): readonly Runner[] {
    return this.runnersOf(now, service, role).filter(
      ({ id }) => this.backoffs.remainingMs(now, id) === 0,
    );
  }

  /** Runners of a service, and of a role if one is given, that may get requests of some VM now. */
  runnersOf(now: number, service: string, role?: RunnerRole): readonly Runner[] {
    return this.runners(now).filter(
      (runner) => runner.service === service && (!role || runner.role === role),
    );
  }
}
