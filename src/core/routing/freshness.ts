/**
 * Upper bound on the age of a VM's configuration.
 *
 * The age counts from the moment at which this VM sent its query, whichever process answered it.
 * Changes after that moment are unknown, so the reported age is never too low. An answer
 * of the store confirms that nothing newer was in force when it was asked. Another VM
 * answers with the age of its own confirmation, so confirmations pass from VM to VM
 * without the store. Times are on this VM's own monotonic clock, which must go on while
 * the VM is suspended: wall clocks differ by seconds, and the absence of updates
 * confirms nothing.
 */

/** A VM's confirmation that its configuration was in force at some time. */
export interface FreshnessProof {
  /** Version of the configuration that is confirmed. */
  readonly version: number;
  readonly ageMs: number;
}

/**
 * Time after the store was restored from an older copy in which its answers confirm
 * nothing, in milliseconds: the copy may lack a confirmed configuration until the
 * operator has written it again.
 */
const RESTORE_GRACE_MS = 2500;
/**
 * Fractions of the maximum age at which a VM asks for a new confirmation. From the first
 * on, a reader queries the store, since a pending watch confirms nothing. From the second
 * on, other VMs query the readers of their failure domain; from the third on, the store
 * itself.
 */
const READER_FRACTION = 0.25;
const PEER_FRACTION = 0.5;
const STORE_FRACTION = 0.7;

/** Where a VM asks for a new confirmation. */
export type ProofSource = 'store' | 'readers' | 'nobody';

/**
 * Selects where to ask for a new confirmation at the current age.
 * @param maxAgeMs age up to which a confirmation is accepted, in milliseconds
 */
export function proofSource(ageMs: number, maxAgeMs: number, isReader: boolean): ProofSource {
  if (ageMs > maxAgeMs * (isReader ? READER_FRACTION : STORE_FRACTION)) return 'store';
  return ageMs > maxAgeMs * PEER_FRACTION ? 'readers' : 'nobody';
}

/** Backoff between two queries to the store, in milliseconds: the first wait, doubled up to the limit. If the store is unavailable to all, all VMs query it, and readers distribute the next confirmation to them. */
const READER_BACKOFF_MS = { first: 250, limit: 500 };
const STORE_BACKOFF_MS = { first: 500, limit: 4000 };

/** Exponential backoff for the queries of one VM to the store. */
export class ProofBackoff {
  #nextAt = -Infinity;

  #waitMs = 0;

  /** Whether the store may be queried now; if so, counts the query. */
  tryQuery(now: number, isReader: boolean): boolean {
    if (now < this.#nextAt) return false;
    const { first, limit } = isReader ? READER_BACKOFF_MS : STORE_BACKOFF_MS;
    this.#waitMs = Math.min(limit, Math.max(first, this.#waitMs * 2));
    this.#nextAt = now + this.#waitMs;
    return true;
  }

  /** Resets the backoff after a new confirmation. */
  reset(): void {
    this.#waitMs = 0;
  }
}

/** Pending queries to other VMs that are tracked; each is answered soon or never. */
const MAX_PENDING = 32;

/** The freshness confirmation of one VM. */
export class Freshness {
  /** Time at which nothing newer than the own configuration was in force; minus infinity if unknown. */
  #asOf = -Infinity;

  readonly #pending = new Map<number, number>();

  #storeValidFrom = -Infinity;

  /** Maximum age of the configuration in milliseconds; infinite if unknown. */
  ageMs(now: number): number {
    return now - this.#asOf;
  }

  /** Records that nothing newer than the own configuration was in force at a time. */
  confirm(asOf: number): void {
    this.#asOf = Math.max(this.#asOf, asOf);
  }

  /** Records an answer of the store to a query sent at `askedAt`. */
  recordStoreAnswer(askedAt: number): void {
    if (askedAt >= this.#storeValidFrom) this.confirm(askedAt);
  }

  /** Records that the store was restored from an older copy. */
  recordStoreRestore(now: number): void {
    this.#storeValidFrom = now + RESTORE_GRACE_MS;
  }

  /** Records a query to another VM. */
  recordQuery(now: number, seq: number): void {
    this.#pending.set(seq, now);
    const [oldest] = this.#pending.keys();
    if (this.#pending.size > MAX_PENDING && oldest !== undefined) this.#pending.delete(oldest);
  }

  /** Records the answer to a query; see `recordQuery`. Unknown queries are ignored. */
  recordReply(seq: number, proof: FreshnessProof, version: number): void {
    const askedAt = this.#pending.get(seq);
    if (askedAt !== undefined) this.acceptProof(askedAt, proof, version);
  }

  /**
   * Applies the confirmation of another VM that was queried at `askedAt`.
   * @param version the own configuration; a confirmation for a later one does not apply to it
   */
  acceptProof(
    askedAt: number,
    { version: confirmed, ageMs }: FreshnessProof,
    version: number,
  ): void {
    if (confirmed <= version) this.confirm(askedAt - ageMs);
  }

  /** The confirmation that this VM sends to others; undefined if it has none. */
  proofAt(now: number, version: number): FreshnessProof | undefined {
    const ageMs = this.ageMs(now);
    return Number.isFinite(ageMs) ? { version, ageMs } : undefined;
  }
}
