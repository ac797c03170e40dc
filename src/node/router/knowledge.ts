/**
 * The router's blackboard: configuration, runners and where they were heard of.
 * The feed and the peers write to it; the request paths read it.
 */

import type { Logger } from 'pino';

import type { RunnerFact } from '../../core/routing/directory';
import { RunnerDirectory } from '../../core/routing/directory';
import { RouteTable } from '../../core/routing/table';
import type { Runner, RunnerRole, RoutingConfig } from '../../core/routing/types';

/** How long after trouble with the store a vanished entry may be one that lapsed meanwhile, in milliseconds. */
const LAPSE_MS = 3000;

/** What one VM knows. */
export class Knowledge {
  readonly #log: Logger;

  readonly #directory = new RunnerDirectory();

  #table: RouteTable | undefined;

  #rawConfig = '';

  /** Steady time of the last word of the store. */
  #storeAt = -Infinity;

  /** Steady time of the last failed call to the store. */
  #troubleAt = -Infinity;

  readonly #onNews: (kind: 'config' | 'runners', source: string) => void;

  /** @param onNews called when a newer configuration or a change of the runners came in, and from where */
  constructor(log: Logger, onNews: (kind: 'config' | 'runners', source: string) => void) {
    this.#log = log;
    this.#onNews = onNews;
  }

  /** Undefined until a configuration is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  get rawConfig(): string {
    return this.#rawConfig;
  }

  get configVersion(): number {
    return this.#table?.config.version ?? 0;
  }

  get runnersRevision(): number {
    return this.#directory.revision;
  }

  get facts(): readonly RunnerFact[] {
    return this.#directory.facts;
  }

  heardStore(now: number): void {
    this.#storeAt = now;
  }

  storeFailed(now: number): void {
    this.#troubleAt = now;
  }

  /** Whether an entry that vanishes now may have lapsed while the store was in trouble. */
  mayHaveLapsed(now: number): boolean {
    return now - this.#troubleAt < LAPSE_MS;
  }

  /** Time since the store was last heard, in milliseconds. */
  storeAge(now: number): number {
    return now - this.#storeAt;
  }

  /** Takes a configuration over if it is newer; a VM never goes back to an older one. */
  learnConfig(now: number, config: RoutingConfig, raw: string, source: string): boolean {
    if (this.#table && config.version <= this.#table.config.version) return false;
    const before = this.configVersion;
    this.#table = new RouteTable(config);
    this.#rawConfig = raw;
    const { version, routes } = config;
    const storeAgeMs = Math.round(this.storeAge(now));
    this.#log.info({ version, before, routes: routes.length, source, storeAgeMs }, 'New config.');
    this.#onNews('config', source);
    return true;
  }

  /** Takes facts of runners over, each if it is newer. */
  learnRunners(now: number, facts: readonly RunnerFact[], source: string): void {
    const lapsed = this.mayHaveLapsed(now);
    let changed = false;
    for (const fact of facts) {
      if (this.#directory.learn(now, fact, lapsed)) {
        changed = true;
        const { id, revision, runner } = fact;
        const leaving = runner?.leaving;
        this.#log.info(
          { runner: id, revision, gone: !runner, leaving, lapsed, source },
          'Runner changed.',
        );
      }
    }
    if (changed) this.#onNews('runners', source);
  }

  /** Runners that a full list of the store no longer names are gone as of its revision. */
  learnList(now: number, listed: ReadonlySet<string>, revision: number): void {
    const gone = this.#directory
      .missing(listed)
      .map((id): RunnerFact => ({ id, revision, runner: undefined }));
    this.learnRunners(now, gone, 'list');
  }

  /** Runners of a service that may get work now. */
  runnersOf(now: number, service: string, role?: RunnerRole): readonly Runner[] {
    return this.#directory
      .usable(now)
      .filter((runner) => runner.service === service && (!role || runner.role === role));
  }
}
