/**
 * Whose a request is, and whether it may run by what this VM knows.
 *
 * A key that was taken away must not run anything a stated time later, on any VM,
 * also on one that is cut off and hears of no change. So a key counts only for as
 * long as this VM's configuration is known not to be older than that. What it does
 * not know may be news to it, so it says for good that a key is unknown only where
 * its configuration is recent; callers do not come back after that answer.
 */

import { Failure } from '../failure';
import type { RouteTable } from '../routing/table';
import type { Route } from '../routing/types';
import type { Customer } from './types';

/** What a request says of whose it is. */
export type Credential =
  | { readonly kind: 'none' }
  /** `digest` of the key. */
  | { readonly kind: 'key'; readonly digest: string }
  /** Something that is no key. */
  | { readonly kind: 'unfit'; readonly detail: string };

/** How old a configuration may be to decide by, in milliseconds. */
export interface AgeBounds {
  /** For a key to count; infinite where keys that were taken away need not stop in time. */
  readonly keyMs: number;
  /** To say for good that something is not there: every configuration that may be in force lacks it. */
  readonly finalMs: number;
}

/** When a caller may come back to a VM whose configuration is too old, in milliseconds: others are told to it meanwhile. */
const RETRY_MS = 300;

/** What the VM that decides cannot know. */
export function staleConfigFailure(ageMs: number, detail: string): Failure {
  const age = Number.isFinite(ageMs) ? `${Math.round(ageMs)} ms old` : 'of unknown age';
  return new Failure('configOld', `${detail}, by a configuration ${age}`, {
    retryAfterMs: RETRY_MS,
  });
}

/**
 * The customer whose request it is; undefined where none is needed. Throws
 * `unauthorized` if it is nobody's, and `configOld` if this VM cannot know.
 * @param ageMs how old the configuration can be at most, in milliseconds
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
  if (!customer) throw refusalOf(credential, ageMs, finalMs);
  if (ageMs > keyMs) throw staleConfigFailure(ageMs, `found a key of ${customer.name}`);
  return customer;
}

function refusalOf(credential: Credential, ageMs: number, finalMs: number): Failure {
  const detail = detailOf(credential);
  return ageMs > finalMs ? staleConfigFailure(ageMs, detail) : new Failure('unauthorized', detail);
}

function detailOf(credential: Credential): string {
  if (credential.kind === 'none') return 'found no key, expected one';
  return credential.kind === 'unfit' ? credential.detail : 'found an unknown key';
}
