/**
 * How old the configuration of a VM can be at most.
 *
 * Time is counted from the moment at which this VM asked, whoever answered: what
 * came between is unknown, and so the age is never told too low. The store's answer
 * proves that nothing newer was there when it was asked. Another VM answers with the
 * age of its own proof, which therefore passes from VM to VM without the store. Times
 * are on this VM's own clock, which must go on while the VM is suspended: times of
 * day differ by seconds, and news that did not come proves nothing.
 */

/** What a VM tells of its own proof. */
export interface FreshnessProof {
  /** Its configuration, to which the proof belongs. */
  readonly version: number;
  readonly ageMs: number;
}

/**
 * Time after its return from an older copy in which the store's answers prove nothing, in
 * milliseconds: the copy may lack a configuration that was confirmed, until the operator has
 * written it again.
 */
const RETURN_MS = 2500;
/**
 * Parts of the age to which a proof is good: from the first a reader asks the store, since
 * a watch proves nothing while it waits; from the second other VMs ask the readers of
 * their failure domain, from the third the store itself.
 */
const READER_PART = 0.25;
const ASK_PART = 0.5;
const ALONE_PART = 0.7;

/** Whom a VM is to ask how old its configuration is. */
export type ProofSource = 'store' | 'readers' | 'nobody';

/** @param goodMs age to which a proof is good, in milliseconds */
export function proofSource(ageMs: number, goodMs: number, isReader: boolean): ProofSource {
  if (ageMs > goodMs * (isReader ? READER_PART : ALONE_PART)) return 'store';
  return ageMs > goodMs * ASK_PART ? 'readers' : 'nobody';
}

/** Waits between two questions to the store, in milliseconds: the first, doubled up to the limit; all VMs ask where the store is away for all, and readers bring the proof back to them. */
const READER_WAIT_MS = { first: 250, limit: 500 };
const ALONE_WAIT_MS = { first: 500, limit: 4000 };

/** Paces the questions of one VM to the store. */
export class ProofBackoff {
  #at = -Infinity;

  #waitMs = 0;

  /** Whether the store may be asked now; counts as a question. */
  tryQuery(now: number, isReader: boolean): boolean {
    if (now < this.#at) return false;
    const { first, limit } = isReader ? READER_WAIT_MS : ALONE_WAIT_MS;
    this.#waitMs = Math.min(limit, Math.max(first, this.#waitMs * 2));
    this.#at = now + this.#waitMs;
    return true;
  }

  /** The proof is young again. */
  reset(): void {
    this.#waitMs = 0;
  }
}

/** Questions to other VMs that are kept in mind; each is answered soon or never. */
const ASKED_MOST = 32;

/** The proof of one VM. */
export class Freshness {
  /** Nothing newer than the own configuration was in force then. Default: unknown. */
  #asOf = -Infinity;

  readonly #asked = new Map<number, number>();

  #storeProvesFrom = -Infinity;

  /** How old the configuration can be at most, in milliseconds; infinite if that is unknown. */
  ageMs(now: number): number {
    return now - this.#asOf;
  }

  /** Takes over that nothing newer than the own configuration was in force at a time. */
  confirm(asOf: number): void {
    this.#asOf = Math.max(this.#asOf, asOf);
  }

  /** The store answered what it was asked at a time. */
  recordStoreAnswer(askedAt: number): void {
    if (askedAt >= this.#storeProvesFrom) this.confirm(askedAt);
  }

  /** The store came back from an older copy. */
  recordStoreRestore(now: number): void {
    this.#storeProvesFrom = now + RETURN_MS;
  }

  /** This VM asks another one. */
  recordQuery(now: number, seq: number): void {
    this.#asked.set(seq, now);
    const [oldest] = this.#asked.keys();
    if (this.#asked.size > ASKED_MOST && oldest !== undefined) this.#asked.delete(oldest);
  }

  /** Another VM answers a question; see `ask`. */
  recordReply(seq: number, proof: FreshnessProof, version: number): void {
    const askedAt = this.#asked.get(seq);
    if (askedAt !== undefined) this.acceptProof(askedAt, proof, version);
  }

  /**
   * Another VM told its proof after it was asked for it.
   * @param version the own configuration; a proof for a later one says nothing of it
   */
  acceptProof(askedAt: number, { version: proven, ageMs }: FreshnessProof, version: number): void {
    if (proven <= version) this.confirm(askedAt - ageMs);
  }

  /** What this VM tells others; undefined if it has no proof. */
  proofAt(now: number, version: number): FreshnessProof | undefined {
    const ageMs = this.ageMs(now);
    return Number.isFinite(ageMs) ? { version, ageMs } : undefined;
  }
}
