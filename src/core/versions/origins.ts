/** A table of the software versions that began streams, bounded in size and age. */

import { fingerprintOf } from '../fingerprint';
import type { KnownOrigin, OriginRecord } from './types';
import { isSameOrigin } from './types';

/** Characters of a key, six bits each: enough to make collisions within a fleet negligible. */
const KEY_LENGTH = 16;
/**
 * Streams that are remembered, some 4 MB; the oldest give way. At the largest fleet a VM begins
 * some 50 streams a second and keeps three times as many for others, 12,000 in a minute.
 */
const MAX_STREAMS = 25_000;

/**
 * The key of a stream. Its customer is part of it, so that no customer can find out about another
 * one's streams by their ids.
 * @param request id of the request that brought its first event
 */
export function streamKey(customer: string | undefined, request: string): string {
  return fingerprintOf(JSON.stringify([customer ?? null]), request).slice(0, KEY_LENGTH);
}

interface Entry {
  origin: KnownOrigin;
  readonly recordedAt: number;
  /** Whether other VMs were told. */
  isShared: boolean;
  /** Listing of the runner whose events this VM passed on; undefined for a stream of another VM. */
  readonly listing: string | undefined;
}

/** Origins of streams by key, in the order in which they were last recorded. */
export class StreamOrigins {
  readonly #entries = new Map<string, Entry>();

  readonly #maxStreams: number;

  constructor(maxStreams = MAX_STREAMS) {
    this.#maxStreams = maxStreams;
  }

  /** Number of streams that are remembered. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Records the origin of a stream, or that it goes on there; another origin than the known one makes
   * it conflicting.
   * @param listing listing of the runner whose events this VM passes on. Default: another VM does
   */
  record(
    now: number,
    { key, service, version }: OriginRecord,
    isShared: boolean,
    listing?: string,
  ): void {
    const known = this.#entries.get(key);
    const origin = { service, version };
    const isConflicting =
      known !== undefined &&
      (known.origin === 'conflicting' || !isSameOrigin(known.origin, origin));
    this.#entries.delete(key);
    this.#entries.set(key, {
      origin: isConflicting ? 'conflicting' : origin,
      recordedAt: now,
      isShared: isShared || known?.isShared === true,
      listing,
    });
    const [oldest] = this.#entries.keys();
    if (this.#entries.size > this.#maxStreams && oldest !== undefined) this.#entries.delete(oldest);
  }

  /** The origin of a stream; undefined if it is not known. */
  get(key: string): KnownOrigin | undefined {
    return this.#entries.get(key)?.origin;
  }

  /** Time since a stream was last recorded, in milliseconds; undefined if it is not known. */
  ageMs(now: number, key: string): number | undefined {
    const entry = this.#entries.get(key);
    return entry && now - entry.recordedAt;
  }

  /** Takes the origins of a service's streams that other VMs were not told, to tell them. */
  takeUnshared(service: string): readonly OriginRecord[] {
    const taken: OriginRecord[] = [];
    for (const [key, entry] of this.#entries) {
      const { origin, isShared } = entry;
      if (!isShared && origin !== 'conflicting' && origin.service === service) {
        entry.isShared = true;
        taken.push({ key, ...origin });
      }
    }
    return taken;
  }

  /**
   * Makes the origins of streams conflicting of which this VM passed on events of a runner since a
   * time.
   * @returns the keys of these streams and their service
   */
  distrust(listing: string, since: number): readonly Omit<OriginRecord, 'version'>[] {
    const distrusted: Omit<OriginRecord, 'version'>[] = [];
    for (const [key, entry] of this.#entries) {
      const { origin, recordedAt } = entry;
      if (entry.listing === listing && recordedAt >= since && origin !== 'conflicting') {
        entry.origin = 'conflicting';
        distrusted.push({ key, service: origin.service });
      }
    }
    return distrusted;
  }

  /** Forgets streams that were last recorded before a time. */
  expire(before: number): void {
    for (const [key, { recordedAt }] of this.#entries) {
      if (recordedAt >= before) return;
      this.#entries.delete(key);
    }
  }
}
