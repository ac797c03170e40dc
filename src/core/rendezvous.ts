/** Weighted rendezvous hashing: who owns a key, decided alike by all who know the same members. */

import { createHash } from 'node:crypto';

/** A possible owner. */
export interface Candidate {
  readonly id: string;
  /** Share of the keys relative to other candidates. */
  readonly weight: number;
}

/** Maps (key, id) to (0, 1) uniformly. */
function unit(key: string, id: string): number {
  const digest = createHash('sha1').update(key).update('\0').update(id).digest();
  return (digest.readUInt32BE(0) + 1) / (2 ** 32 + 2);
}

/** Score of a candidate for a key; the highest owns it. */
function score(key: string, candidate: Candidate): number {
  return candidate.weight / -Math.log(unit(key, candidate.id));
}

/** Candidates by falling score for a key: the first is the owner, the next takes over from it. */
export function rank<T extends Candidate>(key: string, candidates: readonly T[]): readonly T[] {
  const scored = candidates.map((candidate) => ({ candidate, value: score(key, candidate) }));
  scored.sort((a, b) => b.value - a.value || (a.candidate.id < b.candidate.id ? -1 : 1));
  return scored.map(({ candidate }) => candidate);
}
