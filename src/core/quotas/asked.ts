/** Which owners of an account a VM asks for one request, one after the other. */

/** Owners asked by rank. */
const ASKED_BY_RANK = 2;

/** A VM that may own accounts. */
export interface OwnerCandidate {
  readonly vm: string;
  readonly domain: string;
}

/**
 * The owners to ask until one answers: the first ones by rank, then the first other one in the VM's
 * own failure domain. Where a failure domain is cut off, most owners by rank are on the other side.
 * Without the third one, VMs decided by their own small parts for a second, and refused up to 2 % of
 * the requests within quotas.
 * @param ranked owners by falling rank, those that did not answer lately last
 */
export function ownersToAsk<T extends OwnerCandidate>(
  ranked: readonly T[],
  domain: string,
): readonly T[] {
  const first = ranked.slice(0, ASKED_BY_RANK);
  const near = ranked.slice(ASKED_BY_RANK).find((owner) => owner.domain === domain);
  return near ? [...first, near] : first;
}
