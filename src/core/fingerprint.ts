/** Fingerprints of requests: digests that are the same for all attempts of one request. */

import { createHash } from 'node:crypto';

/** Characters of a content id, six bits each: enough to make collisions within a fleet negligible. */
const CONTENT_ID_LENGTH = 16;

/**
 * Digest of a request's content.
 * @param head what is read before the body: method, target and the like
 * @returns SHA-256 in base64url
 */
export function fingerprintOf(head: string, body: string | Uint8Array): string {
  return createHash('sha256').update(`${head}\0`).update(body).digest('base64url');
}

/** Short form of the fingerprint that identifies a request in messages and logs. */
export function contentIdOf(head: string, body: string | Uint8Array): string {
  return fingerprintOf(head, body).slice(0, CONTENT_ID_LENGTH);
}

/** What begins the fingerprints of prompt parts, and of nothing else. */
const PART_PREFIX = 'part:';
/** What begins the fingerprint of a part as the last one of a prompt, which is the request's own. */
const OWN_PREFIX = 'own:';
/** Characters of a digest of the scope, six bits each. */
const SCOPE_LENGTH = 8;
/** Maximum length of a part's id in its fingerprint, in characters; of a longer one its digest is used. */
const MAX_PART_ID_LENGTH = 32;
const PLAIN_ID = /^[0-9a-z]+$/;

/** What runs a prompt: a part that crashes the runners of one software or model may be sound with another one. */
export interface PromptScope {
  readonly service: string;
  /** Empty if the request names none. */
  readonly model: string;
  /** Software version of the runner. */
  readonly version: string;
}

/**
 * Fingerprints of the parts of a prompt: the same for all requests that share a part in the same
 * scope. The last part has two, since later requests of a session may go on from it.
 */
export function partFingerprints(
  { service, model, version }: PromptScope,
  parts: readonly string[],
): readonly string[] {
  const last = parts.at(-1);
  if (last === undefined) return [];
  const scope = contentIdOf(JSON.stringify([service, model, version]), '').slice(0, SCOPE_LENGTH);
  const all = [...new Set(parts)].map((id) => `${PART_PREFIX}${scope}:${shortIdOf(id)}`);
  return [...all, `${OWN_PREFIX}${scope}:${shortIdOf(last)}`];
}

/** Fingerprints of the blocks of a prompt, by their hashes; each stands for the prompt up to its end. */
export function blockFingerprints(blocks: readonly number[]): readonly string[] {
  return blocks.map((hash) => `${PART_PREFIX}block:${hash}`);
}

/** Whether a fingerprint is that of a prompt part, not of a whole request. */
export function isPart(fingerprint: string): boolean {
  return isSharedPart(fingerprint) || fingerprint.startsWith(OWN_PREFIX);
}

/** Whether a fingerprint is that of a part that is not the request's own. */
export function isSharedPart(fingerprint: string): boolean {
  return fingerprint.startsWith(PART_PREFIX);
}

/** The fingerprints that a request itself stands for: its last part only as its own. */
export function ownFingerprints(fingerprints: readonly string[]): readonly string[] {
  const own = fingerprints.find((one) => one.startsWith(OWN_PREFIX));
  const shared = own && `${PART_PREFIX}${own.slice(OWN_PREFIX.length)}`;
  return fingerprints.filter((one) => one !== shared);
}

function shortIdOf(id: string): string {
  const isShort = id.length <= MAX_PART_ID_LENGTH && PLAIN_ID.test(id);
  return isShort ? id : contentIdOf('part', id);
}
