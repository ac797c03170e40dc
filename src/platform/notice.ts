/** Reads from a response whether its runner leaves, and for how long it wants no requests. */

import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';

import type { RunnerNotice } from '../core/routing/notice';
import { header } from './names';

const LEAVING = '1';
const NOT_LEAVING = '0';
const SECONDS_PATTERN = /^\d+(\.\d+)?$/;
/** Maximum number of characters of an unreadable value that are logged. */
const MAX_TEXT_CHARS = 40;

/** Largest time that a date can have, in milliseconds; far larger numbers have no decimal text for a header. */
const MAX_DELAY_MS = 8.64e15;

/** Statuses of rejections, with which `retry-after` tells when to come back (RFC 9110, RFC 6585). */
const REJECTIONS: ReadonlySet<number> = new Set([429, 503]);

/** Decodes the notice in a response. */
export function noticeOf(message: IncomingMessage): RunnerNotice {
  const leaving = flagsOf(message.headers);
  const isRejection = REJECTIONS.has(message.statusCode ?? 0);
  // Of several values, `headers` has only the first.
  const delays = isRejection ? (message.headersDistinct[header.retryAfter] ?? []) : [];
  const delaysMs = delays.map((value) => delayMsOf(value, message.headers.date));
  const readableMs = delaysMs.filter((delayMs) => delayMs !== undefined);
  return {
    leaving: isLeaving(message.headers),
    backoffMs: readableMs.length === 0 ? undefined : Math.max(...readableMs),
    unreadable: [
      ...leaving
        .filter((value) => value !== LEAVING && value !== NOT_LEAVING)
        .map(textOf(header.leaving)),
      ...delays.filter((_, index) => delaysMs[index] === undefined).map(textOf(header.retryAfter)),
    ],
  };
}

/** Whether the headers of a response announce that the runner leaves. */
export function isLeaving(headers: IncomingHttpHeaders): boolean {
  return flagsOf(headers).includes(LEAVING);
}

/** The values of the flag; Node joins a header that occurs twice with a comma. */
function flagsOf({ [header.leaving]: value }: IncomingHttpHeaders): readonly string[] {
  return value === undefined
    ? []
    : [value]
        .flat()
        .join(',')
        .split(',')
        .map((one) => one.trim());
}

function textOf(name: string): (value: string) => string {
  return (value) => `${name}: ${value.slice(0, MAX_TEXT_CHARS)}`;
}

/**
 * The delay in milliseconds, at most to the last date there is; undefined if the value is neither a number of seconds nor a date. A
 * date counts from the date of the response, since the clocks of VM and runner may differ.
 */
function delayMsOf(value: string, sentAt: string | undefined): number | undefined {
  const text = value.trim();
  const seconds = SECONDS_PATTERN.test(text) ? Number(text) : NaN;
  const dateMs = /[a-z]/i.test(text) ? Date.parse(text) - Date.parse(sentAt ?? '') : NaN;
  const delayMs = Number.isNaN(seconds) ? Math.max(0, dateMs) : seconds * 1000;
  return Number.isFinite(delayMs) ? Math.min(delayMs, MAX_DELAY_MS) : undefined;
}
