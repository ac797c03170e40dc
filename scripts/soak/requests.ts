/** What callers send and what runners must answer, so that each side can tell whether the other's bytes are right. */

import { createHash } from 'node:crypto';

/** What a request may do, as its route says. */
export type RequestKind = 'repeatable' | 'once' | 'stream' | 'resumable';

/** A request as its caller sent it. */
export interface SentRequest {
  readonly id: string;
  readonly kind: RequestKind;
  readonly path: string;
  readonly body: string;
  /** Events that its answer has; 0 for plain ones. */
  readonly events: number;
  readonly customer: string | undefined;
  readonly key: string | undefined;
}

/** Names the content of a request. */
export function digestOf(path: string, body: string): string {
  return createHash('sha1').update(`${path}\n${body}`).digest('base64url');
}

/** The whole answer to a plain request. */
export function plainAnswer(id: string, digest: string): string {
  return `${id} ${digest} ${'.'.repeat(400)}`;
}

/** Signature of an answer: a caller can tell from it that it got these bytes. */
export function signatureOf(text: string): string {
  return createHash('sha1').update(text).digest('base64url');
}

/** One event of a streaming answer, from 1 on. */
export function eventOf(number: number, digest: string): string {
  return `id: ${number}\ndata: ${digest} ${number}\n\n`;
}

/** Events that a request's body asks for. */
export function eventCountOf(body: string): number {
  return Number(/events=(\d+)/.exec(body)?.[1] ?? 0);
}
