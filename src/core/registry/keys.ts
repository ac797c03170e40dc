/**
 * Registry of request keys, in memory at the key's owner. It brings a second
 * attempt of an idempotent request to the first one's answer, so that one
 * request is worked on once. Its loss costs a second run of an idempotent
 * request; what may not run twice goes through the run ledger.
 */

/** A finished answer, kept for replay. */
export interface FinishedAnswer {
  readonly text: string;
  readonly tokens: number;
}

/** Where a request that was under way streams on its runner, so that another gateway can go on with it. */
export interface StreamLocation {
  readonly runner: string;
  /** Id under which the runner knows the request. */
  readonly runId: string;
  /**
   * Tokens of the answer that came from earlier runs. The runner's stream begins
   * behind them, so a gateway that does not have them cannot go on from it.
   */
  readonly base: number;
}

/** What a new attempt is told. */
export type AttemptResult =
  | { readonly kind: 'fresh' }
  /** Another gateway works on it; its stream can be read there. */
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
  until: number;
}

/** How long a finished answer is kept, in milliseconds. */
export const REPLAY_MS = 60_000;
/** How long an unfinished attempt is remembered, in milliseconds. */
const RUNNING_MS = 600_000;
/** Bytes of answers kept at most. */
const ANSWER_BYTES_LIMIT = 32 * 1024 * 1024;

/** The registry of one scheduler. */
export class KeyRegistry {
  readonly #limit: number;

  readonly #entries = new Map<string, Entry>();

  #bytes = 0;

  constructor(limit: number) {
    this.#limit = limit;
  }

  get size(): number {
    return this.#entries.size;
  }

  /** Registers an attempt, or tells where the request already is. */
  attempt(
    now: number,
    key: string,
    fingerprint: string,
    gateway: string,
    id: string,
  ): AttemptResult {
    const entry = this.#live(now, key);
    if (!entry) {
      this.#entries.set(key, {
        fingerprint,
        gateway,
        id,
        place: undefined,
        answer: undefined,
        until: now + RUNNING_MS,
      });
      this.#evict();
      return { kind: 'fresh' };
    }
    if (entry.fingerprint !== fingerprint) return { kind: 'mismatch' };
    if (entry.answer) return { kind: 'done', answer: entry.answer };
    return { kind: 'running', gateway: entry.gateway, id: entry.id, place: entry.place };
  }

  /** Notes where the running attempt streams. */
  setLocation(key: string, id: string, place: StreamLocation): void {
    const entry = this.#entries.get(key);
    if (entry?.id === id) entry.place = place;
  }

  /** Gives a running request to a new attempt, if it still belongs to the old one. */
  reassign(key: string, from: string, gateway: string, id: string): boolean {
    const entry = this.#entries.get(key);
    if (!entry || entry.answer || entry.id !== from) return false;
    entry.gateway = gateway;
    entry.id = id;
    return true;
  }

  complete(now: number, key: string, id: string, answer: FinishedAnswer): void {
    const entry = this.#entries.get(key);
    if (entry?.id !== id || entry.answer) return;
    entry.answer = answer;
    entry.until = now + REPLAY_MS;
    this.#bytes += answer.text.length;
    this.#entries.delete(key);
    this.#entries.set(key, entry);
    this.#evict();
  }

  /** Forgets an attempt that ended without an answer, so that the next one is fresh. */
  abandon(key: string, id: string): void {
    const entry = this.#entries.get(key);
    if (entry && !entry.answer && entry.id === id) this.#delete(key, entry);
  }

  /** Forgets what is past its time. */
  expire(now: number): void {
    for (const [key, entry] of this.#entries) if (entry.until <= now) this.#delete(key, entry);
  }

  #live(now: number, key: string): Entry | undefined {
    const entry = this.#entries.get(key);
    if (!entry || entry.until > now) return entry;
    this.#delete(key, entry);
    return undefined;
  }

  /** Finished answers go before running attempts, oldest first. */
  #evict(): void {
    for (const [key, entry] of this.#entries) {
      if (this.#entries.size <= this.#limit && this.#bytes <= ANSWER_BYTES_LIMIT) return;
      if (entry.answer) this.#delete(key, entry);
    }
  }

  #delete(key: string, entry: Entry): void {
    this.#entries.delete(key);
    this.#bytes -= entry.answer?.text.length ?? 0;
  }
}
