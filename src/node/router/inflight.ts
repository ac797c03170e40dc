/** Requests under way at runners. Those at a start of a runner that is over are ended as soon as that is known. */

import type { Logger } from 'pino';

import type { Runner } from '../../core/routing/types';
import type {
  CacheHandle,
  DecodeDispatch,
  Dispatch,
  OrderOutcome,
  Reply,
  RunnerClient,
  RunnerReport,
} from './types';

/** One request at one runner. */
interface Inflight {
  readonly dispatch: Dispatch;
  /** Time of day at which it was sent, in Unix milliseconds. */
  readonly sentAt: number;
  readonly controller: AbortController;
  reply: Reply | undefined;
}

/** By how much the clocks of a VM and a runner may differ, in milliseconds: times of day are stepped by seconds. */
const CLOCK_SKEW_MS = 5000;
/** Silence after which a request that may have met either start counts as lost, in milliseconds: a stream brings events in less, and a prompt is read in about that time. */
const SILENT_MS = 250;

/** Whether a request was surely sent to a start before the one born then. */
export function wasSentBefore(sentAt: number, bornAt: number): boolean {
  return sentAt + CLOCK_SKEW_MS < bornAt;
}

/**
 * Passes requests on to another client and keeps them in mind. A runner that lost
 * power and starts again sends nothing on its old connections: their callers
 * waited for the stream's time-out of seconds, although the new start is listed.
 */
export class InflightClient implements RunnerClient {
  readonly #client: RunnerClient;

  readonly #log: Logger;

  /** Start of a runner that is known last, by its listing. */
  readonly #latestStart: (listing: string) => number;

  readonly #inflight = new Set<Inflight>();

  constructor(client: RunnerClient, latestStart: (listing: string) => number, log: Logger) {
    this.#client = client;
    this.#latestStart = latestStart;
    this.#log = log;
  }

  send(dispatch: Dispatch): Promise<Reply> {
    return this.#follow(dispatch, (signal) => this.#client.send({ ...dispatch, signal }));
  }

  decode(dispatch: DecodeDispatch): Promise<Reply> {
    return this.#follow(dispatch, (signal) => this.#client.decode({ ...dispatch, signal }));
  }

  async prefill(dispatch: Dispatch): Promise<CacheHandle> {
    const entry = this.#add(dispatch);
    try {
      return await this.#client.prefill({ ...dispatch, signal: entry.controller.signal });
    } finally {
      this.#inflight.delete(entry);
    }
  }

  freeCache(cache: CacheHandle): Promise<void> {
    return this.#client.freeCache(cache);
  }

  report(runner: Runner): Promise<RunnerReport> {
    return this.#client.report(runner);
  }

  order(
    runner: Runner,
    role: 'prefill' | 'decode',
    holder: string,
    fence: number,
  ): Promise<OrderOutcome> {
    return this.#client.order(runner, role, holder, fence);
  }

  /** Ends what was sent to starts that are over. To be called when another start became known. */
  abortLost(): void {
    for (const entry of this.#inflight) {
      const { runner } = entry.dispatch;
      const bornAt = this.#latestStart(runner.listing);
      if (bornAt > runner.bornAt) this.#endIfLost(entry, bornAt);
    }
  }

  #endIfLost(entry: Inflight, bornAt: number): void {
    if (wasSentBefore(entry.sentAt, bornAt)) {
      this.#end(entry);
      return;
    }
    // Sent about when the runner started: only bytes tell which start has it.
    const seen = bytesOf(entry);
    setTimeout(() => {
      if (this.#inflight.has(entry) && bytesOf(entry) === seen) this.#end(entry);
    }, SILENT_MS);
  }

  #end(entry: Inflight): void {
    const { request, runner } = entry.dispatch;
    this.#log.info({ request: request.id, runner: runner.id }, 'Lost: its runner started anew.');
    this.#inflight.delete(entry);
    entry.controller.abort();
  }

  #add(dispatch: Dispatch): Inflight {
    const controller = new AbortController();
    const { signal } = dispatch;
    if (signal.aborted) controller.abort();
    signal.addEventListener('abort', () => controller.abort(), { once: true });
    const entry = { dispatch, sentAt: Date.now(), controller, reply: undefined };
    this.#inflight.add(entry);
    return entry;
  }

  /** Keeps a request in mind until its answer has ended. */
  async #follow(dispatch: Dispatch, send: (signal: AbortSignal) => Promise<Reply>): Promise<Reply> {
    const entry = this.#add(dispatch);
    try {
      const reply = await send(entry.controller.signal);
      entry.reply = reply;
      reply.body.once('close', () => this.#inflight.delete(entry));
      return reply;
    } catch (error) {
      this.#inflight.delete(entry);
      throw error;
    }
  }
}

function bytesOf({ reply }: Inflight): number {
  return reply?.body.socket.bytesRead ?? 0;
}
