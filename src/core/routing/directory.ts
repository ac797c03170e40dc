/**
 * What is known of runners, from the store and from peers.
 *
 * Every fact carries the position of its last change in the store's history. The
 * latest wins, so an older copy from a peer, or of the store itself, never undoes a
 * newer one. Of two starts under one listing the later one wins whatever the
 * positions say: a write of the earlier start may be carried out seconds after its
 * end. A start that leaves never stays after all.
 */

import { RecordDigest, partOf } from './digest';
import type { Position } from './position';
import { START, isLater } from './position';
import type { Runner } from './types';

/** One fact: a runner as of a position, or that it is gone. */
export interface RunnerRecord {
  /** Listing of the runner. */
  readonly id: string;
  readonly position: Position;
  readonly runner: Runner | undefined;
  /** Why the entry names no runner although it is there. Default: it was read, or is gone. */
  readonly unreadable?: string;
  /** How long the runner stays in use all the same, in milliseconds, as another VM tells. Default: to be worked out here. */
  readonly graceMs?: number | undefined;
}

interface Known {
  fact: RunnerRecord;
  /** The last listed form of a runner whose entry vanished, kept while its return is likely. */
  last: Runner | undefined;
  goneAt: number;
  /** Latest start that is known, in Unix milliseconds. */
  bornAt: number;
}

/** All of a runner that matters to routing, in one text. */
function contentOf(runner: Runner | undefined): string | undefined {
  if (!runner) return undefined;
  const { id, listing, service, address, domain, role, slots, leaving } = runner;
  return [id, listing, service, address, domain, role, slots, leaving].join(' ');
}

/** How long gone runners are remembered, so that an old fact cannot bring them back, in milliseconds. */
const FORGET_MS = 60_000;

/** Runners by id. */
export class RunnerDirectory {
  readonly #known = new Map<string, Known>();

  readonly #digest = new RecordDigest();

  #position = START;

  #changes = 0;

  /** Latest position of a change that matters to routing. */
  get position(): Position {
    return this.#position;
  }

  /** Grows with each change that matters to routing, in whatever order they come in. */
  get changes(): number {
    return this.#changes;
  }

  get digest(): RecordDigest {
    return this.#digest;
  }

  get facts(): readonly RunnerRecord[] {
    return [...this.#known.values()].map(({ fact }) => fact);
  }

  /** Facts of some parts of the digest as another VM should take them over; no more parts than hold about `most` facts. */
  factsIn(now: number, parts: ReadonlySet<number>, most: number): readonly RunnerRecord[] {
    const byPart = new Map<number, RunnerRecord[]>();
    for (const { fact, goneAt } of this.#known.values()) {
      const part = partOf(fact.id);
      if (parts.has(part)) {
        const graceMs = fact.runner ? undefined : Math.max(0, goneAt - now);
        const found = byPart.get(part) ?? [];
        found.push({ ...fact, graceMs });
        byPart.set(part, found);
      }
    }
    const chosen: RunnerRecord[] = [];
    for (const facts of byPart.values()) if (chosen.length < most) chosen.push(...facts);
    return chosen;
  }

  /**
   * Takes a fact over if it is newer.
   * @param graceMs how long the runner stays in use if its entry vanished, in milliseconds
   * @returns whether anything that matters changed
   */
  apply(now: number, told: RunnerRecord, graceMs: number): boolean {
    const known = this.#known.get(told.id);
    const { bornAt = known?.bornAt ?? 0 } = told.runner ?? {};
    if (known && bornAt < known.bornAt) return false;
    const fact = join(known, told);
    if (!fact) return false;
    const before = known?.fact.runner;
    const content = contentOf(fact.runner);
    const changed = contentOf(before) !== content;
    const last = fact.runner ?? before ?? known?.last;
    // One that is gone already gets no new grace: told again, as by a copy of the store, it would come into use once more.
    const goneAt = Math.min(known?.goneAt ?? Infinity, last?.leaving ? now : now + graceMs);
    this.#known.set(fact.id, { fact, last, goneAt: fact.runner ? Infinity : goneAt, bornAt });
    if (changed) {
      if (isLater(fact.position, this.#position)) this.#position = fact.position;
      this.#changes += 1;
      this.#digest.set(fact.id, content);
    }
    return changed;
  }

  /**
   * A runner itself told of a start. The one listed is over if that is later:
   * its entry stays as it was until the new start has written its own.
   * @returns whether a start that was known is over by it
   */
  applyInstanceStart(listing: string, bornAt: number): boolean {
    const known = this.#known.get(listing);
    // An entry that does not tell its start names no start that could be over.
    if (!known || known.bornAt === 0 || bornAt <= known.bornAt) return false;
    known.bornAt = bornAt;
    this.#changes += 1;
    return true;
  }

  /** The latest start that is known of a listing, in Unix milliseconds; 0 if none is. */
  latestInstanceStart(listing: string): number {
    return this.#known.get(listing)?.bornAt ?? 0;
  }

  /** Whether a fact was taken in before, or is older than what was. */
  isKnown({ id, position }: RunnerRecord): boolean {
    const known = this.#known.get(id);
    return known !== undefined && !isLater(position, known.fact.position);
  }

  /** Runners that may get work now. */
  usable(now: number): readonly Runner[] {
    const found: Runner[] = [];
    for (const [id, { fact, last, goneAt, bornAt }] of this.#known) {
      const runner = fact.runner ?? (now < goneAt ? last : undefined);
      if (runner && !runner.leaving && runner.bornAt >= bornAt) found.push(runner);
      // An entry that cannot be read stays known while it is listed: forgotten, it would be reported again.
      if (now > goneAt + FORGET_MS && fact.unreadable === undefined) this.#known.delete(id);
    }
    return found;
  }

  /** Ids that the store's full list did not name although they are listed here. */
  missing(listed: ReadonlySet<string>): readonly string[] {
    return [...this.#known.values()]
      .filter(({ fact }) => fact.runner !== undefined && !listed.has(fact.id))
      .map(({ fact }) => fact.id);
  }
}

/**
 * The later of two facts; undefined if that is the known one. That a start leaves
 * goes into either: an older copy of the store shows it as it was before it said so,
 * and work that it gets by that is lost with it.
 */
function join(known: Known | undefined, told: RunnerRecord): RunnerRecord | undefined {
  if (!known) return told;
  const { fact, last } = known;
  if (isLater(told.position, fact.position)) {
    return saysLeaving(last, told.runner) ? { ...told, runner: last } : told;
  }
  return saysLeaving(told.runner, fact.runner) ? { ...fact, runner: told.runner } : undefined;
}

/** Whether one form of a runner says that it leaves, of which the other, of the same start, does not. */
function saysLeaving(one: Runner | undefined, other: Runner | undefined): boolean {
  return one?.leaving === true && other?.leaving === false && one.id === other.id;
}
