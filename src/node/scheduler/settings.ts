/**
 * Brings settings into force: a few schedulers in each failure domain watch the
 * store, all others learn from rumours and fetch from whoever had the news.
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

/** What the controller works with. */
export interface SettingsControllerOptions {
  readonly vm: string;
  readonly domain: string;
  readonly platform: Platform;
  readonly links: SchedulerLinks;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly members: () => readonly Member[];
  readonly onApplied: (documents: readonly StoredDocument[]) => void;
}

/** Schedulers in each failure domain that watch the store. */
const READERS_PER_DOMAIN = 2;
/** How long one watch waits, in milliseconds. */
const WATCH_MS = 10_000;
/** Pause after a failed watch, in milliseconds. */
const RETRY_MS = 500;
/** How long settings may differ from a peer's before all revisions are compared, in milliseconds. */
const DIFFERS_MS = 1500;

const documentsSchema = z.array(
  z.object({ path: z.string(), revision: z.int(), text: z.string().nullable() }),
);

/** The only writer of the settings section of the blackboard. */
export class SettingsController {
  readonly #options: SettingsControllerOptions;

  readonly #book = new SettingsDocuments();

  readonly #stop = new AbortController();

  #index = 0;

  #differsSince: number | undefined;

  #fetching = false;

  /** Revisions that are being fetched, by path. */
  readonly #coming = new Map<string, number>();

  /** Whether the store was ever read, or a peer's settings taken. */
  #loaded = false;

  constructor(options: SettingsControllerOptions) {
    this.#options = options;
  }

  get settings(): Settings {
    return this.#book;
  }

  get isLoaded(): boolean {
    return this.#loaded;
  }

  start(): void {
    this.#watchForever().catch((error) => this.#options.log.error(toFailure(error).line));
  }

  stop(): void {
    this.#stop.abort();
  }

  /** Fetches the one document that the rumour is of, unless it is known or already being fetched. */
  async onUpdate({ path, revision }: GossipUpdate, address: string): Promise<void> {
    if (revision <= Math.max(this.#book.revisionOf(path), this.#coming.get(path) ?? 0)) return;
    this.#coming.set(path, revision);
    try {
      const result = await this.#options.links.call(address, 'settings.get', { path });
      this.apply(documentsSchema.parse(result), 'peer');
    } catch (error) {
      this.#options.log.debug(`Could not fetch ${path} from ${address}. ${toFailure(error).line}.`);
    } finally {
      this.#coming.delete(path);
    }
  }

  /** Digests differ for a moment after each change; only a lasting difference is looked into. */
  async onDigestDiffers(now: number, address: string): Promise<void> {
    this.#differsSince ??= now;
    const lasting = !this.#loaded || now - this.#differsSince >= DIFFERS_MS;
    if (!lasting || this.#fetching) return;
    this.#differsSince = undefined;
    await this.fetch(address, this.#book.revisions);
  }

  /** Fetches what a peer has newer. */
  async fetch(address: string, known: Readonly<Record<string, number>>): Promise<void> {
    if (this.#fetching) return;
    this.#fetching = true;
    try {
      const result = await this.#options.links.call(address, 'settings.newer', known);
      const documents = documentsSchema.parse(result);
      if (documents.length > 0) this.apply(documents, 'peer');
      this.#loaded = true;
    } catch (error) {
      this.#options.log.debug(
        `Could not fetch settings from ${address}. ${toFailure(error).line}.`,
      );
    } finally {
      this.#fetching = false;
    }
  }

  /** Puts documents in force, highest revision only, and passes on what was new. */
  apply(documents: readonly StoredDocument[], source: 'store' | 'peer'): void {
    const { log, metrics, onApplied } = this.#options;
    const applied = documents.filter((document) => {
      const result = this.#book.apply(document);
      if (result.kind === 'older' && source === 'store') {
        metrics.count('settings.store_older');
        log.error(
          `The store has ${document.path} at revision ${document.revision}, older than ${result.inForce} in force. Keeping ${result.inForce}.`,
        );
      }
      if (result.kind === 'malformed') {
        metrics.count('settings.malformed');
        log.error(
          `Revision ${document.revision} of ${document.path} is malformed. Keeping the last good one. ${result.detail}.`,
        );
      }
      return result.kind === 'applied';
    });
    if (applied.length > 0) onApplied(applied);
  }

  /** The store is asked by the first schedulers of a domain, and by all until settings are there. */
  #isReader(): boolean {
    const { vm, domain, members } = this.#options;
    const near = members().filter((member) => member.domain === domain && canOwn(member));
    const readers = ownersOfKey('settings-readers', near).slice(0, READERS_PER_DOMAIN);
    return readers.length < READERS_PER_DOMAIN || readers.some((reader) => reader.vm === vm);
  }

  async #watchForever(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      if (this.#isReader() || !this.#loaded) await this.#watchOnce();
      else await this.#pause(RETRY_MS);
    }
  }

  async #watchOnce(): Promise<void> {
    const { platform, log } = this.#options;
    try {
      const state = await platform.watch(SETTINGS_PREFIX, this.#index, WATCH_MS, this.#stop.signal);
      // A store that was set back counts from a lower index: begin again, or the watch would wait for ever.
      this.#index = state.index < this.#index ? 0 : state.index;
      const documents = state.values.flatMap(({ key, value }) => {
        const envelope = parseEnvelope(value);
        if (!envelope) this.#alarm(key);
        return envelope ? [toDocument(key, envelope)] : [];
      });
      this.#loaded = true;
      this.apply(documents, 'store');
    } catch (error) {
      if (this.#stop.signal.aborted) return;
      this.#options.metrics.count('settings.watch_failed');
      log.debug(`The settings watch failed. ${toFailure(error).line}.`);
      await this.#pause(RETRY_MS);
    }
  }

  #alarm(key: string): void {
    this.#options.metrics.count('settings.malformed');
    this.#options.log.error(
      `The value under ${key} was not written by goldcrestdock. Keeping the last good settings.`,
    );
  }

  #pause(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.#stop.signal.addEventListener(
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
