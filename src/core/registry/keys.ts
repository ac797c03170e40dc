/**
 * In-memory registry of request keys at the owner of the keys. It connects repeated
 * attempts of an idempotent request to the first attempt's answer, so that the request
 * runs only once. If the registry is lost, an idempotent request may run a second time;
 * requests that must not run twice use the run ledger.
 */

/** A finished answer, kept for replay. */
export interface FinishedAnswer {
  readonly text: string;
  readonly tokens: number;
}

/** Location of a running request's stream at its runner, so that another gateway can continue it. */
export interface StreamLocation {
  readonly runner: string;
  /** Id of the run at the runner. */
  readonly runId: string;
  /**
   * Number of tokens of the answer that previous runs produced. The runner's stream starts
   * after them, so a gateway without these tokens cannot continue the answer from it.
   */
  readonly base: number;
}

/** Result of registering an attempt. */
export type AttemptResult =
  | { readonly kind: 'fresh' }
  /** Another gateway processes the request; its stream can be read there. `place` is undefined until the run's location is known. */
  | {
      readonly kind: 'running';
      readonly gateway: string;
      readonly id: string;
      readonly place: StreamLocation | undefined;
    }
  | { readonly kind: 'done'; readonly answer: FinishedAnswer }
  | { readonly kind: 'mismatch' };

interface Entry {
  readonly fingerprint: string;
  gateway: string;
  id: string;
  place: StreamLocation | undefined;
  answer: FinishedAnswer | undefined;
  expiresAt: number;
}

/** Retention time of a finished answer, in milliseconds. */
export const REPLAY_MS = 60_000;
/** Retention time of an unfinished attempt, in milliseconds. */
const RUNNING_RETENTION_MS = 600_000;
/** Maximum total size of the kept answers, in bytes. */
const MAX_ANSWER_BYTES = 32 * 1024 * 1024;

/** The registry of one scheduler. */
export class KeyRegistry {
  readonly #limit: number;

  readonly #entries = new Map<string, Entry>();

  #bytes = 0;

  /** @param limit number of entries above which finished answers are evicted */
  constructor(limit: number) {
    this.#limit = limit;
  }

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /** Registers an attempt, or returns where the request is already running or its answer. */
  attempt(
    now: number,
    key: string,
    fingerprint: string,
    gateway: string,
    id: string,
  ): AttemptResult {
    const entry = this.#findLive(now, key);
    if (!entry) {
      this.#entries.set(key, {
        fingerprint,
        gateway,
        id,
        place: undefined,
        answer: undefined,
        expiresAt: now + RUNNING_RETENTION_MS,
      });
      this.#evict();
      return { kind: 'fresh' };
    }
    if (entry.fingerprint !== fingerprint) return { kind: 'mismatch' };
    if (entry.answer) return { kind: 'done', answer: entry.answer };
    return { kind: 'running', gateway: entry.gateway, id: entry.id, place: entry.place };
  }

  /** Records the stream location of the running attempt. */
  setLocation(key: string, id: string, place: StreamLocation): void {
    const entry = this.#entries.get(key);
    if (entry?.id === id) entry.place = place;
  }

  /** Reassigns a running request from attempt `from` to a new one; false if it no longer belongs to `from`. */
  reassign(key: string, from: string, gateway: string, id: string): boolean {
    const entry = this.#entries.get(key);
    if (!entry || entry.answer || entry.id !== from) return false;
    entry.gateway = gateway;
    entry.id = id;
    return true;
  }

  /** Stores the finished answer of the attempt that runs the request. */
  complete(now: number, key: string, id: string, answer: FinishedAnswer): void {
    const entry = this.#entries.get(key);
    if (entry?.id !== id || entry.answer) return;
    entry.answer = answer;
    entry.expiresAt = now + REPLAY_MS;
    this.#bytes += answer.text.length;
    this.#entries.delete(key);
    this.#entries.set(key, entry);
    this.#evict();
  }

  /** Removes an attempt that ended without an answer, so that the next one runs the request. */
  abandon(key: string, id: string): void {
    const entry = this.#entries.get(key);
    if (entry && !entry.answer && entry.id === id) this.#delete(key, entry);
  }

  /** Removes expired entries. */
  expire(now: number): void {
    for (const [key, entry] of this.#entries) if (entry.expiresAt <= now) this.#delete(key, entry);
  }

  #findLive(now: number, key: string): Entry | undefined {
    const entry = this.#entries.get(key);
    if (!entry || entry.expiresAt > now) return entry;
    this.#delete(key, entry);
    return undefined;
  }

  /** Evicts finished answers, oldest first, expiresAt the limits are met. Running attempts are never evicted. */
  #evict(): void {
    for (const [key, entry] of this.#entries) {
      if (this.#entries.size <= this.#limit && this.#bytes <= MAX_ANSWER_BYTES) return;
      if (entry.answer) this.#delete(key, entry);
    }
  }

  #delete(key: string, entry: Entry): void {
    this.#entries.delete(key);
    this.#bytes -= entry.answer?.text.length ?? 0;
  }
}
