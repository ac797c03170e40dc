/**
 * The router's blackboard: configuration, runners and where they were heard of.
 * The feed and the peers write to it; the request paths read it.
 */

import type { Logger } from 'pino';

import type { RunnerRecord } from '../../core/routing/directory';
import { RunnerDirectory } from '../../core/routing/directory';
import type { FreshnessProof } from '../../core/routing/freshness';
import { Freshness } from '../../core/routing/freshness';
import type { StoreHistory, Position } from '../../core/routing/position';
import { isLater } from '../../core/routing/position';
import { RouteTable } from '../../core/routing/table';
import { Failure } from '../../core/failure';
import type { Runner, RunnerRole, RoutingConfig } from '../../core/routing/types';
import { bootNow } from '../../utils/clock';
import { LogRateLimiter } from '../loglimiter';
import type { FreshnessExchange } from '../scheduler/members';

/** How long after trouble with the store a vanished entry may be one that lapsed meanwhile, in milliseconds. */
const LAPSE_MS = 3000;

/**
 * How long a runner stays in use whose entry was missing when the store came
 * back: leases lapse in an outage and living runners are listed again within two
 * seconds of its end. Without this, the end of an outage would take every runner
 * away at once and all requests would be refused. In milliseconds.
 */
const LAPSED_GRACE_MS = 2500;

/**
 * The same for an entry that vanished after the first full list: most likely the
 * runner leaves, and it must get no work two seconds after that. In milliseconds.
 */
const RETURNED_GRACE_MS = 1000;

/** A newer configuration, or runners that changed. */
export type StateChange =
  | { readonly kind: 'config' }
  | { readonly kind: 'runners'; readonly facts: readonly RunnerRecord[] }
  /** `cameBack`: another era was known before. */
  | { readonly kind: 'era'; readonly cameBack: boolean };

/** Lines of changed runners in a second; a fleet that starts would fill the log with them. */
const RUNNER_LINES = 10;

/** What knowledge tells of its changes. */
export interface RoutingStateListener {
  onChange(news: StateChange): void;
  /** An entry came in that names no runner to use. */
  onInvalidEntry(): void;
}

/** What one VM knows. */
export class RoutingState {
  readonly #log: Logger;

  readonly #directory = new RunnerDirectory();

  /** How old the configuration can be. */
  readonly freshness = new Freshness();

  readonly #history: StoreHistory;

  #table: RouteTable | undefined;

  /** Steady time of the last word of the store. */
  #storeAt = -Infinity;

  /** Steady time of the last failed call to the store. */
  #troubleAt = -Infinity;

  /** Position of the first full list after the last trouble; none yet while it lasts. */
  #returnedAt: Position | undefined;

  readonly #listener: RoutingStateListener;

  readonly #lines: LogRateLimiter;

