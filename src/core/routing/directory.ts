/**
 * Runner records, collected from the store and from peers.
 *
 * Each record carries the position of its last change in the store's history. The latest
 * position wins, so an older copy from a peer or of the store itself never undoes a newer
 * record. Of two instances under one listing the one started later wins whatever their
 * positions: a write of the earlier instance may be carried out seconds after it ended.
 * An instance that announced that it leaves, in its entry or in an answer, never becomes
 * available again. One that is held, because the store's record of software versions lacks its
 * version, becomes available as soon as any VM says that it is held no longer.
 */

import { RecordDigest, partOf } from './digest';
import type { Position } from './position';
import { START, isLater, ordinalOf } from './position';
import type { Runner } from './types';
import { VersionHistory } from '../versions/history';

/** A runner as of a position, or the information that it was removed. */
export interface RunnerRecord {
  /** Id under which the runner is listed. */
  readonly id: string;
  readonly position: Position;
  readonly runner: Runner | undefined;
  /** Why an existing entry could not be decoded. Default: it was decoded or is removed. */
  readonly unreadable?: string;
  /** How much longer the removed runner stays in use, in milliseconds, as reported by another VM. Default: determined by the receiver. */
  readonly graceMs?: number | undefined;
  /** Whether the store's record of software versions lacks the runner's version. Default: it does not */
  readonly held?: boolean | undefined;
}

interface Entry {
  record: RunnerRecord;
  /** The last listed state of a runner whose entry was removed, kept while it may return. */
  last: Runner | undefined;
  goneAt: number;
  /** Start time of the latest known instance, in Unix milliseconds. */
  bornAt: number;
  /** Until when the runner is held; minus infinity if it is not. */
  heldUntil: number;
}

/** The fields of a record that matter to routing, as one string. */
function contentOf({ runner, held }: RunnerRecord): string | undefined {
  if (!runner) return undefined;
  const { id, listing, service, address, domain, role, version, slots, leaving } = runner;
  const fields = [id, listing, service, address, domain, role, version, slots, leaving];
  return [...fields, ...(held ? ['held'] : [])].join(' ');
}

/** How long removed runners are remembered, in milliseconds, so that a stale record cannot restore them. */
const RETENTION_MS = 60_000;

/** Most records of removed entries that never named a runner here: other writers may leave any number. */
const MAX_WITHOUT_RUNNER = 1000;

/**
 * How long a runner is held at most, in milliseconds: several attempts to write the record. Where
 * the store takes no writes, the runner is needed more than the record.
 */
const MAX_HOLD_MS = 3000;

/** Runner records by listing. */
export class RunnerDirectory {
  readonly #entries = new Map<string, Entry>();

  readonly #digest = new RecordDigest();

  /** Ids of the records that have never named a runner here. */
  readonly #withoutRunner = new Set<string>();

  /** Software versions of the listed runners. */
  readonly versions = new VersionHistory();

  #position = START;

  #changes = 0;

  /** Latest position of a change that matters to routing. */
  get position(): Position {
    return this.#position;
  }

  /** Counts the changes that matter to routing, in whatever order they arrive. */
  get changes(): number {
    return this.#changes;
  }

  /** Digest of all records. */
  get digest(): RecordDigest {
    return this.#digest;
  }

