/** Loggers: messages are short sentences with a fixed prefix for each component. */

import type { DestinationStream, Logger } from 'pino';
import pino from 'pino';

/** Components that write log lines; the name is the prefix of their messages. */
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
  | 'callers'
  | 'front'
  | 'knowledge'
  | 'places'
  | 'quarantine'
  | 'quotas'
  | 'ratelimits'
  | 'retries'
  | 'store'
  | 'streams'
  | 'orders'
  | 'paths'
  | 'plain'
  | 'runner'
  | 'cli';

/** Creates the root logger of a process; without a destination it writes to standard output. */
export function createLog(level: string, vm: string, destination?: DestinationStream): Logger {
  const options = { level, base: { vm }, timestamp: pino.stdTimeFunctions.isoTime };
  return destination ? pino(options, destination) : pino(options);
}

/** Bytes that are buffered before a write. */
const MIN_WRITE_BYTES = 4096;
/** Limit on buffered bytes; lines beyond it are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
/** Longest time that a line stays in the buffer, in milliseconds. */
const FLUSH_INTERVAL_MS = 200;

/**
 * Creates a root logger that writes asynchronously to standard output. With
 * synchronous writes, a consumer that stops reading the pipe would block the process
 * in the middle of a request. Lines that exceed the buffer are dropped and counted,
 * and the count is logged by the next periodic flush. `flush` writes the buffer synchronously.
 */
export function createBoundedLog(
  level: string,
  vm: string,
): { readonly log: Logger; readonly flush: () => void } {
  const stream = pino.destination({
    dest: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
  });
  const log = createLog(level, vm, stream);
  let dropped = 0;
  stream.on('drop', () => {
    dropped += 1;
  });
  const flush = (): void => {
    if (dropped > 0) log.warn({ dropped }, 'Dropped log lines.');
    dropped = 0;
    stream.flush();
  };
  setInterval(flush, FLUSH_INTERVAL_MS).unref();
  return { log, flush: () => stream.flushSync() };
}

/** Creates the logger of one component: each message starts with `<component>: `. */
export function logOf(root: Logger, component: Component): Logger {
  return root.child({}, { msgPrefix: `${component}: ` });
}
