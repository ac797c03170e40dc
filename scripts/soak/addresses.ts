/** How callers choose VMs: by look-up answers of their own or shared ones, which they keep for some time. */

import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';

/** Supplies addresses of VMs. */
export interface AddressBook {
  /** The `HOST:PORT` of the next request. */
  pick(): Promise<string>;
  /** A connection to an address failed. */
  failed(address: string): void;
}

interface LookupAnswer {
  readonly addresses: readonly string[];
  readonly ttlMs: number;
}

export const HOST = 'soak.example';
/** Address at which nothing listens. */
const NOWHERE = '127.0.0.1:9';
const LOOKUP_TIMEOUT_MS = 1000;
/** How often shared addresses are looked up. */
const SHARED_LIFETIME_MS = 1000;
/** Probability that a caller accepts shared addresses three times as old. */
const SLOW_LOOKUP_RATIO = 0.3;
/** Some callers use a look-up answer for this many times as long as it says. */
const CACHED_TIMES = 3;
/** Directories that a caller asks for one look-up. */
const MAX_DIRECTORIES = 3;
/** Probability that a caller's look-ups fail for a while, and for how long at most. */
const OUTAGE_RATIO = 0.05;
const MAX_OUTAGE_MS = 6000;
/** Probability that a caller opens a new connection although it has one. */
const NEW_CONNECTION_RATIO = 0.3;

async function lookUp(directory: string): Promise<LookupAnswer | undefined> {
  const url = `http://${directory}/v1/lookup?name=${HOST}&region=r&zone=a`;
  const answer = await Promise.race([
    call('GET', url).catch(() => undefined),
    pause(LOOKUP_TIMEOUT_MS, undefined, { ref: false }),
  ]);
  const body = (answer?.body ?? {}) as { addresses?: readonly string[]; 'ttl-s'?: number };
  const { addresses = [], 'ttl-s': ttlS = 0 } = body;
  return addresses.length > 0 ? { addresses, ttlMs: ttlS * 1000 } : undefined;
}

function draw<T>(all: readonly T[], random: () => number): T | undefined {
  return all[Math.floor(random() * all.length)];
}

/** Addresses that a group of callers shares: a look-up by one of them serves all. */
export class SharedAddresses implements AddressBook {
  readonly #directories: readonly string[];

  readonly #random: () => number;

  #addresses: readonly string[] = [];

  #lookedUpAt = -Infinity;

  /** @param directories `HOST:PORT` of the directories of all VMs */
  constructor(directories: readonly string[], random: () => number) {
    this.#directories = directories;
    this.#random = random;
  }

  async pick(): Promise<string> {
    const random = this.#random;
    const times = random() < SLOW_LOOKUP_RATIO ? CACHED_TIMES : 1;
    if (performance.now() - this.#lookedUpAt > SHARED_LIFETIME_MS * times) {
      this.#lookedUpAt = performance.now();
      const answer = await lookUp(draw(this.#directories, random) ?? NOWHERE);
      if (answer) this.#addresses = answer.addresses;
    }
    return draw(this.#addresses, random) ?? NOWHERE;
  }

  failed(): void {
    // The next look-up will tell.
  }
}

/**
 * Addresses of one caller, which keeps a look-up answer for up to three times its time to live, and longer
 * if it obtains no new one. It goes on at one VM until that fails or a new answer no longer names it.
 */
export class OwnAddresses implements AddressBook {
  readonly #directories: readonly string[];

  readonly #random: () => number;

  /** For how many times the time to live it keeps an answer. */
  readonly #times: number;

  #answer: LookupAnswer | undefined;

  #answeredAt = -Infinity;

  #outageUntil = -Infinity;

  #current: string | undefined;

  readonly #failed = new Set<string>();

  /** @param directories `HOST:PORT` of the directories of all VMs */
  constructor(directories: readonly string[], random: () => number) {
    this.#directories = directories;
    this.#random = random;
    this.#times = random() < 0.5 ? CACHED_TIMES : 1;
  }

  async pick(): Promise<string> {
    const now = performance.now();
    const lifetimeMs = (this.#answer?.ttlMs ?? 0) * this.#times;
    if (now - this.#answeredAt > lifetimeMs) await this.#renew(now);
    if (this.#current === undefined || this.#random() < NEW_CONNECTION_RATIO) this.#choose();
    return this.#current ?? NOWHERE;
  }

  failed(address: string): void {
    this.#failed.add(address);
    if (this.#current === address) this.#current = undefined;
  }

  #choose(): void {
    const all = this.#answer?.addresses ?? [];
    const sound = all.filter((address) => !this.#failed.has(address));
    this.#current = draw(sound.length > 0 ? sound : all, this.#random);
  }

  async #renew(now: number): Promise<void> {
    const random = this.#random;
    if (now < this.#outageUntil) return;
    if (this.#answer && random() < OUTAGE_RATIO) {
      this.#outageUntil = now + random() * MAX_OUTAGE_MS;
      return;
    }
    for (let tried = 0; tried < MAX_DIRECTORIES; tried += 1) {
      const answer = await lookUp(draw(this.#directories, random) ?? NOWHERE);
      if (answer) {
        this.#answer = answer;
        // The age counts from when the caller asked.
        this.#answeredAt = now;
        this.#failed.clear();
        if (!answer.addresses.includes(this.#current ?? '')) this.#current = undefined;
        return;
      }
    }
  }
}