  /** All records, those of removed runners included. */
  get facts(): readonly RunnerRecord[] {
    return [...this.#entries.values()].map(({ record }) => record);
  }

  /** Records of some parts of the digest, for another VM. Includes whole parts until about `most` records are reached. */
  factsIn(now: number, parts: ReadonlySet<number>, most: number): readonly RunnerRecord[] {
    const chosen: RunnerRecord[] = [];
    for (const records of this.#recordsByPart(now, parts).values()) {
      if (chosen.length < most) chosen.push(...records);
    }
    return chosen;
  }

  /** The `most` latest records of some parts of the digest, for another VM. */
  latestIn(now: number, parts: ReadonlySet<number>, most: number): readonly RunnerRecord[] {
    return [...this.#recordsByPart(now, parts).values()]
      .flat()
      .sort((a, b) => ordinalOf(b.position) - ordinalOf(a.position))
      .slice(0, most);
  }

  #recordsByPart(
    now: number,
    parts: ReadonlySet<number>,
  ): ReadonlyMap<number, readonly RunnerRecord[]> {
    const byPart = new Map<number, RunnerRecord[]>();
    for (const { record, goneAt } of this.#entries.values()) {
      const part = partOf(record.id);
      if (parts.has(part)) {
        const graceMs = record.runner ? undefined : Math.max(0, goneAt - now);
        const found = byPart.get(part) ?? [];
        found.push({ ...record, graceMs });
        byPart.set(part, found);
      }
    }
    return byPart;
  }

  /**
   * Applies a record if it is newer than the known one.
   * @param graceMs how long the runner stays in use if its entry was removed, in milliseconds
   * @returns whether anything that matters to routing changed
   */
  apply(now: number, update: RunnerRecord, graceMs: number): boolean {
    const known = this.#entries.get(update.id);
    const { bornAt = known?.bornAt ?? 0 } = update.runner ?? {};
    if (known && bornAt < known.bornAt) return false;
    if (!known && !this.#isKept(update)) return false;
    const record = latestOf(known, update);
    if (!record) return false;
    const before = known?.record.runner;
    const content = contentOf(record);
    const changed = (known && contentOf(known.record)) !== content;
    this.versions.changed(now, before, record.runner);
    const last = record.runner ?? before ?? known?.last;
    // A runner that is already removed gets no new grace period: a repeated report, for example from a copy of the store, would bring it back into use.
    const goneAt = Math.min(known?.goneAt ?? Infinity, last?.leaving ? now : now + graceMs);
    if (last) this.#withoutRunner.delete(record.id);
    else this.#withoutRunner.add(record.id);
    this.#entries.set(record.id, {
      record,
      last,
      goneAt: record.runner ? Infinity : goneAt,
      bornAt,
      heldUntil: heldUntil(now, known, record),
    });
    if (changed) {
      if (isLater(record.position, this.#position)) this.#position = record.position;
      this.#changes += 1;
      this.#digest.set(record.id, content);
    }
    return changed;
  }

  /** Whether the first record of an id is kept: one that names no runner only tells that older ones do not hold. */
  #isKept({ runner, unreadable }: RunnerRecord): boolean {
    if (runner) return true;
    return unreadable === undefined && this.#withoutRunner.size < MAX_WITHOUT_RUNNER;
  }

  /**
   * Applies the start time that a runner reported itself. If it is later than that of the
   * listed instance, the listed instance has ended; its entry stays as it is until the new
   * instance has written its own.
   * @returns whether a known instance has ended by this
   */
  applyInstanceStart(listing: string, bornAt: number): boolean {
    const known = this.#entries.get(listing);
    // An entry without a start time names no instance that could have ended.
    if (!known || known.bornAt === 0 || bornAt <= known.bornAt) return false;
    known.bornAt = bornAt;
    this.#changes += 1;
    return true;
  }

  /**
   * Applies the announcement of an instance in an answer that it leaves. Its entry says so later,
   * or never if the store is down.
   * @returns the changed record; undefined if the instance is not the latest known one or is
   * already known to leave
   */
  applyLeaving(now: number, { id, listing }: Runner): RunnerRecord | undefined {
    const known = this.#entries.get(listing);
    const current = known?.record.runner ?? known?.last;
    if (!known || current?.id !== id || current.leaving) return undefined;
    known.last = { ...current, leaving: true };
    if (known.record.runner) known.record = { ...known.record, runner: known.last };
    else known.goneAt = Math.min(known.goneAt, now);
    this.#changes += 1;
    this.#digest.set(listing, contentOf(known.record));
    return known.record.runner ? known.record : { ...known.record, graceMs: 0 };
  }

  /** Start time of the latest known instance of a listing, in Unix milliseconds; 0 if none is known. */
  latestInstanceStart(listing: string): number {
    return this.#entries.get(listing)?.bornAt ?? 0;
  }

  /** Whether there is a record of a listing. */
  has(id: string): boolean {
    return this.#entries.has(id);
  }

  /** Whether the known record is as late as this one or later. */
  isKnown({ id, position }: RunnerRecord): boolean {
    const known = this.#entries.get(id);
    return known !== undefined && !isLater(position, known.record.position);
  }

  /** Records of the runners that are held. */
  get held(): readonly RunnerRecord[] {
    return this.facts.filter(({ held }) => held);
  }

  /**
   * Runners that may receive work now. Those that are held are among them only where no other
   * runner of their service and role is left.
   */
  usable(now: number): readonly Runner[] {
    const found: Runner[] = [];
    const held: Runner[] = [];
    for (const [id, entry] of this.#entries) {
      const { record, goneAt } = entry;
      const runner = usableIn(now, entry);
      if (runner) (now < entry.heldUntil ? held : found).push(runner);
      // An entry that cannot be decoded is kept while it is listed; if it were forgotten, it would be reported again.
      if (now > goneAt + RETENTION_MS && record.unreadable === undefined) this.#forget(id);
    }
    const needed = held.filter((runner) => !found.some((other) => isSubstitute(other, runner)));
    return needed.length === 0 ? found : [...found, ...needed];
  }

  #forget(id: string): void {
    this.#entries.delete(id);
    this.#withoutRunner.delete(id);
  }

