/** Logs: short sentences with a fixed prefix for each part of the program. */

import type { DestinationStream, Logger } from 'pino';
import pino from 'pino';

/** The parts that write logs; the name is the prefix. */
export type Part =
  | 'gateway'
  | 'scheduler'
  | 'cell'
  | 'members'
  | 'settings'
  | 'ledger'
  | 'keys'
  | 'peer'
  | 'router'
  | 'front'
  | 'knowledge'
  | 'places'
  | 'store'
  | 'orders'
  | 'cli';

/** Root logger of a process. */
export function createLog(level: string, vm: string, destination?: DestinationStream): Logger {
  const options = { level, base: { vm }, timestamp: pino.stdTimeFunctions.isoTime };
  return destination ? pino(options, destination) : pino(options);
}

/** Logger of one part: each message starts with `part: `. */
export function logOf(root: Logger, part: Part): Logger {
  return root.child({}, { msgPrefix: `${part}: ` });
}
