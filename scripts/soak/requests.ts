/** The requests that callers send and the answers that runners must give, so that each side can verify the bytes of the other. */

import { createHash } from 'node:crypto';

/** Kind of a request, which decides whether its route allows retries: `once` and `stream` must run at most once. */
export type RequestKind = 'repeatable' | 'once' | 'stream' | 'resumable';

/** A request as a caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  /** Number of events in its answer; 0 for a plain answer. */
  readonly events: number;
  /** Its time limit in milliseconds. */
  readonly deadlineMs: number;
  readonly customer: string | undefined;
  /** The customer's API key. */
  readonly key: string | undefined;
  /** The stream that it continues; undefined for a new request. */
  readonly resumes: ResumedStream | undefined;
}

/** A stream that a caller takes up again. */
export interface ResumedStream {
  /** Id of the request that brought its first event. */
  readonly stream: string;
  /** Number of the last event that the caller has. */
  readonly afterEvent: number;
  /** Software version of the runner that made the first event. */
  readonly version: string;
}

/** Digest of the path and the body of a request. */
export function digestOf(path: string, body: string): string {
  return createHash('sha1').update(`${path}\n${body}`).digest('base64url');
}

/** The complete body of the answer to a plain request. */
export function plainAnswer(id: string, digest: string): string {
  return `${id} ${digest} ${'.'.repeat(400)}`;
}

/** Signature of an answer's body, with which a caller verifies the bytes. */
export function signatureOf(text: string): string {
  return createHash('sha1').update(text).digest('base64url');
}

/** One event of a streaming answer, which names the software version of its runner; numbers start at 1. */
export function eventOf(number: number, digest: string, version: string): string {
  return `id: ${number}\ndata: ${digest} ${number} ${version}\n\n`;
}

/** The number, the digest and the software version of a whole event; undefined if it has another form. */
export function partsOf(
  event: string,
): { readonly number: number; readonly digest: string; readonly version: string } | undefined {
  const [, id, digest = '', number, version = ''] =
    /^id: (\d+)\ndata: (\S+) (\d+) (\S+)$/.exec(event) ?? [];
  return id !== undefined && id === number ? { number: Number(id), digest, version } : undefined;
}

/** Number of events that a request's body asks for; 0 if it names none. */
export function eventCountOf(body: string): number {
  return Number(/events=(\d+)/.exec(body)?.[1] ?? 0);
}
