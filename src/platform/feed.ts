/**
 * Keeps the router up to date with the store: reads all entries, then watches for changes,
 * and reads all entries again after any failure.
 */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { toFailure } from '../core/failure';
import type { Suspect } from '../core/quarantine/types';
import type { RunnerRecord } from '../core/routing/directory';
import type { StoreHistory } from '../core/routing/position';
import type { VersionsByService } from '../core/versions/types';
import type { Feed, FeedListener } from '../node/router/types';
import { bootNow } from '../utils/clock';
import {
  decodeConfig,
  decodeFleetSize,
  decodeRunner,
  decodeSuspect,
  decodeVersions,
  decodeVm,
  encodeVm,
} from './records';
import { key } from './names';
import type { Item, Snapshot, StoreClient } from './store';
import { UnreadableItems } from './unreadable';

/**
 * Longest wait of one watch call, in milliseconds. Kept so short that a watch that hangs is given up
 * before entries could expire, if the store is sound, and before a runner that has left exits.
 */
const WATCH_WAIT_MS = 800;
/** Minimum interval between two watch calls, in milliseconds. Heartbeats of runners would otherwise complete a watch every 100 ms, and each call costs money. */
const MIN_WATCH_INTERVAL_MS = 700;
/** First delay before a retry, in milliseconds; it doubles with each failure up to the maximum. */
const MIN_RETRY_DELAY_MS = 150;
/** Longest delay before a retry, in milliseconds. */
const MAX_RETRY_DELAY_MS = 800;
/** Timeout of the first call after a failed one, in milliseconds. A slow store still answers within it, and an unreachable store is detected half a second sooner, so that other VMs start to read it in time. */
const RECHECK_TIMEOUT_MS = 600;

/** Prefix of all keys: one watch covers the configuration, runners and VMs. */
const ALL_KEYS = '';

/** Reads the store and passes its entries to the router's listener. */
export class StoreFeed implements Feed {
  readonly #store: StoreClient;

  readonly #log: Logger;

  readonly #self: { readonly vm: string; readonly address: string };

  readonly #history: StoreHistory;

  #listener: FeedListener | undefined;

  #isReading = false;

  readonly #unreadable: UnreadableItems;

  #isConfirming = false;

  /** Whether the read loop is running; after `setReading(false)` it still completes the call in progress. */
  #isRunning = false;

  #isRegistered = false;

  /** Resolves once the entry of this VM is written. */
  #registration: Promise<void> | undefined;

  #isLeaving = false;

  /** Era of the last full read; undefined before the first one. */
  #era: number | undefined;

  #retryDelayMs = MIN_RETRY_DELAY_MS;

  /** Failed attempts since the last complete read of all entries. */
  #failureCount = 0;

  constructor(
    store: StoreClient,
    self: { readonly vm: string; readonly address: string },
    history: StoreHistory,
    log: Logger,
  ) {
    this.#store = store;
    this.#self = self;
    this.#history = history;
    this.#log = log;
    this.#unreadable = new UnreadableItems(log);
  }

  start(listener: FeedListener): void {
    this.#listener = listener;
  }

