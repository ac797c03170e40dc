/** Reads the rate limit that a runner names in an answer. */

import type { IncomingMessage } from 'node:http';

import type { RateNotice } from '../core/ratelimits/types';
import { header } from './names';

const DECIMAL = /^(\d+(\.\d*)?|\.\d+)$/;
/** Characters of an unreadable value that are logged. */
const TEXT_LENGTH = 40;

/** A header that is there twice arrives as one value with a comma, which is no decimal number. */
export function rateNoticeOf({ headers }: IncomingMessage): RateNotice {
  const value = headers[header.rateLimit];
  if (value === undefined) return { kind: 'none' };
  const text = (Array.isArray(value) ? value.join(', ') : value).trim();
  const ratePerS = DECIMAL.test(text) ? Number(text) : NaN;
  if (Number.isFinite(ratePerS)) return { kind: 'limited', ratePerS };
  return { kind: 'unreadable', text: text.slice(0, TEXT_LENGTH) };
}
