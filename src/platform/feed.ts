/**
 * Keeps the router up to date with the store: reads all entries, then watches for changes,
 * and reads all entries again after any failure.
 */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { Failure, toFailure } from '../core/failure';
import type { Position, StoreHistory } from '../core/routing/position';
import type { VersionsByService } from '../core/versions/types';
import type { Feed, FeedListener } from '../node/router/types';
import { bootNow } from '../utils/clock';
import type { ListedVm } from './entries';
import { Entries } from './entries';
import type { ListCall } from './listing';
import { Listing } from './listing';
import type { SingleKey } from './names';
import { key } from './names';
import { decodeConfig, decodeFleetSize, decodeVersions } from './records';
import { Registration } from './registration';
import type { Item, Page, Snapshot, StoreClient } from './store';
import { UnreadableItems, readItem } from './unreadable';

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

/** Time in which a list is read before any of it is used, in milliseconds: a list of the fleet's own entries takes less. */
const SHORT_LIST_MS = 800;
/** Pause between two pages of a longer list, in milliseconds, so that a long list leaves most of the processor and of the store's calls to requests. */
const PAGE_PAUSE_MS = 20;

/** Prefix of all keys: one watch covers the configuration, runners and VMs. */
const ALL_KEYS = '';

/** What one call of a list has brought. */
interface ListPart {
  readonly entries: Entries;
  /** Keys of which the entries show whether they have one. */
  readonly singles: readonly SingleKey[];
  /** Boot time of the call. */
  readonly askedAt: number;
}

/** Reads the store and passes its entries to the router's listener. */
export class StoreFeed implements Feed {
  readonly #store: StoreClient;

  readonly #log: Logger;

  readonly #history: StoreHistory;

  #listener: FeedListener | undefined;

  #isReading = false;

  readonly #unreadable: UnreadableItems;

  #isConfirming = false;

  /** Whether the read loop is running; after `setReading(false)` it still completes the call in progress. */
  #isRunning = false;

  readonly #registration: Registration;

  #retryDelayMs = MIN_RETRY_DELAY_MS;

  /** The list of the store that is read or was read last. */
  #listing: Listing | undefined;

  /** Failed attempts since the last list was begun. */
  #failureCount = 0;

  constructor(store: StoreClient, self: ListedVm, history: StoreHistory, log: Logger) {
    this.#store = store;
    this.#history = history;
    this.#log = log;
    this.#unreadable = new UnreadableItems(log);
    this.#registration = new Registration(store, self, log);
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
    this.#registration.leave();
  }

  stop(): void {
    this.#isReading = false;
    this.#registration.stop();
  }