  constructor(history: StoreHistory, log: Logger, listener: RoutingStateListener) {
    this.#history = history;
    this.#log = log;
    this.#listener = listener;
    this.#lines = new LogRateLimiter(RUNNER_LINES, (lines) =>
      log.info({ lines, ...this.runnersPosition }, 'More runners changed.'),
    );
  }

  /** Undefined until a configuration is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  get configVersion(): number {
    return this.#table?.config.version ?? 0;
  }

  /** The proof as members exchange it with their probes. */
  get freshnessExchange(): FreshnessExchange {
    return {
      currentProof: () => this.freshness.proofAt(bootNow(), this.configVersion),
      onPingSent: (seq) => this.freshness.recordQuery(bootNow(), seq),
      onAckReceived: (seq, proof) => this.freshness.recordReply(seq, proof, this.configVersion),
    };
  }

  /** What this VM tells others of the age of its configuration, as a field of a message. */
  proof(now: number): { readonly proof?: FreshnessProof } {
    const proof = this.freshness.proofAt(now, this.configVersion);
    return proof ? { proof } : {};
  }

  /** Latest position of a change of a runner. */
  get runnersPosition(): Position {
    return this.#directory.position;
  }

  /** Starts of the store's latest eras, the latest first. */
  get eras(): readonly Position[] {
    return this.#history.starts;
  }

  /** Grows with each change of a runner that matters to routing. */
  get runnerChanges(): number {
    return this.#directory.changes;
  }

  /** All that this VM knows in short, for others to compare. */
  get digest(): string {
    return `${this.configVersion}/${this.#directory.digest.text}/${this.#history.era ?? 0}`;
  }

  /** The digest of the runners, by parts. */
  get digestParts(): readonly number[] {
    return this.#directory.digest.parts;
  }

  /** Facts of the parts of the digest in which another VM's differ, at most about `most`. */
  recordsDiffering(now: number, theirs: readonly number[], most: number): readonly RunnerRecord[] {
    return this.#directory.factsIn(now, this.#directory.digest.differingParts(theirs), most);
  }

  storeAnswered(now: number): void {
    this.#storeAt = now;
  }

  storeFailed(now: number): void {
    this.#troubleAt = now;
    this.#returnedAt = undefined;
  }

  /**
   * Takes over that the store is of another era. What is missing in it may be lost with
   * the copy, as in an outage: living runners write again within the same time.
   */
  learnEras(now: number, starts: readonly Position[], source: string): void {
    const { era: before } = this.#history;
    const cameBack = this.#history.apply(starts);
    const [start] = this.#history.starts;
    if (cameBack) {
      this.storeFailed(now);
      this.#log.warn({ ...start, before, source }, 'The store came back from an older copy.');
    }
    const isFirst = before === undefined && start !== undefined && start.era > 0;
    if (cameBack || isFirst) this.#listener.onChange({ kind: 'era', cameBack });
  }

  /** How long a runner stays in use whose entry is gone as of a position, in milliseconds. */
  #graceMs(now: number, position: Position): number {
    if (now - this.#troubleAt >= LAPSE_MS) return 0;
    const returned = this.#returnedAt !== undefined && isLater(position, this.#returnedAt);
    return returned ? RETURNED_GRACE_MS : LAPSED_GRACE_MS;
  }

  /** Time since the store was last heard, in milliseconds. */
  storeAgeMs(now: number): number {
    return now - this.#storeAt;
  }

  /** Takes a configuration over if it is newer; a VM never goes back to an older one. */
  learnConfig(now: number, config: RoutingConfig, source: string): boolean {
    if (this.#table && config.version <= this.#table.config.version) return false;
    const before = this.configVersion;
    this.#table = new RouteTable(config);
    const { version, routes, customers } = config;
    this.#log.info(
      {
        version,
        before,
        routes: routes.length,
        customers: customers?.length,
        source,
        storeAgeMs: Math.round(this.storeAgeMs(now)),
      },
      'New config.',
    );
    this.#noteDisputed(version);
    this.#listener.onChange({ kind: 'config' });
    return true;
  }

  #noteDisputed(version: number): void {
    const disputed = this.#table?.keyRing?.disputed ?? 0;
    if (disputed === 0) return;
    const { line } = new Failure(
      'factUnreadable',
      `found ${disputed} keys that two customers hold, expected one for each; they are refused`,
    );
    this.#log.warn({ version }, line);
  }

  /** Takes facts of runners over, each if it is newer. */
  learnRunners(now: number, facts: readonly RunnerRecord[], source: string): void {
    const changed: RunnerRecord[] = [];
    for (const fact of facts) {
      const { id, position, runner, unreadable } = fact;
      if (unreadable !== undefined && !this.#directory.isKnown(fact)) {
        this.#noteUnfit(id, position, unreadable);
      }
      const gone = !runner && unreadable === undefined;
      // Another VM that tells of it knows whether its store had trouble; this one may not read it at all.
      const graceMs = gone ? (fact.graceMs ?? this.#graceMs(now, position)) : 0;
      if (this.#directory.apply(now, fact, graceMs)) {
        changed.push(gone ? { ...fact, graceMs } : fact);
        this.#checkService(fact);
        const leaving = runner?.leaving;
        if (this.#lines.tryAcquire(now)) {
          this.#log.info(
            { runner: id, ...position, gone: !runner, leaving, graceMs, source },
            'Runner changed.',
          );
        }
      }
    }
    if (changed.length > 0) this.#listener.onChange({ kind: 'runners', facts: changed });
  }

  /** A runner told of its start itself; the one that is listed may be over by it. */
  learnStart(listing: string, bornAt: number): void {
    if (!this.#directory.applyInstanceStart(listing, bornAt)) return;
    this.#log.info({ runner: listing, bornAt, source: 'report' }, 'Runner started anew.');
    this.#listener.onChange({ kind: 'runners', facts: [] });
  }

  /** The latest start that is known of a listing, in Unix milliseconds; 0 if none is. */
  latestStart(listing: string): number {
    return this.#directory.latestInstanceStart(listing);
  }

  /** An entry of a service that the configuration does not name gets no request; the configuration may still come. */
  #checkService({ id, position, runner }: RunnerRecord): void {
    if (!runner || !this.#table || this.#table.service(runner.service)) return;
    this.#noteUnfit(
      id,
      position,
      `runner ${id}: found service ${runner.service}, expected a known one`,
    );
  }

  /** One line and one count for each entry and position, however often it is read. */
  #noteUnfit(id: string, position: Position, detail: string): void {
    const { line } = new Failure('factUnreadable', detail);
    this.#log.warn({ runner: id, ...position }, line);
    this.#listener.onInvalidEntry();
  }

  /** Runners that a full list of the store no longer names are gone as of its position. */
  learnList(now: number, listed: ReadonlySet<string>, position: Position): void {
    this.#returnedAt ??= position;
    const gone = this.#directory
      .missing(listed)
      .map((id): RunnerRecord => ({ id, position, runner: undefined }));
    this.learnRunners(now, gone, 'list');
  }

  /** What is known of configuration, store and runners, for operators. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    const usable = new Set(this.#directory.usable(now).map(({ id }) => id));
    return {
      configVersion: this.configVersion,
      routes: this.#table?.config.routes.length ?? 0,
      storeAgeMs: Number.isFinite(this.#storeAt) ? Math.round(this.storeAgeMs(now)) : null,
      era: this.#history.era ?? null,
      runners: this.#directory.facts.map(({ id, position, runner }) => ({
        id,
        ...position,
        usable: usable.has(id),
        ...(runner ?? { gone: true }),
      })),
    };
  }

  /** Runners that may get work now. */
  runners(now: number): readonly Runner[] {
    return this.#directory.usable(now);
  }

  /** Those of them that serve a service. */
  runnersOf(now: number, service: string, role?: RunnerRole): readonly Runner[] {
    return this.runners(now).filter(
      (runner) => runner.service === service && (!role || runner.role === role),
    );
  }
}
