/** Tracks requests in flight at runners. Those sent to a previous instance of a runner are aborted once its restart is known. */

import type { Logger } from 'pino';

import { fateByClock, fateBySilence } from '../../core/routing/instancefate';
import type { Runner } from '../../core/routing/types';
import type { RunnerState } from '../../core/stream/silence';
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
  /** When it was sent, in Unix milliseconds. */
  readonly sentAt: number;
  readonly controller: AbortController;
  /** Undefined before the headers of the response arrive. */
  reply: Reply | undefined;
}

/** Time between two looks at a request that either instance may have, in milliseconds. */
const CHECK_MS = 250;

/**
 * Wraps a runner client and tracks its requests. A runner that loses power and restarts sends
 * nothing on its old connections: without this, callers would wait seconds for the stream's timeout
 * although the new instance is listed.
 */
export class InflightClient implements RunnerClient {
  readonly #client: RunnerClient;

  readonly #log: Logger;

  /** Start time of the latest known instance of a runner, by its listing, in Unix milliseconds. */
  readonly #latestStart: (listing: string) => number;

  readonly #inflight = new Set<Inflight>();

  constructor(client: RunnerClient, latestStart: (listing: string) => number, log: Logger) {
    this.#client = client;
    this.#latestStart = latestStart;
    this.#log = log;
  }

  send(dispatch: Dispatch): Promise<Reply> {
    return this.#track(dispatch, (signal) => this.#client.send({ ...dispatch, signal }));
  }

  decode(dispatch: DecodeDispatch): Promise<Reply> {
    return this.#track(dispatch, (signal) => this.#client.decode({ ...dispatch, signal }));
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

  stateOf(runner: Runner, mayCall = true): Promise<RunnerState> {
    return this.#client.stateOf(runner, mayCall);
  }

  order(
    runner: Runner,
    role: 'prefill' | 'decode',
    holder: string,
    fence: number,
  ): Promise<OrderOutcome> {
    return this.#client.order(runner, role, holder, fence);
  }

  /** Aborts requests sent to previous instances. To be called when the start of another instance becomes known. */
  abortLost(): void {
    for (const entry of this.#inflight) {
      const { runner } = entry.dispatch;
      const bornAt = this.#latestStart(runner.listing);
      if (bornAt > runner.bornAt) this.#abortIfLost(entry, bornAt);
    }
  }

  #abortIfLost(entry: Inflight, bornAt: number): void {
    const fate = fateByClock(entry.sentAt, bornAt);
    if (fate === 'lost') this.#abort(entry);
    else if (fate === 'unknown') this.#watch(entry, bytesReadOf(entry), performance.now());
  }

  /** Only received bytes show that the new instance has a request. */
  #watch(entry: Inflight, bytesBefore: number, since: number): void {
    setTimeout(() => {
      if (!this.#inflight.has(entry) || bytesReadOf(entry) !== bytesBefore) return;
      const fate = fateBySilence({
        silentMs: performance.now() - since,
        isStream: entry.reply?.isEvents ?? false,
        hasReplacement: entry.dispatch.mayAbandon ?? (() => false),
      });
      if (fate === 'lost') this.#abort(entry);
      else this.#watch(entry, bytesBefore, since);
    }, CHECK_MS).unref();
  }

  #abort(entry: Inflight): void {
    const { request, runner } = entry.dispatch;
    this.#log.info(
      { request: request.id, runner: runner.id },
      'Aborted a request: its runner restarted.',
    );
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

  /** Tracks a request until its response has ended. */
  async #track(dispatch: Dispatch, send: (signal: AbortSignal) => Promise<Reply>): Promise<Reply> {
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

function bytesReadOf({ reply }: Inflight): number {
  return reply?.body.socket.bytesRead ?? 0;
}
