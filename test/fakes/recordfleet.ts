/** Readers of a store that keep the record of software versions, on a virtual clock. */

import { setImmediate as settle } from 'node:timers/promises';

import pino from 'pino';

import { StoreHistory } from '../../src/core/routing/position';
import { inferredOrigin } from '../../src/core/versions/lookup';
import type { VersionRecord, VersionsByService } from '../../src/core/versions/types';
import { RoutingState } from '../../src/node/router/routingstate';
import { StoredVersions } from '../../src/node/router/storedversions';
import { noopListener } from './listener';
import { positionAt } from './position';
import { runnerOf } from './runner';

const STEP_MS = 100;
const CHECK_MS = 500;
const WATCH_MS = 700;

interface Reader {
  readonly state: RoutingState;
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

  readonly #writeMs: number;

  readonly #listed = new Set<string>();

  #record: VersionRecord | undefined;

  #revision = 0;

  #readers: Reader[] = [];

  #writes: { readonly at: number; readonly apply: () => void; readonly lose: () => void }[] = [];

  #now = 0;

  /** Versions by which VMs may have begun streams. */
  readonly #begun = new Set<string>();

  /** The same before the last kill; undefined before the first. */
  #lost: readonly string[] | undefined;

  /** Number of writes. */
  writes = 0;

  /** @param writeMs time that a write takes */
  constructor(random: () => number, writeMs = 100) {
    this.#random = random;
    this.#writeMs = writeMs;
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
    this.#writes.forEach(({ lose }) => lose());
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
    const views = this.#readers.map(({ state }) => ({
      origin: undefined,
      versions: state.versions.versionsOf(this.#now, 's'),
      isComplete: state.versions.isComplete(this.#now),
    }));
    const hasSurvivors = this.#readers.some(({ isSurvivor }) => isSurvivor);
    return (hasSurvivors ? [views] : views.map((view) => [view]))
      .flatMap((known) => inferredOrigin('s', known)?.version ?? [])
      .filter((version) => this.#lost?.some((begun) => begun !== version));
  }

  #reader(): Reader {
    const log = pino({ level: 'silent' });
    const state = new RoutingState(new StoreHistory(), log, noopListener);
    const stored: StoredVersions = new StoredVersions({
      versions: state.versions,
      archive: { save: (versions, revision) => this.#save(versions, revision) },
      readsStore: () => true,
      random: this.#random,
      onRecorded: () => state.releaseHeld(this.#now, (runner) => stored.isHeld(runner)),
      log,
    });
    stored.stop();
    const phase = Math.floor(this.#random() * 35) * STEP_MS;
    return { state, stored, listed: new Set(), phase, isNew: true, isSurvivor: false };
  }

  #save(versions: VersionsByService, revision: number): Promise<number | undefined> {
    this.writes += 1;
    return new Promise((resolve, reject) => {
      const apply = (): void => {
        if (revision !== (this.#record?.revision ?? 0)) {
          resolve(undefined);
          return;
        }
        this.#revision += 1;
        this.#record = { revision: this.#revision, versions };
        resolve(this.#revision);
      };
      const lose = (): void => reject(new Error('lost'));
      this.#writes.push({ at: this.#now + this.#writeMs, apply, lose });
    });
  }

  #applyWrites(): void {
    const due = this.#writes.filter(({ at }) => at <= this.#now);
    this.#writes = this.#writes.filter(({ at }) => at > this.#now);
    due.forEach(({ apply }) => apply());
  }

  #step(reader: Reader): void {
    const { state, stored, listed, phase, isNew } = reader;
    if (isNew || (this.#now + phase) % WATCH_MS === 0) {
      stored.learn(this.#now, this.#record, isNew);
      for (const version of new Set([...this.#listed, ...listed])) {
        const runner = runnerOf(version, 'decode', { version });
        const isListed = this.#listed.has(version);
        if (isListed !== listed.has(version)) {
          this.#revision += 1;
          const position = positionAt(this.#revision);
          const fact = { id: version, position, runner: isListed ? runner : undefined };
          state.learnRunners(this.#now, stored.hold([fact]), 'store');
        }
        if (isListed) listed.add(version);
        else listed.delete(version);
      }
      if (isNew) stored.listed(this.#now);
      stored.check(this.#now);
      Object.assign(reader, { isNew: false });
    }
    for (const { version } of state.runnersOf(this.#now, 's')) this.#begun.add(version);
    if ((this.#now + phase) % CHECK_MS === 0) stored.check(this.#now);
  }
}