  setReading(reading: boolean): void {
    this.#isReading = reading;
    if (!reading || this.#isRunning) return;
    this.#isRunning = true;
    this.#run()
      .catch((error) => this.#log.error(toFailure(error).line))
      .finally(() => {
        this.#isRunning = false;
      });
  }

  confirmConfig(): void {
    if (this.#isConfirming) return;
    this.#isConfirming = true;
    this.#confirm()
      .then(() => this.#listener?.onStore(true, 'answers'))
      .catch((error) => this.#log.debug(toFailure(error).line))
      .finally(() => {
        this.#isConfirming = false;
      });
  }

  leave(): void {
    if (this.#isLeaving) return;
    this.#isLeaving = true;
    if (!this.#isRegistered) return;
    this.#unregister().catch((error) => this.#log.warn(toFailure(error).line));
  }

  stop(): void {
    this.#isReading = false;
    this.#isLeaving = true;
  }

  async #confirm(): Promise<void> {
    const askedAt = bootNow();
    const snapshot = await this.#store.get(key.config);
    const { items, revision, era } = snapshot;
    if (items.length === 0 || era === undefined) return;
    if (era !== this.#history.era) this.#listener?.onEra({ era, revision });
    this.#unreadable.enter(era);
    this.#dispatch(snapshot, false);
    this.#listener?.onConfirmed(askedAt);
  }

  async #run(): Promise<void> {
    while (this.#isReading) {
      try {
        await this.#readAndWatch();
      } catch (error) {
        this.#failureCount += 1;
        this.#listener?.onStore(false, toFailure(error).line);
        // Random jitter, so that VMs that lost the store at the same time do not reconnect at the same time.
        await pause(this.#retryDelayMs * (0.5 + Math.random()));
        this.#retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, this.#retryDelayMs * 2);
      }
    }
  }

  /** Reads all entries, then watches for changes until a call fails or reading is turned off. */
  async #readAndWatch(): Promise<void> {
    let { revision, era } = await this.#readAll();
    this.#retryDelayMs = MIN_RETRY_DELAY_MS;
    while (this.#isReading) {
      const watchStartedAt = performance.now();
      const askedAt = bootNow();
      const changes = await this.#store.watch(ALL_KEYS, revision, WATCH_WAIT_MS);
      // After the store was restored from an older copy, revisions are issued a second time, so the last one read is no valid start for a watch.
      // A change that cannot be read may be that an entry is gone, which only the list shows.
      const isReadable = changes?.malformed === 0 && changes.era !== undefined;
      if (!isReadable || changes.era !== era) {
        ({ revision, era } = await this.#readAll());
      } else {
        this.#listener?.onStore(true, 'answers');
        revision = Math.max(revision, changes.revision);
        this.#dispatch(changes, false);
        this.#listener?.onConfirmed(askedAt);
      }
      const remainingMs = MIN_WATCH_INTERVAL_MS - (performance.now() - watchStartedAt);
      if (remainingMs > 0) await pause(remainingMs);
    }
  }

  async #readAll(): Promise<Snapshot> {
    const askedAt = bootNow();
    const snapshot = await this.#store.range(
      ALL_KEYS,
      this.#failureCount === 1 ? RECHECK_TIMEOUT_MS : undefined,
    );
    this.#failureCount = 0;
    const { items, malformedKeys, revision, era = this.#store.era } = snapshot;
    this.#unreadable.enter(era);
    // After a restore from an older copy the entry of this VM may be missing.
    if (era !== this.#era) this.#isRegistered = false;
    this.#era = era;
    if (era !== this.#history.era) this.#listener?.onEra({ era, revision });
    this.#listener?.onStore(true, 'answers');
    this.#register(items);
    this.#dispatch(snapshot, true);
    // A malformed item of a runner tells nothing new of it, but that it is listed.
    const listed = [...items, ...malformedKeys.map((name) => ({ key: name }))];
    const ids = listed.filter((item) => item.key.startsWith(key.runners)).map(idOf);
    this.#listener?.onListed(new Set(ids), { era, revision });
    if (!malformedKeys.includes(key.config)) this.#listener?.onConfirmed(askedAt);
    return snapshot;
  }

  /**
   * Decodes entries and passes them to the listener.
   * @param isAll whether the snapshot holds all entries of the store
   */
  #dispatch({ items, malformed }: Snapshot, isAll: boolean): void {
    if (isAll) this.#unreadable.retain(items, malformed);
    this.#dispatchVersions(items, isAll);
    const runners: RunnerRecord[] = [];
    const suspects: Suspect[] = [];
    const vms: { vm: string; address: string }[] = [];
    for (const item of items) {
      const { key: name, value } = item;
      if (name === key.config) this.#dispatchConfig(item);
      else if (name.startsWith(key.runners)) runners.push(this.#recordOf(item));
      else if (name.startsWith(key.vms) && value !== undefined) {
        this.#read(item, () => vms.push(decodeVm(name.slice(key.vms.length), value)));
      } else if (name.startsWith(key.suspects) && value !== undefined) {
        const fingerprint = name.slice(key.suspects.length);
        this.#read(item, () => suspects.push(decodeSuspect(Date.now(), fingerprint, value)));
      }
    }
    if (suspects.length > 0 || isAll) this.#listener?.onSuspects(suspects, isAll);
    if (runners.length > 0) this.#listener?.onRunners(runners);
    if (vms.length > 0) this.#listener?.onVms(vms);
    this.#dispatchFleetSize(items, isAll);
  }

  /** Reads an item; one that cannot be read is ignored. */
  #read(item: Item | undefined, read: () => void): void {
    try {
      read();
    } catch (error) {
      if (item) this.#unreadable.report(item, toFailure(error));
    }
  }

  /** A record that cannot be decoded may name versions that no listed runner has. */
  #dispatchVersions(items: readonly Item[], isAll: boolean): void {
    const item = items.find((one) => one.key === key.versions);
    if (!item && !isAll) return;
    if (item?.value === undefined) {
      this.#listener?.onVersions(undefined, isAll);
      return;
    }
    const { value, revision } = item;
    let versions: VersionsByService | undefined;
    this.#read(item, () => {
      versions = decodeVersions(value);
    });
    this.#listener?.onVersions({ revision, versions }, isAll);
  }

  /** A number that cannot be decoded is ignored; the VMs that are known count anyway. */
  #dispatchFleetSize(items: readonly Item[], isAll: boolean): void {
    const item = items.find((one) => one.key === key.fleetSize);
    if (!item && !isAll) return;
    this.#read(item, () =>
      this.#listener?.onFleetSize(item?.value === undefined ? 0 : decodeFleetSize(item.value)),
    );
  }

  /** A configuration that cannot be decoded is ignored, and decoded once only. */
  #dispatchConfig(item: Item): void {
    const { value } = item;
    if (value === undefined || this.#unreadable.has(item)) return;
    this.#read(item, () => this.#listener?.onConfig(decodeConfig(value)));
  }

  /** An entry that cannot be decoded also yields a record, because it replaced the runner that was listed under this key. */
  #recordOf(item: Item): RunnerRecord {
    const id = idOf(item);
    const { revision, value } = item;
    const position = this.#history.positionOf(revision);
    try {
      const runner = value === undefined ? undefined : decodeRunner(id, value);
      return { id, position, runner };
    } catch (error) {
      return { id, position, runner: undefined, unreadable: toFailure(error).message };
    }
  }

  /**
   * Registers this VM in the store, so that other VMs find it. The entry needs no lease,
   * because membership probes detect which VMs are alive. Only VMs that read the store
   * register: a VM that contacts one of them learns of all others from it.
   */
  #register(items: readonly Item[]): void {
    const name = `${key.vms}${this.#self.vm}`;
    const entry = encodeVm(this.#self.address);
    const isListed = items.some((item) => item.key === name && item.value === entry);
    if (this.#isLeaving || this.#isRegistered) return;
    this.#isRegistered = true;
    if (isListed) return;
    this.#registration = this.#store
      .put(name, entry)
      .then(() => this.#log.info({ key: name, era: this.#era }, 'Registered this VM.'))
      .catch((error) => {
        this.#isRegistered = false;
        this.#log.warn(toFailure(error).line);
      });
  }

  /** Deletes the entry of this VM, once a write in progress has ended. */
  async #unregister(): Promise<void> {
    const name = `${key.vms}${this.#self.vm}`;
    await this.#registration;
    await this.#store.remove(name);
    this.#log.info({ key: name, era: this.#era }, 'Removed the entry of this VM.');
  }
}

function idOf({ key: name }: Pick<Item, 'key'>): string {
  return name.slice(key.runners.length);
}
