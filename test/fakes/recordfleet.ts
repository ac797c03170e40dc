/** Readers of a store that keep the record of software versions, on a virtual clock. */

import { setImmediate as settle } from 'node:timers/promises';

import pino from 'pino';

import { VersionHistory } from '../../src/core/versions/history';
import { inferredOrigin } from '../../src/core/versions/lookup';
import type { VersionsByService } from '../../src/core/versions/types';
import { StoredVersions } from '../../src/node/router/storedversions';
import { runnerOf } from './runner';

const STEP_MS = 100;
const CHECK_MS = 500;
const WATCH_MS = 700;
const WRITE_MS = 100;

interface Reader {
  readonly versions: VersionHistory;
  readonly stored: StoredVersions;
  /** Versions that it takes for listed. */
  readonly listed: Set<string>;
  readonly phase: number;
  isNew: boolean;
  /** Whether it was there at the last kill. */
  isSurvivor: boolean;
}

/** A store and its readers, which know each other only by it. */
export class RecordFleet {
  readonly #random: () => number;

  readonly #listed = new Set<string>();

  #record: VersionsByService | undefined;

  #readers: Reader[] = [];

  #writes: { readonly at: number; readonly apply: () => void }[] = [];

  #now = 0;

  /** Versions by which VMs may have begun streams. */
  readonly #begun = new Set<string>();

  /** The same before the last kill; undefined before the first. */
  #lost: readonly string[] | undefined;

  /** Number of writes. */
  writes = 0;

  constructor(random: () => number) {
    this.#random = random;
  }

  /** Lists a runner of a version. */
  list(version: string): void {
    this.#listed.add(version);
  }

  /** Removes the runner of a version. */
  remove(version: string): void {
    this.#listed.delete(version);
  }

  /** Starts readers that know nothing. */
  start(count: number): void {
    for (let index = 0; index < count; index += 1) this.#readers.push(this.#reader());
  }

  /** Kills the first readers; writes that are on their way are lost. */
  kill(count: number): void {
    this.#readers.splice(0, count);
    this.#writes = [];
    for (const reader of this.#readers) reader.isSurvivor = true;
    this.#lost = [...this.#begun];
  }

  /** Lets time pass; returns the versions that are taken for those of streams that other ones began before the last kill. */
  async pass(ms: number): Promise<readonly string[]> {
    const mistaken: string[] = [];
    for (const until = this.#now + ms; this.#now < until; this.#now += STEP_MS) {
      this.#applyWrites();
      for (const reader of this.#readers) this.#step(reader);
      await settle();
      mistaken.push(...this.#mistaken());
    }
    return mistaken;
  }

  /** What readers take for the only version: each alone, or together where some were not killed. */
  #mistaken(): readonly string[] {
    const views = this.#readers.map(({ versions }) => ({
      origin: undefined,
      versions: versions.versionsOf(this.#now, 's'),
      isComplete: versions.isComplete(this.#now),
    }));
    const hasSurvivors = this.#readers.some(({ isSurvivor }) => isSurvivor);
    return (hasSurvivors ? [views] : views.map((view) => [view]))
      .flatMap((known) => inferredOrigin('s', known)?.version ?? [])
      .filter((version) => this.#lost?.some((begun) => begun !== version));
  }

  #reader(): Reader {
    const versions = new VersionHistory();
    const stored = new StoredVersions({
      versions,
      archive: { save: (record) => this.#save(record) },
      readsStore: () => true,
      random: this.#random,
      log: pino({ level: 'silent' }),
    });
    stored.stop();
    const phase = Math.floor(this.#random() * 35) * STEP_MS;
    return { versions, stored, listed: new Set(), phase, isNew: true, isSurvivor: false };
  }

  #save(record: VersionsByService): Promise<void> {
    this.writes += 1;
    return new Promise((resolve) => {
      const apply = (): void => {
        this.#record = record;
        resolve();
      };
      this.#writes.push({ at: this.#now + WRITE_MS, apply });
    });
  }

  #applyWrites(): void {
    const due = this.#writes.filter(({ at }) => at <= this.#now);
    this.#writes = this.#writes.filter(({ at }) => at > this.#now);
    due.forEach(({ apply }) => apply());
  }

  #step(reader: Reader): void {
    const { versions, stored, listed, phase, isNew } = reader;
    if (isNew || (this.#now + phase) % WATCH_MS === 0) {
      for (const version of new Set([...this.#listed, ...listed])) {
        const runner = runnerOf(version, 'decode', { version });
        const isListed = this.#listed.has(version);
        if (isListed !== listed.has(version)) {
          versions.changed(this.#now, isListed ? undefined : runner, isListed ? runner : undefined);
        }
        if (isListed) listed.add(version);
        else listed.delete(version);
      }
      stored.learn(this.#now, this.#record, isNew);
      Object.assign(reader, { isNew: false });
    }
    listed.forEach((version) => this.#begun.add(version));
    if ((this.#now + phase) % CHECK_MS === 0) stored.check(this.#now);
  }
}
