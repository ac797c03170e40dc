/** Reads the load that a runner reports in a response. */

import type { IncomingMessage } from 'node:http';

import type { RunnerLoad } from '../core/plain/types';
import { MAX_SLOTS } from '../core/routing/types';
import { header } from './names';

/** Running, waiting and slots as integers, then how long work takes in percent of the usual time. */
const LOAD_PATTERN = /^(\d{1,6})\s*,\s*(\d{1,6})\s*,\s*(\d{1,6})(?:\s*,\s*(\d{1,6}(?:\.\d+)?))?$/;
const USUAL_PERCENT = 100;

/**
 * The load in a response; undefined without the header or if its value is malformed or cannot be true. Node joins a
 * header that occurs twice with a comma, which has too many values.
 */
export function loadOf({ headers }: IncomingMessage): RunnerLoad | undefined {
  const value = headers[header.load];
  const match = typeof value === 'string' ? LOAD_PATTERN.exec(value.trim()) : null;
  if (!match) return undefined;
  const [, running, waiting, slots, percent] = match;
  const slowness = percent === undefined ? undefined : Number(percent) / USUAL_PERCENT;
  if (Number(slots) === 0 || Number(slots) > MAX_SLOTS || slowness === 0) return undefined;
  return { running: Number(running), waiting: Number(waiting), slots: Number(slots), slowness };
}
