/**
 * Simulates, under virtual time, a store that can be restored from an older copy, and the
 * runners that write to it. VMs read it as the router does: a range, then changes, and
 * the range again if the history is missing or belongs to another era.
 */

import pino from 'pino';
import type { RunnerRecord } from '../../../src/core/routing/directory';
import type { Position } from '../../../src/core/routing/position';
import { StoreHistory } from '../../../src/core/routing/position';
import type { Runner } from '../../../src/core/routing/types';

import type { StateChange } from '../../../src/node/router/routingstatelistener';
import { RoutingState } from '../../../src/node/router/routingstate';
import { runnerOf } from '../runner';

interface StoreEntry {
  readonly revision: number;
  /** Undefined if the entry was removed. */
  readonly runner: Runner | undefined;
}

interface Copy {
  readonly at: number;
  readonly revision: number;
  readonly items: ReadonlyMap<string, StoreEntry>;
}

/** Interval of a runner's heartbeats, in milliseconds. */
const HEARTBEAT_MS = 1200;
/** Time since the last heartbeat after which an entry is removed, in milliseconds. */
const ENTRY_TTL_MS = 3 * HEARTBEAT_MS;
/** Time for which a leaving runner continues to serve, in milliseconds. */
const DRAIN_MS = 2000;
const COPY_INTERVAL_MS = 500;

/** A simulated store and its copies. */
export class HistoryStore {
  era = 1;

  revision = 0;

  #items = new Map<string, StoreEntry>();

  readonly #copies: Copy[] = [];

  get position(): Position {
    return { era: this.era, revision: this.revision };
  }

  /** Writes an entry at a new revision; an undefined runner removes it. */
  write(id: string, runner: Runner | undefined): void {
    this.revision += 1;
    this.#items.set(id, { revision: this.revision, runner });
  }

  /** Whether an entry exists that was not removed. */
  has(id: string): boolean {
    return this.#items.get(id)?.runner !== undefined;
  }

  /** Makes a copy at each copy interval. */
  tick(now: number): void {
    if (now % COPY_INTERVAL_MS !== 0) return;
    this.#copies.push({ at: now, revision: this.revision, items: new Map(this.#items) });
  }

  /** Restores the newest copy of at least this age, with a new era; does nothing if there is none. */
  restore(now: number, ageMs: number): void {
    const copy = this.#copies.filter(({ at }) => at <= now - ageMs).at(-1);
    if (!copy) return;
    this.era += 1;
    this.revision = copy.revision;
    this.#items = new Map(copy.items);
    while ((this.#copies.at(-1)?.at ?? -1) > copy.at) this.#copies.pop();
  }

  /** All entries that were not removed. */
  get listed(): readonly [string, StoreEntry][] {
    return [...this.#items].filter(([, { runner }]) => runner !== undefined);
  }

  /** Changes after a revision; undefined if the revision is newer than the store's. */
  changes(after: number): readonly [string, StoreEntry][] | undefined {
    if (after > this.revision) return undefined;
    return [...this.#items].filter(([, { revision }]) => revision > after);
  }
}

/** Actual state of a runner, independent of the store's content. */
export class SimulatedRunner {
  readonly runner: Runner;

  #heartbeatDueAt: number;

  #writtenAt: number;

  #stopsAt = Infinity;

  /** Store position at which it wrote that it leaves, or at which its entry was removed; undefined while it stays. */
  leavePosition: Position | undefined;

  #crashed = false;

  constructor(now: number, id: string) {
    this.runner = runnerOf(id, 'plain');
    this.#heartbeatDueAt = now;
    this.#writtenAt = now;
  }

  get isActive(): boolean {
    return !this.#crashed && this.#stopsAt === Infinity;
  }

  get isLeaving(): boolean {
    return this.#stopsAt !== Infinity;
  }

  /** Writes that it leaves, and stops after the drain time. */
  leave(now: number, store: HistoryStore): void {
    if (!this.isActive) return;
    this.#stopsAt = now + DRAIN_MS;
    store.write(this.runner.id, { ...this.runner, leaving: true });
    this.leavePosition = store.position;
  }

  /** Leaves without announcing it: its entry is removed at once, and it stops after the drain time. */
  remove(now: number, store: HistoryStore): void {
    if (!this.isActive) return;
    this.#stopsAt = now + DRAIN_MS;
    this.#heartbeatDueAt = Infinity;
    store.write(this.runner.id, undefined);
    this.leavePosition = store.position;
  }

  crash(): void {
    this.#crashed = true;
  }

  /** Writes a heartbeat that is due while the runner is up; removes its entry after it left or the entry expired. */
  tick(now: number, store: HistoryStore): void {
    const { id } = this.runner;
    const isUp = !this.#crashed && now < this.#stopsAt;
    if (isUp && now >= this.#heartbeatDueAt) {
      store.write(id, { ...this.runner, leaving: this.isLeaving });
      this.#heartbeatDueAt = now + HEARTBEAT_MS;
      this.#writtenAt = now;
    }
    const isExpired = now - this.#writtenAt >= ENTRY_TTL_MS;
    if (!isUp && store.has(id) && (this.isLeaving || isExpired)) store.write(id, undefined);
  }
}

/** A simulated VM: its state and its read position in the store. */
export class HistoryVm {
  readonly history = new StoreHistory();

  readonly routingState: RoutingState;

  /** Time until which it cannot reach the store. */
  storeLostUntil = 0;

  #cursor: { era: number; revision: number } | undefined;

  constructor(onNews: (news: StateChange) => void) {
    const log = pino({ level: 'silent' });
    this.routingState = new RoutingState(this.history, log, {
      onChange: onNews,
      onInvalidEntry: () => {},
    });
  }

  /** Reads what is new in the store. */
  readStore(now: number, store: HistoryStore): void {
    if (now < this.storeLostUntil) {
      this.routingState.storeFailed();
      this.#cursor = undefined;
      return;
    }
    const { era, revision } = store;
    const changes = this.#cursor?.era === era ? store.changes(this.#cursor.revision) : undefined;
    this.#cursor = { era, revision };
    this.routingState.storeAnswered(now);
    if (changes) {
      this.routingState.learnRunners(now, this.#records(changes), 'store');
      return;
    }
    if (era !== this.history.era) this.routingState.learnEras(now, [{ era, revision }], 'store');
    this.routingState.learnRunners(now, this.#records(store.listed), 'store');
    const ids = new Set(store.listed.map(([id]) => id));
    this.routingState.learnList(now, ids, { era, revision });
  }

  /** Fetches the state of another VM that differs from its own. */
  fetchFrom(now: number, other: HistoryVm): void {
    this.routingState.learnEras(now, other.routingState.eras, 'peer');
    const records = other.routingState.recordsDiffering(now, this.routingState.digestParts, 1000);
    this.routingState.learnRunners(now, records, 'peer');
  }

  /** Runners that it would send requests to. */
  usable(now: number): readonly Runner[] {
    return this.routingState.runnersOf(now, 's');
  }

  #records(items: readonly [string, StoreEntry][]): readonly RunnerRecord[] {
    return items.map(([id, { revision, runner }]) => ({
      id,
      position: this.history.positionOf(revision),
      runner,
    }));
  }
}
