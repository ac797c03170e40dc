/** Feeds the router with what the store holds: a range, then watches, and a range again after any trouble. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { toFailure } from '../core/failure';
import type { Suspect } from '../core/quarantine/types';
import type { RunnerRecord } from '../core/routing/directory';
import type { StoreHistory } from '../core/routing/position';
import type { Feed, FeedListener } from '../node/router/types';
import { bootNow } from '../utils/clock';
import { decodeConfig, decodeRunner, decodeSuspect, decodeVm, encodeVm } from './records';
import { key } from './names';
import type { Item, Snapshot, StoreClient } from './store';

/** Longest wait of one watch, in milliseconds: a watch that hangs on a silent store is noticed soon after. */
const WATCH_MS = 2000;
/** Least time between two watches, in milliseconds: runners' heartbeats would otherwise end one every 100 ms, and each is a priced call. */
const WATCH_PACE_MS = 700;
/** Waits after a failure, in milliseconds; doubled up to the limit. */
const RETRY_MS = 150;
const RETRY_LIMIT_MS = 800;
/** Time limit of the one call that follows a failed one, in milliseconds: a slow store answers within it, and that a store is lost is known half a second sooner, so that others read it in time. */
const CHECK_LIMIT_MS = 600;

/** Everything below the root: one watch serves configuration, runners and VMs. */
const ALL = '';

/** Reads the store and tells the router. */
export class StoreFeed implements Feed {
  readonly #store: StoreClient;

  readonly #log: Logger;

  readonly #self: { readonly vm: string; readonly address: string };

  readonly #history: StoreHistory;

  #listener: FeedListener | undefined;

  #reading = false;

  /** Revision of the last configuration that could not be read. */
  #unfitRevision = -1;

  #confirming = false;

  /** Whether the loop of readings runs; one that was told to end may still have a call under way. */
  #running = false;

  #registered = false;

  /** Era of what was read last. */
  #era: number | undefined;

  #waitMs = RETRY_MS;

  /** Calls that failed since the last answer. */
  #failed = 0;

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
  }

  start(listener: FeedListener): void {
    this.#listener = listener;
  }

  setReading(reading: boolean): void {
    this.#reading = reading;
    if (!reading || this.#running) return;
    this.#running = true;
    this.#run()
      .catch((error) => this.#log.error(toFailure(error).line))
      .finally(() => {
        this.#running = false;
      });
  }

  confirmConfig(): void {
    if (this.#confirming) return;
    this.#confirming = true;
    this.#confirm()
      .then(() => this.#listener?.onStore(true, 'answers'))
      .catch((error) => this.#log.debug(toFailure(error).line))
      .finally(() => {
        this.#confirming = false;
      });
  }

  stop(): void {
    this.#reading = false;
  }

  async #confirm(): Promise<void> {
    const askedAt = bootNow();
    const { items, revision, era } = await this.#store.get(key.config);
    if (items.length === 0 || era === undefined) return;
    if (era !== this.#history.era) this.#listener?.onEra({ era, revision });
    this.#tell(items, false);
    this.#listener?.onConfirmed(askedAt);
  }

  async #run(): Promise<void> {
    while (this.#reading) {
      try {
        await this.#follow();
      } catch (error) {
        this.#failed += 1;
        this.#listener?.onStore(false, toFailure(error).line);
        // VMs that lost the store at the same moment should not come back at the same moment.
        await pause(this.#waitMs * (0.5 + Math.random()));
        this.#waitMs = Math.min(RETRY_LIMIT_MS, this.#waitMs * 2);
      }
    }
  }

  /** One range and the watches after it, until something fails. */
  async #follow(): Promise<void> {
    let { revision, era } = await this.#readAll();
    this.#waitMs = RETRY_MS;
    while (this.#reading) {
      const since = performance.now();
      const askedAt = bootNow();
      const news = await this.#store.watch(ALL, revision, WATCH_MS);
      // Where the store came back from a copy, revisions mean something else: what was watched from may have been given out again.
      if (!news || news.era === undefined || news.era !== era) {
        ({ revision, era } = await this.#readAll());
      } else {
        this.#listener?.onStore(true, 'answers');
        revision = Math.max(revision, news.revision);
        this.#tell(news.items, false);
        this.#listener?.onConfirmed(askedAt);
      }
      const left = WATCH_PACE_MS - (performance.now() - since);
      if (left > 0) await pause(left);
    }
  }

  async #readAll(): Promise<Snapshot> {
    const askedAt = bootNow();
    const snapshot = await this.#store.range(ALL, this.#failed === 1 ? CHECK_LIMIT_MS : undefined);
    this.#failed = 0;
    const { items, revision, era = this.#store.era } = snapshot;
    // What this VM wrote since the copy was made is gone.
    if (era !== this.#era) this.#registered = false;
    this.#era = era;
    if (era !== this.#history.era) this.#listener?.onEra({ era, revision });
    this.#listener?.onStore(true, 'answers');
    this.#register(items);
    this.#tell(items, true);
    const ids = items.filter((item) => item.key.startsWith(key.runners)).map(idOf);
    this.#listener?.onListed(new Set(ids), { era, revision });
    this.#listener?.onConfirmed(askedAt);
    return snapshot;
  }

  /** @param isAll whether the store holds no other items */
  #tell(items: readonly Item[], isAll: boolean): void {
    const runners: RunnerRecord[] = [];
    const suspects: Suspect[] = [];
    const vms: { vm: string; address: string }[] = [];
    for (const item of items) {
      try {
        if (item.key === key.config) this.#tellConfig(item);
        else if (item.key.startsWith(key.runners)) runners.push(this.#factOf(item));
        else if (item.key.startsWith(key.vms) && item.value !== undefined) {
          vms.push(decodeVm(item.key.slice(key.vms.length), item.value));
        } else if (item.key.startsWith(key.suspects) && item.value !== undefined) {
          const fingerprint = item.key.slice(key.suspects.length);
          suspects.push(decodeSuspect(Date.now(), fingerprint, item.value));
        }
      } catch (error) {
        this.#log.error({ key: item.key, revision: item.revision }, toFailure(error).line);
      }
    }
    if (suspects.length > 0 || isAll) this.#listener?.onSuspects(suspects, isAll);
    if (runners.length > 0) this.#listener?.onRunners(runners);
    if (vms.length > 0) this.#listener?.onVms(vms);
  }

  /** One that cannot be read changes nothing, and is complained of once. */
  #tellConfig({ key: name, value, revision }: Item): void {
    if (value === undefined || revision === this.#unfitRevision) return;
    try {
      this.#listener?.onConfig(decodeConfig(value));
    } catch (error) {
      this.#unfitRevision = revision;
      this.#log.error({ key: name, revision }, toFailure(error).line);
    }
  }

  /** An entry that cannot be read is a fact too: whatever was listed there before is no longer. */
  #factOf(item: Item): RunnerRecord {
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
   * Lists this VM, so that others find it. The entry needs no lease: probes tell
   * who lives. Only readers are listed; whoever finds one of them finds all.
   */
  #register(items: readonly Item[]): void {
    const name = `${key.vms}${this.#self.vm}`;
    const entry = encodeVm(this.#self.address);
    const isListed = items.some((item) => item.key === name && item.value === entry);
    if (this.#registered || isListed) return;
    this.#registered = true;
    this.#store
      .put(name, entry)
      .then(() => this.#log.info({ key: name, era: this.#era }, 'Listed this VM.'))
      .catch((error) => {
        this.#registered = false;
        this.#log.warn(toFailure(error).line);
      });
  }
}

function idOf({ key: name }: Item): string {
  return name.slice(key.runners.length);
}
