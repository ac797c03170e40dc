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
export interface Proof {
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
/** Parts of the age to which a proof is good from which a VM asks the store itself: a reader, so that others have it in time, and one that nobody tells. */
const READER_PART = 0.3;
const ALONE_PART = 0.7;

/**
 * Age of its proof from which a VM asks the store itself, in milliseconds. A watch proves
 * nothing while it waits, for seconds where little changes.
 * @param goodMs age to which a proof is good
 */
export function proofDueMs(goodMs: number, isReader: boolean): number {
  return goodMs * (isReader ? READER_PART : ALONE_PART);
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
  prove(asOf: number): void {
    this.#asOf = Math.max(this.#asOf, asOf);
  }

  /** The store answered what it was asked at a time. */
  storeAnswered(askedAt: number): void {
    if (askedAt >= this.#storeProvesFrom) this.prove(askedAt);
  }

  /** The store came back from an older copy. */
  storeCameBack(now: number): void {
    this.#storeProvesFrom = now + RETURN_MS;
  }

  /** This VM asks another one. */
  ask(now: number, seq: number): void {
    this.#asked.set(seq, now);
    const [oldest] = this.#asked.keys();
    if (this.#asked.size > ASKED_MOST && oldest !== undefined) this.#asked.delete(oldest);
  }

  /** Another VM answers a question; see `ask`. */
  answer(seq: number, proof: Proof, version: number): void {
    const askedAt = this.#asked.get(seq);
    if (askedAt !== undefined) this.told(askedAt, proof, version);
  }

  /**
   * Another VM told its proof after it was asked for it.
   * @param version the own configuration; a proof for a later one says nothing of it
   */
  told(askedAt: number, { version: proven, ageMs }: Proof, version: number): void {
    if (proven <= version) this.prove(askedAt - ageMs);
  }

  /** What this VM tells others; undefined if it has no proof. */
  tell(now: number, version: number): Proof | undefined {
    const ageMs = this.ageMs(now);
    return Number.isFinite(ageMs) ? { version, ageMs } : undefined;
  }
}
