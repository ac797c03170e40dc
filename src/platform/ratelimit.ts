/** Reads the rate limit that a runner announces in a response. */

import type { IncomingMessage } from 'node:http';

import type { RateNotice } from '../core/ratelimits/types';
import { header } from './names';

const DECIMAL_PATTERN = /^(\d+(\.\d*)?|\.\d+)$/;
/** Maximum number of characters of an unreadable value that are logged. */
const MAX_TEXT_CHARS = 40;

/**
 * The rate limit in a response: `none` without the header, `unreadable` if its value is not a decimal
 * number. Node joins a header that occurs twice with a comma, which is unreadable too.
 */
export function rateNoticeOf({ headers }: IncomingMessage): RateNotice {
  const value = headers[header.rateLimit];
  if (value === undefined) return { kind: 'none' };
  const text = (Array.isArray(value) ? value.join(', ') : value).trim();
  const ratePerS = DECIMAL_PATTERN.test(text) ? Number(text) : NaN;
  if (Number.isFinite(ratePerS)) return { kind: 'limited', ratePerS };
  return { kind: 'unreadable', text: text.slice(0, MAX_TEXT_CHARS) };
}
