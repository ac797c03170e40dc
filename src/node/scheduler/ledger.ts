/**
 * Writes ledger shards. Changes that come while a write is under way share the
 * next one, so the rate of writes is bounded by shards, not by requests.
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
  /** Claims that were given up, to be taken back when the store answers again. */
  readonly withdrawals: ShardChange[];
  busy: boolean;
}

/** Tries of one commit before its changes are refused. */
const TRIES = 4;
/** Least time between writes of one shard, in milliseconds: 16 shards make at most 320 writes a second. */
const WRITE_GAP_MS = 50;
/** Pause before withdrawals are tried again, in milliseconds. */
const WITHDRAW_RETRY_MS = 2000;
/** When a refused caller should come back, in milliseconds. */
const RETRY_AFTER_MS = 2000;

/** The ledger writer of one scheduler. */
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

  /** Applies a change durably; rejects with `ledgerUnavailable` when the store does not confirm it. */
  submit(shard: number, change: ShardChange): Promise<ClaimResult> {
    return new Promise((resolve, reject) => {
      this.#queueOf(shard).pending.push({ change, resolve, reject });
      this.#run(shard);
    });
  }

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

  #run(shard: number): void {
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
        this.#giveUp(shard, queue, batch, withdrawals);
      }
      await pause(WRITE_GAP_MS);
    }
    queue.busy = false;
  }

  /**
   * A write whose answer was lost may have taken effect. Reading the shard again
   * and applying the same changes settles it: a change that is there already is
   * known by its nonce and changes nothing. A late write cannot do harm after
   * that, since the index it compares with is gone.
   */
  async #commit(
    shard: number,
    changes: readonly ShardChange[],
  ): Promise<readonly ClaimResult[] | undefined> {
    const key = `ledger/${shard}`;
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
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
   * The store did not confirm, so nothing is dispatched and "not run" is true. A
   * claim that took effect unseen would block its key for ever, so it is taken
   * back once the store answers.
   */
  #giveUp(
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
    setTimeout(() => this.#retryWithdrawals(shard, queue), WITHDRAW_RETRY_MS).unref();
  }

  #retryWithdrawals(shard: number, queue: ShardQueue): void {
    if (queue.withdrawals.length === 0 || this.#stopped) return;
    const [first] = queue.withdrawals.splice(0, 1);
    if (first) this.submit(shard, first).catch(() => {});
  }
}
