/**
 * Writes ledger shards. Changes submitted during a write are combined into the next
 * one, so the write rate is bounded by the number of shards, not by the request rate.
 */

import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { Failure } from '../../core/failure';
import type { ClaimResult, ShardChange } from '../../core/ledger/shard';
import { LEDGER_SHARDS, LedgerShard } from '../../core/ledger/shard';
import type { Metrics } from '../metrics';
import type { Platform, WriteOutcome } from '../platform/client';

interface Pending {
  readonly change: ShardChange;
  readonly resolve: (result: ClaimResult) => void;
  readonly reject: (failure: Failure) => void;
}

interface ShardQueue {
  readonly pending: Pending[];
  /** Withdrawals of claims whose write was not confirmed, to be written once the store answers again. */
  readonly withdrawals: ShardChange[];
  /** Whether a drain of this queue is in progress. */
  busy: boolean;
}

/** Attempts of one commit before its changes are rejected. */
const MAX_ATTEMPTS = 4;
/** Minimum time between writes of one shard, in milliseconds; limits 16 shards to 320 writes per second. */
const MIN_WRITE_INTERVAL_MS = 50;
/** Delay before withdrawals are retried, in milliseconds. */
const WITHDRAWAL_RETRY_MS = 2000;
/** Time after which a rejected caller should retry, in milliseconds. */
const RETRY_AFTER_MS = 2000;

/** The ledger writer of one scheduler, with one queue per shard. */
export class LedgerWriter {
  readonly #platform: Platform;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #shards: readonly ShardQueue[];

  #stopped = false;

  constructor(platform: Platform, log: Logger, metrics: Metrics) {
    this.#platform = platform;
    this.#log = log;
    this.#metrics = metrics;
    this.#shards = Array.from({ length: LEDGER_SHARDS }, () => ({
      pending: [],
      withdrawals: [],
      busy: false,
    }));
  }

  /** Applies a change and stores it; rejects with `ledgerUnavailable` if the store does not confirm the write. */
  submit(shard: number, change: ShardChange): Promise<ClaimResult> {
    return new Promise((resolve, reject) => {
      this.#queueOf(shard).pending.push({ change, resolve, reject });
      this.#startDrain(shard);
    });
  }

  /** Starts no further writes; changes that are still queued are never settled. */
  stop(): void {
    this.#stopped = true;
  }

  #queueOf(shard: number): ShardQueue {
    const queue = this.#shards[shard];
    if (!queue) {
      throw new Failure('internal', `found shard ${shard}, expected less than ${LEDGER_SHARDS}`);
    }
    return queue;
  }

  #startDrain(shard: number): void {
    const queue = this.#queueOf(shard);
    if (queue.busy || this.#stopped) return;
    queue.busy = true;
    this.#drain(shard, queue).catch((error: Error) =>
      this.#log.error(`Shard ${shard} failed. ${error.message}.`),
    );
  }

  async #drain(shard: number, queue: ShardQueue): Promise<void> {
    while (queue.pending.length > 0 && !this.#stopped) {
      const batch = queue.pending.splice(0);
      const withdrawals = queue.withdrawals.splice(0);
      const results = await this.#commit(shard, [
        ...withdrawals,
        ...batch.map(({ change }) => change),
      ]);
      if (results) {
        batch.forEach(({ resolve }, i) => resolve(results[withdrawals.length + i] as ClaimResult));
      } else {
        this.#rejectBatch(shard, queue, batch, withdrawals);
      }
      await pause(MIN_WRITE_INTERVAL_MS);
    }
    queue.busy = false;
  }

  /**
   * Writes the changes with compare-and-swap; returns undefined when all attempts failed.
   *
   * A write without an answer may have taken effect, so each attempt reads the shard
   * again and applies the same changes: a change that is already stored is recognized
   * by its nonce and has no effect. A delayed write fails after a later one, because
   * the index that it compares with has changed.
   */
  async #commit(
    shard: number,
    changes: readonly ShardChange[],
  ): Promise<readonly ClaimResult[] | undefined> {
    const key = `ledger/${shard}`;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      try {
        const stored = await this.#platform.read(key);
        const content = LedgerShard.parse(stored?.value);
        content.prune(Date.now());
        const results = changes.map((change) => content.apply(change));
        const outcome = content.changed
          ? await this.#write(key, content, stored?.index ?? 0)
          : 'written';
        if (outcome === 'written') return results;
      } catch (error) {
        this.#log.debug(`Shard ${shard} could not be read. ${(error as Error).message}.`);
      }
    }
    return undefined;
  }

  async #write(key: string, content: LedgerShard, index: number): Promise<WriteOutcome> {
    this.#metrics.count('ledger.writes');
    const outcome = await this.#platform.write(key, content.toString(), index);
    if (outcome !== 'written') this.#metrics.count(`ledger.${outcome}`);
    return outcome;
  }

  /**
   * Rejects a batch that the store did not confirm. None of its calls are dispatched, so
   * it is correct to report them as not run. A claim whose write took effect without an
   * answer would block its key forever, so it is withdrawn once the store answers again.
   */
  #rejectBatch(
    shard: number,
    queue: ShardQueue,
    batch: readonly Pending[],
    withdrawals: readonly ShardChange[],
  ): void {
    this.#metrics.count('ledger.unavailable', batch.length);
    queue.withdrawals.push(...withdrawals);
    for (const { change, reject } of batch) {
      if (change.kind === 'claim') {
        const { key, nonce } = change.claim;
        queue.withdrawals.push({ kind: 'withdraw', key, nonce });
      }
      if (change.kind === 'withdraw') queue.withdrawals.push(change);
      reject(
        new Failure('ledgerUnavailable', `shard ${shard} could not be written`, {
          retryAfterMs: RETRY_AFTER_MS,
        }),
      );
    }
    setTimeout(() => this.#retryWithdrawals(shard, queue), WITHDRAWAL_RETRY_MS).unref();
  }

  #retryWithdrawals(shard: number, queue: ShardQueue): void {
    if (queue.withdrawals.length === 0 || this.#stopped) return;
    const [first] = queue.withdrawals.splice(0, 1);
    if (first) this.submit(shard, first).catch(() => {});
  }
}
