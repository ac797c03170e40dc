/**
 * A store under virtual time that may come back from an older copy of itself, and the
 * runners that write to it. VMs read it as the feed does: a range, then changes, and
 * a range again where the history is missing or of another era.
 */

import pino from 'pino';
import type { RunnerRecord } from '../../../src/core/routing/directory';
import type { Position } from '../../../src/core/routing/position';
import { StoreHistory } from '../../../src/core/routing/position';
import type { Runner } from '../../../src/core/routing/types';

import type { StateChange } from '../../../src/node/router/routingstate';
import { RoutingState } from '../../../src/node/router/routingstate';
import { runnerOf } from '../runner';

interface Item {
  readonly revision: number;
  /** Undefined if it was removed. */
  readonly runner: Runner | undefined;
}

interface Copy {
  readonly at: number;
  readonly revision: number;
  readonly items: ReadonlyMap<string, Item>;
}

/** Heartbeat of a runner, and the silence after which its entry is removed, in milliseconds. */
const BEAT_MS = 1200;
const LAPSE_MS = 3 * BEAT_MS;
/** Time for which a leaving runner serves, in milliseconds. */
const LEAVE_MS = 2000;
const COPY_MS = 500;

/** A store and its copies. */
export class HistoryStore {
  era = 1;

  revision = 0;

  #items = new Map<string, Item>();

  readonly #copies: Copy[] = [];

  get position(): Position {
    return { era: this.era, revision: this.revision };
  }

  write(id: string, runner: Runner | undefined): void {
    this.revision += 1;
    this.#items.set(id, { revision: this.revision, runner });
  }

  has(id: string): boolean {
    return this.#items.get(id)?.runner !== undefined;
  }

  /** Keeps a copy from time to time. */
  tick(now: number): void {
    if (now % COPY_MS !== 0) return;
    this.#copies.push({ at: now, revision: this.revision, items: new Map(this.#items) });
  }

  comeBack(now: number, ageMs: number): void {
    const copy = this.#copies.filter(({ at }) => at <= now - ageMs).at(-1);
    if (!copy) return;
    this.era += 1;
    this.revision = copy.revision;
    this.#items = new Map(copy.items);
    while ((this.#copies.at(-1)?.at ?? -1) > copy.at) this.#copies.pop();
  }

  /** All entries that are there. */
  get listed(): readonly [string, Item][] {
    return [...this.#items].filter(([, { runner }]) => runner !== undefined);
  }

  /** Changes after a revision; undefined if there is no such history. */
  changes(after: number): readonly [string, Item][] | undefined {
    if (after > this.revision) return undefined;
    return [...this.#items].filter(([, { revision }]) => revision > after);
  }
}

/** A runner as it is, whatever the store says. */
export class TrueRunner {
  readonly runner: Runner;

  #beatAt: number;

  #writtenAt: number;

  #leftAt = Infinity;

  /** Where it wrote that it leaves, or removed its entry. Default: it stays. */
  leftWith: Position | undefined;

  #crashed = false;

  constructor(now: number, id: string) {
    this.runner = runnerOf(id, 'plain');
    this.#beatAt = now;
    this.#writtenAt = now;
  }

  get isLiving(): boolean {
    return !this.#crashed && this.#leftAt === Infinity;
  }

  get isLeaving(): boolean {
    return this.#leftAt !== Infinity;
  }

  leave(now: number, store: HistoryStore): void {
    if (!this.isLiving) return;
    this.#leftAt = now + LEAVE_MS;
    store.write(this.runner.id, { ...this.runner, leaving: true });
    this.leftWith = store.position;
  }

  /** Leaves without a word: its entry is removed, and it serves for as long. */
  vanish(now: number, store: HistoryStore): void {
    if (!this.isLiving) return;
    this.#leftAt = now + LEAVE_MS;
    this.#beatAt = Infinity;
    store.write(this.runner.id, undefined);
    this.leftWith = store.position;
  }

  crash(): void {
    this.#crashed = true;
  }

  /** Writes its heartbeat if it is there, and is removed once it is not. */
  tick(now: number, store: HistoryStore): void {
    const { id } = this.runner;
    const isThere = !this.#crashed && now < this.#leftAt;
    if (isThere && now >= this.#beatAt) {
      store.write(id, { ...this.runner, leaving: this.isLeaving });
      this.#beatAt = now + BEAT_MS;
      this.#writtenAt = now;
    }
    const lapsed = now - this.#writtenAt >= LAPSE_MS;
    if (!isThere && store.has(id) && (this.isLeaving || lapsed)) store.write(id, undefined);
  }
}

/** A VM: what it knows, and where it stands in the store. */
export class HistoryVm {
  readonly history = new StoreHistory();

  readonly knowledge: RoutingState;

  /** Until when it cannot reach the store. */
  cutUntil = 0;

  #followed: { era: number; revision: number } | undefined;

  constructor(onNews: (news: StateChange) => void) {
    const log = pino({ level: 'silent' });
    this.knowledge = new RoutingState(this.history, log, {
      onChange: onNews,
      onInvalidEntry: () => {},
    });
  }

  read(now: number, store: HistoryStore): void {
    if (now < this.cutUntil) {
      this.knowledge.storeFailed(now);
      this.#followed = undefined;
      return;
    }
    const { era, revision } = store;
    const changes =
      this.#followed?.era === era ? store.changes(this.#followed.revision) : undefined;
    this.#followed = { era, revision };
    this.knowledge.storeAnswered(now);
    if (changes) {
      this.knowledge.learnRunners(now, this.#facts(changes), 'store');
      return;
    }
    if (era !== this.history.era) this.knowledge.learnEras(now, [{ era, revision }], 'store');
    this.knowledge.learnRunners(now, this.#facts(store.listed), 'store');
    const ids = new Set(store.listed.map(([id]) => id));
    this.knowledge.learnList(now, ids, { era, revision });
  }

  /** Takes over what another VM knows. */
  ask(now: number, other: HistoryVm): void {
    this.knowledge.learnEras(now, other.knowledge.eras, 'peer');
    const facts = other.knowledge.recordsDiffering(now, this.knowledge.digestParts, 1000);
    this.knowledge.learnRunners(now, facts, 'peer');
  }

  usable(now: number): readonly Runner[] {
    return this.knowledge.runnersOf(now, 's');
  }

  #facts(items: readonly [string, Item][]): readonly RunnerRecord[] {
    return items.map(([id, { revision, runner }]) => ({
      id,
      position: this.history.positionOf(revision),
      runner,
    }));
  }
}