  async #confirm(): Promise<void> {
    const askedAt = bootNow();
    const snapshot = await this.#store.get(key.config);
    const { items, revision, era } = snapshot;
    if (items.length === 0 || era === undefined) return;
    if (era !== this.#history.era) this.#listener?.onEra({ era, revision });
    this.#unreadable.enter(era);
    this.#dispatchChanges(snapshot);
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

  /**
   * Begins a list of all entries, then watches for changes until a call fails or reading is turned off.
   * A list of several pages is read meanwhile.
   */
  async #readAndWatch(): Promise<void> {
    let { revision, era } = await this.#list();
    this.#retryDelayMs = MIN_RETRY_DELAY_MS;
    while (this.#isReading) {
      const watchStartedAt = performance.now();
      const askedAt = bootNow();
      const changes = await this.#store.watch(ALL_KEYS, revision, WATCH_WAIT_MS);
      // After the store was restored from an older copy, revisions are issued a second time, so the last one read is no valid start for a watch.
      // A change that cannot be read may be that an entry is gone, which only the list shows.
      const isReadable = changes?.malformed === 0 && changes.era !== undefined;
      if (!isReadable || changes.era !== era || !this.#listing) {
        ({ revision, era } = await this.#list());
      } else {
        this.#listener?.onStore(true, 'answers');
        revision = Math.max(revision, changes.revision);
        this.#dispatchChanges(changes);
        this.#listener?.onConfirmed(askedAt);
      }
      const remainingMs = MIN_WATCH_INTERVAL_MS - (performance.now() - watchStartedAt);
      if (remainingMs > 0) await pause(remainingMs);
    }
  }

  /** Reads the first page of a list, and returns the position from which to watch for changes. */
  async #list(): Promise<Position> {
    this.#listing = undefined;
    const startedAt = performance.now();
    const askedAt = bootNow();
    const limitMs = this.#failureCount === 1 ? RECHECK_TIMEOUT_MS : undefined;
    const page = await this.#store.range(ALL_KEYS, '', limitMs);
    const { revision, last, era = this.#store.era } = page;
    const listing = new Listing(startedAt, { era, revision }, last);
    this.#listing = listing;
    this.#failureCount = 0;
    this.#unreadable.enter(era);
    this.#unreadable.begin();
    if (era !== this.#history.era) this.#listener?.onEra({ era, revision });
    this.#listener?.onStore(true, 'answers');
    const parts = [{ entries: this.#take(listing, page), singles: listing.singles, askedAt }];
    parts.push(...(await this.#readShort(listing)));
    this.#listener?.onSuspects([], true);
    parts.forEach((part) => this.#dispatchPart(part));
    this.#registration.ensure(
      era,
      parts.flatMap(({ entries }) => entries.vms),
    );
    if (!listing.next) this.#endList(listing);
    else this.#readFurther(listing).catch((error) => this.#log.error(toFailure(error).line));
    return listing.position;
  }

  /**
   * Reads what a list holds after its first page, unless that takes long: VMs begin to serve with all
   * runners then. The single keys are always read, since runners are held as the record of versions
   * says, so that the watch must not bring them before it.
   */
  async #readShort(listing: Listing): Promise<readonly ListPart[]> {
    const parts: ListPart[] = [];
    const endAt = performance.now() + SHORT_LIST_MS;
    for (let call = listing.next; call; call = listing.next) {
      if (call.kind === 'range' && performance.now() > endAt) break;
      const askedAt = bootNow();
      let page: Page;
      try {
        page = await this.#read(listing, call);
      } catch (error) {
        if (call.kind === 'key') throw error;
        this.#failed(listing, error);
        break;
      }
      const singles = call.kind === 'key' ? [call.key] : [];
      parts.push({ entries: this.#take(listing, page), singles, askedAt });
      listing.advance(page.last);
    }
    return parts;
  }

  #dispatchPart({ entries, singles, askedAt }: ListPart): void {
    singles.forEach((name) => this.#dispatchSingle(name, entries, askedAt));
    this.#dispatch(entries);
  }

  /** Passes on the entry of a single key as a list has it. */
  #dispatchSingle(name: SingleKey, entries: Entries, askedAt: number): void {
    const item = entries.itemsOf(name).at(-1);
    match(name)
      .with(key.versions, () => this.#dispatchVersions(item, true))
      .with(key.fleetSize, () => this.#dispatchFleetSize(item))
      .with(key.config, () => {
        if (item) this.#dispatchConfig(item);
        if (!entries.hasMalformedConfig) this.#listener?.onConfirmed(askedAt);
      })
      .exhaustive();
  }

  /** Reads the rest of a long list, page by page; a call that fails is repeated, and what the others brought is kept. */
  async #readFurther(listing: Listing): Promise<void> {
    let delayMs = MIN_RETRY_DELAY_MS;
    const isCurrent = (): boolean => this.#isReading && this.#listing === listing;
    for (let call = listing.next; call && isCurrent(); call = listing.next) {
      try {
        const page = await this.#read(listing, call);
        if (!isCurrent()) break;
        this.#dispatch(this.#take(listing, page));
        listing.advance(page.last);
        delayMs = MIN_RETRY_DELAY_MS;
        await pause(PAGE_PAUSE_MS);
      } catch (error) {
        this.#failed(listing, error);
        await pause(delayMs * (0.5 + Math.random()));
        delayMs = Math.min(MAX_RETRY_DELAY_MS, delayMs * 2);
      }
    }
    if (isCurrent()) this.#endList(listing);
    // Should reading be turned on again before the watch has ended, another list is needed.
    else if (this.#listing === listing) this.#listing = undefined;
  }

  #failed(listing: Listing, error: unknown): void {
    listing.failed();
    this.#log.debug(toFailure(error).line);
  }

  /** Makes a call of a list; throws `platformUnavailable` if the era has changed, which the watch finds as well. */
  async #read({ position }: Listing, call: ListCall): Promise<Page> {
    const page =
      call.kind === 'key'
        ? { ...(await this.#store.get(call.key)), last: undefined }
        : await this.#store.range(call.prefix, call.after);
    if ((page.era ?? this.#store.era) !== position.era) {
      throw new Failure('platformUnavailable', 'the store was restored');
    }
    return page;
  }

  /** Decodes a page of a list. */
  #take(listing: Listing, page: Page): Entries {
    this.#unreadable.take(page);
    const entries = new Entries(page, this.#history, this.#unreadable);
    listing.take(entries);
    return entries;
  }

  #endList(listing: Listing): void {
    const { listed, position, unreadable, callCount: calls, failures, startedAt } = listing;
    if (calls > 1) {
      const ms = Math.round(performance.now() - startedAt);
      this.#log.info({ calls, ms, failures, ...position }, 'Read a list of several pages.');
    }
    this.#unreadable.end(unreadable);
    this.#listener?.onListed(listed, position);
  }

  /** Decodes changes and passes them to the listener. */
  #dispatchChanges(changes: Snapshot): void {
    const entries = new Entries(changes, this.#history, this.#unreadable);
    const versions = entries.itemsOf(key.versions).at(-1);
    if (versions) this.#dispatchVersions(versions, false);
    entries.itemsOf(key.config).forEach((item) => this.#dispatchConfig(item));
    this.#dispatch(entries);
    const fleetSize = entries.itemsOf(key.fleetSize).at(-1);
    if (fleetSize) this.#dispatchFleetSize(fleetSize);
  }

  #dispatch({ runners, suspects, vms }: Entries): void {
    if (suspects.length > 0) this.#listener?.onSuspects(suspects, false);
    if (runners.length > 0) this.#listener?.onRunners(runners);
    if (vms.length > 0) this.#listener?.onVms(vms);
  }

  /** A record that cannot be decoded may name versions that no listed runner has. */
  #dispatchVersions(item: Item | undefined, isAll: boolean): void {
    if (item?.value === undefined) {
      this.#listener?.onVersions(undefined, isAll);
      return;
    }
    let versions: VersionsByService | undefined;
    readItem(this.#unreadable, item, (value) => {
      versions = decodeVersions(value);
    });
    this.#listener?.onVersions({ revision: item.revision, versions }, isAll);
  }

  /** A number that cannot be decoded is ignored; the VMs that are known count anyway. */
  #dispatchFleetSize(item: Item | undefined): void {
    if (item?.value === undefined) {
      this.#listener?.onFleetSize(0);
      return;
    }
    readItem(this.#unreadable, item, (value) =>
      this.#listener?.onFleetSize(decodeFleetSize(value)),
    );
  }

  /** A configuration that cannot be decoded is ignored, and decoded once only. */
  #dispatchConfig(item: Item): void {
    if (item.value === undefined || this.#unreadable.has(item)) return;
    readItem(this.#unreadable, item, (value) => this.#listener?.onConfig(decodeConfig(value)));
  }
}
