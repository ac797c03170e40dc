/**
 * Odd entries of another writer, as planned work: some at a time, among those of the runners, in place of one of them or
 * under the router's own prefix, while runners are registered and leave.
 */

import type { Server } from 'node:net';
import { createServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { FakeStore } from '../../test/fakes/store';
import type { OddEntry, OddValue, SoundEntry } from './oddvalues';
import { drawOwn, drawRunner, ODD_ID, OWN_KIND, runnerKinds, RUNNERS } from './oddvalues';
import type { Newcomers } from './newcomers';
import type { PooledRunner, RunnerPool } from './pool';
import { RUNNER_PORT } from './vm';

/** Names of the kinds. */
export const oddKinds: readonly string[] = [...Object.keys(runnerKinds), OWN_KIND];

/** Time for which odd entries come, and time without any, alternately. */
const PHASE_MS = 7000;
const REST_MS = 8000;
/** Mean time between two series, and time for which one stands. */
const INTERVAL_MS = 1200;
const MIN_STANDING_MS = 500;
const MAX_EXTRA_MS = 3000;
/** Most entries of a series, and the longest pause between two. */
const MAX_SERIES = 5;
const MAX_WRITE_PAUSE_MS = 300;
/** Fraction of series among the runners that change the entry of a sound one. */
const CHANGE_RATIO = 0.35;
/** Shortest phase in which a runner is registered. */
const MIN_PHASE_MS = 6000;
/** Part of a key that is printed. */
const MAX_SHOWN_CHARS = 40;
/** Time after its removal for which VMs may still know an entry. */
const AFTER_MS = 1000;

/** Dependencies of the entries. */
export interface OddContext {
  readonly random: () => number;
  /** Kinds to draw from. */
  readonly kinds: readonly string[];
  readonly store: FakeStore;
  readonly pool: RunnerPool;
  /** First two parts of all addresses. */
  readonly networkPrefix: string;
  /** Called when an entry is written; returns what to call when it is removed. */
  readonly onEntry: (kind: string, what: string) => () => void;
  /** Runners that are registered beside odd entries. */
  readonly newcomers: Newcomers;
}

/** Writes odd entries and removes them. */
export class OddEntries {
  readonly #context: OddContext;

  /** Accepts connections and never answers. */
  readonly #silent: Server = createServer(() => undefined);

  /** Keys of its own that it has written. */
  readonly #written = new Set<string>();

  readonly #standing = new Map<string, OddValue>();

  readonly #spans: { readonly from: number; to: number }[] = [];

  /** Runners whose own entry is odd. */
  readonly #changed = new Set<PooledRunner>();

  readonly #counts: Record<string, number> = {};

  #count = 0;

  constructor(context: OddContext) {
    this.#context = context;
  }

  /** Number of odd entries so far, by kind. */
  get counts(): Readonly<Record<string, number>> {
    return this.#counts;
  }

  /** Whether an odd entry stood at a time (epoch milliseconds), or shortly before. */
  wasStanding(at: number): boolean {
    return this.#spans.some(({ from, to }) => from <= at && at <= to + AFTER_MS);
  }

  /** Writes entries until `until` (epoch milliseconds), and removes all. */
  async run(until: number): Promise<void> {
    const { random } = this.#context;
    await new Promise<void>((resolve) => {
      this.#silent.listen(RUNNER_PORT, this.#silentHost, resolve);
    });
    const work: Promise<void>[] = [];
    while (Date.now() < until) {
      await pause(Math.min(REST_MS * (0.5 + random()), Math.max(0, until - Date.now())));
      const end = Math.min(until, Date.now() + PHASE_MS);
      if (end > Date.now() + MIN_PHASE_MS) work.push(this.#context.newcomers.run());
      while (Date.now() < end) {
        work.push(this.#writeSeries());
        await pause(INTERVAL_MS * (0.5 + random()));
      }
    }
    await Promise.all(work);
    this.#silent.close();
  }

  /** Removes entries that an older copy of the store brought back. */
  clean(): void {
    for (const key of this.#written) if (!this.#standing.has(key)) this.#context.store.remove(key);
  }

  get #silentHost(): string {
    return `${this.#context.networkPrefix}.5.1`;
  }

  async #writeSeries(): Promise<void> {
    const { random, kinds } = this.#context;
    const kind = kinds[Math.floor(random() * kinds.length)] ?? '';
    const isOwn = kind === OWN_KIND;
    if (!isOwn && random() < CHANGE_RATIO) {
      await this.#change(kind);
      return;
    }
    const work: Promise<void>[] = [];
    const entries = 1 + Math.floor(random() * MAX_SERIES);
    for (let i = 0; i < entries; i += 1) {
      this.#count += 1;
      const number = this.#count;
      const entry = isOwn
        ? drawOwn(random, number, this.#drawAddress())
        : drawRunner(random, kind, number, this.#drawSound());
      work.push(this.#write(kind, entry));
      await pause(random() * MAX_WRITE_PAUSE_MS);
    }
    await Promise.all(work);
  }

  /** Where nobody listens, or nobody answers. */
  #drawAddress(): string {
    const { random, networkPrefix } = this.#context;
    const host = random() < 0.5 ? this.#silentHost : `${networkPrefix}.5.2`;
    return `${host}:${RUNNER_PORT}`;
  }

  /** A sound entry but for its address. */
  #drawSound(): SoundEntry {
    const { random, pool } = this.#context;
    const member = pool.members[Math.floor(random() * pool.members.length)];
    const entry = member?.runner.entry(this.#drawAddress()) as SoundEntry;
    return { ...entry, state: 'ready', born: Date.now() };
  }

  /** Writes an entry and puts the one before it back, unless somebody else has written since. */
  async #write(kind: string, entry: OddEntry): Promise<void> {
    const { store } = this.#context;
    const { key, value } = entry;
    if (this.#standing.has(key)) return;
    const before = store.textOf(key);
    if (key.includes(ODD_ID)) this.#written.add(key);
    await this.#stand(kind, entry, () => {
      if (store.encodedOf(key) !== encodedOf(value)) return;
      if (before === undefined) store.remove(key);
      else store.put(key, before);
    });
  }

  /** Changes the entry of a sound runner, which is written again later. */
  async #change(kind: string): Promise<void> {
    const { random, pool, store } = this.#context;
    const free = pool.members.filter(
      (member) =>
        member.runner.isUp &&
        !member.runner.isLeaving &&
        !this.#changed.has(member) &&
        store.encodedOf(RUNNERS + member.runner.runnerId) !== undefined,
    );
    const member = free[Math.floor(random() * free.length)];
    if (!member) return;
    const { runner, address } = member;
    const key = RUNNERS + runner.runnerId;
    const { what, value } = drawRunner(random, kind, 0, runner.entry(address) as SoundEntry);
    this.#changed.add(member);
    await this.#stand(kind, { key, what, value }, () => {
      // It may be gone, or have expired because its runner is lost.
      if (!pool.find(runner.runnerId)) store.remove(key);
      else if (store.encodedOf(key) !== undefined) pool.publish(runner);
    });
    this.#changed.delete(member);
  }

  async #stand(kind: string, { key, what, value }: OddEntry, end: () => void): Promise<void> {
    const { random, store, onEntry } = this.#context;
    this.#counts[kind] = (this.#counts[kind] ?? 0) + 1;
    this.#standing.set(key, value);
    const onEnd = onEntry(kind, `${key.slice(0, MAX_SHOWN_CHARS)}: ${what}`);
    const span = { from: Date.now(), to: Infinity };
    this.#spans.push(span);
    if (typeof value === 'object' && 'encoded' in value) store.putEncoded(key, value.encoded);
    else store.put(key, value);
    await pause(MIN_STANDING_MS + random() * MAX_EXTRA_MS);
    end();
    this.#standing.delete(key);
    span.to = Date.now();
    onEnd();
  }
}

function encodedOf(value: OddValue): string {
  if (typeof value === 'object' && 'encoded' in value) return value.encoded;
  return Buffer.from(value).toString('base64');
}
