/**
 * Distribution of settings: a few schedulers in each failure domain watch the store;
 * the others receive gossip updates and fetch the changed documents from the sender.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import { toFailure } from '../../core/failure';
import type { Member, GossipUpdate } from '../../core/membership/types';
import { canOwn } from '../../core/membership/types';
import { ownersOfKey } from '../../core/ownership';
import type { Settings, StoredDocument } from '../../core/settings/documents';
import { SettingsDocuments } from '../../core/settings/documents';
import { SETTINGS_PREFIX, parseEnvelope, toDocument } from '../../core/settings/envelope';
import type { Metrics } from '../metrics';
import type { Platform } from '../platform/client';
import type { SchedulerLinks } from './links';

/** Dependencies of a `SettingsController`. */
export interface SettingsControllerOptions {
  readonly vm: string;
  readonly domain: string;
  readonly platform: Platform;
  readonly links: SchedulerLinks;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly members: () => readonly Member[];
  /** Receives the documents that came into force. */
  readonly onApplied: (documents: readonly StoredDocument[]) => void;
}

/** Number of schedulers in each failure domain that watch the store. */
const READERS_PER_DOMAIN = 2;
/** Longest wait of one watch call, in milliseconds. */
const WATCH_MS = 10_000;
/** Delay after a failed watch, and between checks whether this scheduler is a reader, in milliseconds. */
const RETRY_DELAY_MS = 500;
/** How long digests may differ from those of peers before all revisions are compared, in milliseconds. */
const MISMATCH_LIMIT_MS = 1500;

const documentsSchema = z.array(
  z.object({ path: z.string(), revision: z.int(), text: z.string().nullable() }),
);

/** Keeps the settings of this scheduler up to date. No other class changes them. */
export class SettingsController {
  readonly #options: SettingsControllerOptions;

  readonly #current = new SettingsDocuments();

  readonly #abort = new AbortController();

  #index = 0;

  #mismatchSince: number | undefined;

  #isFetching = false;

  /** Revisions whose fetch is in progress, by path. */
  readonly #fetches = new Map<string, number>();

  /** Whether settings were read at least once from the store or from a peer. */
  #isLoaded = false;

  constructor(options: SettingsControllerOptions) {
    this.#options = options;
  }

  /** The settings in force. */
  get settings(): Settings {
    return this.#current;
  }

  /** Whether settings were read at least once from the store or from a peer. */
  get isLoaded(): boolean {
    return this.#isLoaded;
  }

  /** Starts to watch the store: until settings are loaded, and while this scheduler is a reader of its domain. */
  start(): void {
    this.#watchForever().catch((error) => this.#options.log.error(toFailure(error).line));
  }

  /** Stops watching and ends a watch call in progress. */
  stop(): void {
    this.#abort.abort();
  }

  /** Fetches the announced document from the sender, unless this revision is known or its fetch is in progress. */
  async onUpdate({ path, revision }: GossipUpdate, address: string): Promise<void> {
    if (revision <= Math.max(this.#current.revisionOf(path), this.#fetches.get(path) ?? 0)) return;
    this.#fetches.set(path, revision);
    try {
      const result = await this.#options.links.call(address, 'settings.get', { path });
      this.apply(documentsSchema.parse(result), 'peer');
    } catch (error) {
      this.#options.log.debug(`Could not fetch ${path} from ${address}. ${toFailure(error).line}.`);
    } finally {
      this.#fetches.delete(path);
    }
  }

  /** Compares all revisions with a member whose digest differs. Digests differ briefly after each change, so only a persistent difference is handled. */
  async onDigestDiffers(now: number, address: string): Promise<void> {
    this.#mismatchSince ??= now;
    const isPersistent = !this.#isLoaded || now - this.#mismatchSince >= MISMATCH_LIMIT_MS;
    if (!isPersistent || this.#isFetching) return;
    this.#mismatchSince = undefined;
    await this.fetch(address, this.#current.revisions);
  }

  /** Fetches the documents of which a peer has newer revisions than `known`. */
  async fetch(address: string, known: Readonly<Record<string, number>>): Promise<void> {
    if (this.#isFetching) return;
    this.#isFetching = true;
    try {
      const result = await this.#options.links.call(address, 'settings.newer', known);
      const documents = documentsSchema.parse(result);
      if (documents.length > 0) this.apply(documents, 'peer');
      this.#isLoaded = true;
    } catch (error) {
      this.#options.log.debug(
        `Could not fetch settings from ${address}. ${toFailure(error).line}.`,
      );
    } finally {
      this.#isFetching = false;
    }
  }

  /** Applies documents with a higher revision than the one in force and reports them to `onApplied`; malformed ones are logged and ignored. */
  apply(documents: readonly StoredDocument[], source: 'store' | 'peer'): void {
    const { log, metrics, onApplied } = this.#options;
    const applied = documents.filter((document) => {
      const result = this.#current.apply(document);
      if (result.kind === 'older' && source === 'store') {
        metrics.count('settings.store_older');
        log.error(
          `The store has ${document.path} at revision ${document.revision}, older than revision ${result.inForce} in force. Keeping revision ${result.inForce}.`,
        );
      }
      if (result.kind === 'malformed') {
        metrics.count('settings.malformed');
        log.error(
          `Revision ${document.revision} of ${document.path} is malformed. Keeping the last valid revision. ${result.detail}.`,
        );
      }
      return result.kind === 'applied';
    });
    if (applied.length > 0) onApplied(applied);
  }

  /** Whether this scheduler watches the store at all times; others do so only until settings are loaded. */
  #isReader(): boolean {
    const { vm, domain, members } = this.#options;
    const domainMembers = members().filter((member) => member.domain === domain && canOwn(member));
    const readers = ownersOfKey('settings-readers', domainMembers).slice(0, READERS_PER_DOMAIN);
    return readers.length < READERS_PER_DOMAIN || readers.some((reader) => reader.vm === vm);
  }

  async #watchForever(): Promise<void> {
    while (!this.#abort.signal.aborted) {
      if (this.#isReader() || !this.#isLoaded) await this.#watchOnce();
      else await this.#pause(RETRY_DELAY_MS);
    }
  }

  async #watchOnce(): Promise<void> {
    const { platform, log } = this.#options;
    try {
      const state = await platform.watch(
        SETTINGS_PREFIX,
        this.#index,
        WATCH_MS,
        this.#abort.signal,
      );
      // A store restored from an older copy has a lower index. Start again from 0, or the watch would wait forever.
      this.#index = state.index < this.#index ? 0 : state.index;
      const documents = state.values.flatMap(({ key, value }) => {
        const envelope = parseEnvelope(value);
        if (!envelope) this.#reportInvalid(key);
        return envelope ? [toDocument(key, envelope)] : [];
      });
      this.#isLoaded = true;
      this.apply(documents, 'store');
    } catch (error) {
      if (this.#abort.signal.aborted) return;
      this.#options.metrics.count('settings.watch_failed');
      log.debug(`The settings watch failed. ${toFailure(error).line}.`);
      await this.#pause(RETRY_DELAY_MS);
    }
  }

  #reportInvalid(key: string): void {
    this.#options.metrics.count('settings.malformed');
    this.#options.log.error(
      `The value under ${key} was not written by goldcrestdock. Keeping the last valid settings.`,
    );
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#abort.signal.addEventListener(
        'abort',
        () => {
          clearTimeout(timer);
          resolve();
        },
        { once: true },
      );
    });
  }
}
