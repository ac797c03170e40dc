/**
 * Determines the customer of a request and whether the request is allowed by the
 * configuration known to this VM.
 *
 * A revoked key must stop working on all VMs within a stated time, also on one that is
 * cut off and receives no updates. A key is therefore accepted only while this VM's
 * configuration is confirmed to be no older than that. An unknown key may merely be newer
 * than the configuration, so a request is rejected as final only if the configuration is
 * recent; callers do not retry after that answer.
 */

import { Failure } from '../failure';
import type { RouteTable } from '../routing/table';
import type { Route } from '../routing/types';
import type { Customer } from './types';

/** The credential of a request. */
export type Credential =
  | { readonly kind: 'none' }
  /** Digest of the key; see `digestOfKey`. */
  | { readonly kind: 'key'; readonly digest: string }
  /** The credential cannot be parsed as a key. */
  | { readonly kind: 'unfit'; readonly detail: string };

/** Maximum age of the configuration for decisions, in milliseconds. */
export interface AgeBounds {
  /** For accepting a key; infinite if revoked keys need not stop within a stated time. */
  readonly keyMs: number;
  /** For a final rejection: at this age every configuration that may be in force lacks the item. */
  readonly finalMs: number;
}

/** Time after which a caller may retry at a VM whose configuration is too old, in milliseconds; the answer names other VMs to use meanwhile. */
const RETRY_MS = 300;

/** The failure for a decision that needs a newer configuration than this VM has. */
export function staleConfigFailure(ageMs: number, detail: string): Failure {
  const age = Number.isFinite(ageMs) ? `${Math.round(ageMs)} ms old` : 'of unknown age';
  return new Failure('configOld', `${detail}, by a configuration ${age}`, {
    retryAfterMs: RETRY_MS,
  });
}

/**
 * The customer of a request; undefined if none is needed. Throws `unauthorized` if the
 * request belongs to no customer, and `configOld` if this VM's configuration is too old
 * to decide.
 * @param ageMs maximum age of the configuration in milliseconds
 */
export function identify(
  { keyRing }: RouteTable,
  { anonymous }: Route,
  credential: Credential,
  ageMs: number,
  { keyMs, finalMs }: AgeBounds,
): Customer | undefined {
  if (!keyRing) return undefined;
  if (credential.kind === 'none' && anonymous) return undefined;
  const customer = credential.kind === 'key' ? keyRing.holderOf(credential.digest) : undefined;
  if (!customer) throw rejectionOf(credential, ageMs, finalMs);
  if (ageMs > keyMs) throw staleConfigFailure(ageMs, `found a key of ${customer.name}`);
  return customer;
}

function rejectionOf(credential: Credential, ageMs: number, finalMs: number): Failure {
  const detail = detailOf(credential);
  return ageMs > finalMs ? staleConfigFailure(ageMs, detail) : new Failure('unauthorized', detail);
}

function detailOf(credential: Credential): string {
  if (credential.kind === 'none') return 'found no key, expected one';
  return credential.kind === 'unfit' ? credential.detail : 'found an unknown key';
}
