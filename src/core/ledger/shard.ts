/**
 * One shard of the run ledger: claims and outcomes of non-idempotent calls, stored as
 * a single value in the key-value service.
 *
 * Safety depends on compare-and-swap alone. Two schedulers that both act as owner of a
 * shard cause write conflicts, never a second run.
 */

import { createHash } from 'node:crypto';

import { z } from 'zod';

/** The answer to a call, kept for replay. */
export interface Outcome {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** A claim to run a call. */
export interface Claim {
  readonly key: string;
  /** Identifies this attempt, so that a scheduler recognizes its own claim after the answer to the write was lost. */
  readonly nonce: string;
  /** Fingerprint of the request, so that a key cannot be used for two different requests. */
  readonly fingerprint: string;
}

/** Result of a claim. */
export type ClaimResult =
  | { readonly kind: 'claimed' }
  | { readonly kind: 'running' }
  | { readonly kind: 'done'; readonly outcome: Outcome }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'full' };

/** A change to a shard. */
export type ShardChange =
  | { readonly kind: 'claim'; readonly claim: Claim; readonly at: number }
  /** Stores the outcome of the claim with this nonce. */
  | {
      readonly kind: 'settle';
      readonly key: string;
      readonly nonce: string;
      readonly outcome: Outcome;
    }
  /** Removes the claim with this nonce, after it is certain that the call did not run. */
  | { readonly kind: 'withdraw'; readonly key: string; readonly nonce: string };

const entrySchema = z.object({
  n: z.string(),
  f: z.string(),
  t: z.number(),
  o: z.object({ s: z.int(), c: z.string(), b: z.string() }).optional(),
});
const shardSchema = z.object({ entries: z.record(z.string(), entrySchema) });

type Entry = z.infer<typeof entrySchema>;

/** Retention time of entries, in milliseconds; afterwards a key may be reused. */
export const RETENTION_MS = 24 * 3600 * 1000;
/** Time after its claim within which a call may be dispatched, in milliseconds; far shorter than the retention time. */
export const DISPATCH_LIMIT_MS = 30_000;
/** Maximum size of a stored value, in bytes; the key-value service accepts one megabyte. */
export const SHARD_LIMIT_BYTES = 900_000;
/** Maximum size of an answer kept for replay, in bytes. */
export const OUTCOME_LIMIT_BYTES = 8192;
/** Estimated size of an entry without its key and outcome, in bytes. */
const ENTRY_BYTES = 120;

/** Hash of a team's key, which is short and does not reveal the key to readers of the store. */
export function ledgerKey(team: string, key: string): string {
  return createHash('sha256').update(`${team}\0${key}`).digest('base64url').slice(0, 22);
}

/** Number of shards of the ledger. It is fixed, since two VMs with different numbers could both claim the same call. */
export const LEDGER_SHARDS = 16;

/** Shard number of a ledger key. */
export function shardOf(key: string): number {
  return createHash('sha1').update(key).digest().readUInt32BE(0) % LEDGER_SHARDS;
}

function sizeOf(key: string, entry: Entry): number {
  return ENTRY_BYTES + key.length + (entry.o ? entry.o.b.length + entry.o.c.length : 0);
}

/** Content of one shard. */
export class LedgerShard {
  readonly #entries: Map<string, Entry>;

  #bytes = 0;

  #changed = false;

  private constructor(entries: Map<string, Entry>) {
    this.#entries = entries;
    for (const [key, entry] of entries) this.#bytes += sizeOf(key, entry);
  }

  /** Parses a stored value; undefined is an empty shard. Throws if the value is malformed. */
  static parse(value: string | undefined): LedgerShard {
    if (value === undefined || value === '') return new LedgerShard(new Map());
    const { entries } = shardSchema.parse(JSON.parse(value));
    return new LedgerShard(new Map(Object.entries(entries)));
  }

  /** Whether the content differs from the parsed value. */
  get changed(): boolean {
    return this.#changed;
  }

  /** Serializes the content for the store. */
  toString(): string {
    return JSON.stringify({ entries: Object.fromEntries(this.#entries) });
  }

  /** Removes entries past their retention time. `now` is in milliseconds. */
  prune(now: number): void {
    for (const [key, entry] of this.#entries) {
      if (entry.t + RETENTION_MS < now) this.#delete(key, entry);
    }
  }

  /** Applies a change. Only claims have a meaningful result; a change with an unknown key or another nonce has no effect. */
  apply(change: ShardChange): ClaimResult {
    if (change.kind === 'claim') return this.#claim(change.claim, change.at);
    const entry = this.#entries.get(change.key);
    if (entry?.n === change.nonce) {
      if (change.kind === 'withdraw') this.#delete(change.key, entry);
      else this.#settle(change.key, entry, change.outcome);
    }
    return { kind: 'claimed' };
  }

  #claim({ key, nonce, fingerprint }: Claim, at: number): ClaimResult {
    const known = this.#entries.get(key);
    if (!known) return this.#add(key, { n: nonce, f: fingerprint, t: at });
    if (known.n === nonce) return { kind: 'claimed' };
    if (known.f !== fingerprint) return { kind: 'mismatch' };
    if (!known.o) return { kind: 'running' };
    const { s: status, c: contentType, b: body } = known.o;
    return { kind: 'done', outcome: { status, contentType, body } };
  }

  #add(key: string, entry: Entry): ClaimResult {
    const size = sizeOf(key, entry);
    // The claim requires space for its outcome too: an outcome that did not fit could never be replayed.
    if (this.#bytes + size + OUTCOME_LIMIT_BYTES > SHARD_LIMIT_BYTES) return { kind: 'full' };
    this.#entries.set(key, entry);
    this.#bytes += size;
    this.#changed = true;
    return { kind: 'claimed' };
  }

  #settle(key: string, entry: Entry, { status, contentType, body }: Outcome): void {
    if (entry.o) return;
    const kept = { ...entry, o: { s: status, c: contentType, b: body } };
    this.#bytes += sizeOf(key, kept) - sizeOf(key, entry);
    this.#entries.set(key, kept);
    this.#changed = true;
  }

  #delete(key: string, entry: Entry): void {
    this.#entries.delete(key);
    this.#bytes -= sizeOf(key, entry);
    this.#changed = true;
  }
}
