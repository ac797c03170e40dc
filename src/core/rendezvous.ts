/** Weighted rendezvous hashing: assigns owners to keys, with the same result on all VMs that know the same members. */

import { createHash } from 'node:crypto';

/** A potential owner. */
export interface Candidate {
  readonly id: string;
  /** Share of the keys relative to other candidates. */
  readonly weight: number;
}

/** Maps (key, id) uniformly to (0, 1). */
function unit(key: string, id: string): number {
  const digest = createHash('sha1').update(key).update('\0').update(id).digest();
  return (digest.readUInt32BE(0) + 1) / (2 ** 32 + 2);
}

/** Score of a candidate for a key; the candidate with the highest score owns it. */
function score(key: string, candidate: Candidate): number {
  return candidate.weight / -Math.log(unit(key, candidate.id));
}

/** Candidates by descending score for a key: the first is the owner, the next takes over if it fails. */
export function rank<T extends Candidate>(key: string, candidates: readonly T[]): readonly T[] {
  const scored = candidates.map((candidate) => ({ candidate, value: score(key, candidate) }));
  scored.sort((a, b) => b.value - a.value || (a.candidate.id < b.candidate.id ? -1 : 1));
  return scored.map(({ candidate }) => candidate);
}
