/** Logs: short sentences with a fixed prefix for each part of the program. */

import type { DestinationStream, Logger } from 'pino';
import pino from 'pino';

/** The parts that write logs; the name is the prefix. */
export type Component =
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
  | 'quarantine'
  | 'quotas'
  | 'ratelimits'
  | 'store'
  | 'orders'
  | 'runner'
  | 'cli';

/** Root logger of a process. */
export function createLog(level: string, vm: string, destination?: DestinationStream): Logger {
  const options = { level, base: { vm }, timestamp: pino.stdTimeFunctions.isoTime };
  return destination ? pino(options, destination) : pino(options);
}

/** Bytes that are gathered before they are written, and most that may wait to be written. */
const WRITE_BYTES = 4096;
const WAITING_BYTES = 1024 * 1024;
/** Longest time that a line waits to be written, in milliseconds. */
const FLUSH_MS = 200;

/**
 * Root logger of a process that must not wait for its log: a reader that does not
 * read would otherwise stop the process in the middle of a request. What does not
 * fit is dropped, counted and said in the log once it is read again.
 */
export function createBoundedLog(
  level: string,
  vm: string,
): { readonly log: Logger; readonly flush: () => void } {
  const stream = pino.destination({
    dest: 1,
    sync: false,
    minLength: WRITE_BYTES,
    maxLength: WAITING_BYTES,
  });
  const log = createLog(level, vm, stream);
  let dropped = 0;
  stream.on('drop', () => {
    dropped += 1;
  });
  const flush = (): void => {
    if (dropped > 0) log.warn({ dropped }, 'Lines were dropped.');
    dropped = 0;
    stream.flush();
  };
  setInterval(flush, FLUSH_MS).unref();
  return { log, flush: () => stream.flushSync() };
}

/** Logger of one part: each message starts with `part: `. */
export function logOf(root: Logger, part: Component): Logger {
  return root.child({}, { msgPrefix: `${part}: ` });
}