  /** Whether an instance may receive work of its service now. */
  isUsable(now: number, { id, listing, service }: Runner): boolean {
    const entry = this.#entries.get(listing);
    if (!entry) return false;
    const runner = usableIn(now, entry);
    if (runner?.id !== id || runner.service !== service) return false;
    return now >= entry.heldUntil || this.usable(now).includes(runner);
  }

  /** Listings that have a runner here but are missing from the store's full list. */
  missing(listed: ReadonlySet<string>): readonly string[] {
    return [...this.#entries.values()]
      .filter(({ record }) => record.runner !== undefined && !listed.has(record.id))
      .map(({ record }) => record.id);
  }
}

/** The runner of an entry that may receive work now; undefined if there is none. */
function usableIn(now: number, { record, last, goneAt, bornAt }: Entry): Runner | undefined {
  const runner = record.runner ?? (now < goneAt ? last : undefined);
  return runner && !runner.leaving && runner.bornAt >= bornAt ? runner : undefined;
}

/** Whether one runner can take the work of another. */
function isSubstitute(one: Runner, other: Runner): boolean {
  return one.service === other.service && one.role === other.role;
}

/** Until when a runner is held from its record on; minus infinity if it is not. A further record does not extend that. */
function heldUntil(now: number, known: Entry | undefined, { runner, held }: RunnerRecord): number {
  if (!runner) return known?.heldUntil ?? -Infinity;
  if (!held) return -Infinity;
  const isContinued = known?.record.held === true && known.record.runner?.id === runner.id;
  return isContinued ? known.heldUntil : now + MAX_HOLD_MS;
}

/** Whether two records are of one instance with the same software version. */
function isSameRelease({ runner: one }: RunnerRecord, { runner: other }: RunnerRecord): boolean {
  return one !== undefined && one.id === other?.id && one.version === other.version;
}

/**
 * What a record changes; undefined if nothing. Whichever record says that the instance is not held,
 * that holds: some VM has found its version in the store.
 */
function latestOf(known: Entry | undefined, update: RunnerRecord): RunnerRecord | undefined {
  if (!known) return update;
  const { record } = known;
  const later = laterOf(known, update);
  const isHeldByOne = Boolean(record.held) !== Boolean(update.held);
  if (!isHeldByOne || !isSameRelease(record, update)) return later;
  if (later) return { ...later, held: false };
  return record.held ? { ...record, held: false } : undefined;
}

/**
 * The later of two records; undefined if that is the known one. The announcement that an
 * instance leaves is kept in either: an older copy of the store shows the instance as it
 * was before, and work sent to it on that basis would be lost with it.
 */
function laterOf({ record, last }: Entry, update: RunnerRecord): RunnerRecord | undefined {
  const versioned = withVersion(record, update);
  if (versioned) return versioned;
  if (isLater(update.position, record.position)) {
    return announcesLeaving(last, update.runner) ? { ...update, runner: last } : update;
  }
  return announcesLeaving(update.runner, record.runner)
    ? { ...record, runner: update.runner }
    : undefined;
}

/** A record with the software version that it lacks, as one of a VM whose program does not know versions; undefined if another one does not have it either. */
function withVersion(
  known: RunnerRecord,
  { position, runner }: RunnerRecord,
): RunnerRecord | undefined {
  const isSame =
    ordinalOf(known.position) === ordinalOf(position) && known.runner?.id === runner?.id;
  if (!known.runner || !runner || !isSame) return undefined;
  if (known.runner.version !== '' || runner.version === '') return undefined;
  return { ...known, runner: { ...known.runner, version: runner.version } };
}

/** Whether one state of a runner announces that it leaves and the other, of the same instance, does not. */
function announcesLeaving(one: Runner | undefined, other: Runner | undefined): boolean {
  return one?.leaving === true && other?.leaving === false && one.id === other.id;
}
