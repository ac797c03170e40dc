/** Client of the run ledger, which ensures that a call with a key runs at most once. */

import { randomUUID } from 'node:crypto';
import { performance } from 'node:perf_hooks';

import type { Logger } from 'pino';
import { z } from 'zod';

import { Failure, toFailure } from '../../core/failure';
import type { Outcome } from '../../core/ledger/shard';
import {
  DISPATCH_LIMIT_MS,
  OUTCOME_LIMIT_BYTES,
  ledgerKey,
  shardOf,
} from '../../core/ledger/shard';
import type { Fleet } from './fleet';

/** A successful claim: the right to dispatch one call. */
export interface Claim {
  readonly team: string;
  readonly key: string;
  /** Identifies this claim among others of the same key. */
  readonly nonce: string;
  /**
   * False once the claim has expired. Otherwise a gateway that was paused for
   * longer than the ledger's retention could resume and run a call whose key was
   * deleted and claimed again. The clock is monotonic, so changing the VM's time
   * does not extend the claim.
   */
  canDispatch(): boolean;
}

/** Result of a claim: the right to dispatch, or the outcome of an earlier run to replay. */
export type ClaimResult =
  | { readonly kind: 'claimed'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly outcome: Outcome };

const outcomeSchema = z.object({ status: z.int(), contentType: z.string(), body: z.string() });
const resultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claimed') }),
  z.object({ kind: z.literal('running') }),
  z.object({ kind: z.literal('done'), outcome: outcomeSchema }),
  z.object({ kind: z.literal('mismatch') }),
  z.object({ kind: z.literal('full') }),
]);

/** Pause between attempts to write an outcome or withdraw a claim, in milliseconds. */
const RETRY_MS = 1000;
/** Maximum number of attempts of such a write. */
const MAX_ATTEMPTS = 120;
/** Delay after which callers should retry, in milliseconds. */
const RETRY_AFTER_MS = 2000;
/** Status recorded for an answer that is too large to store. */
const NOT_KEPT_STATUS = 0;

/** Claims calls, records their outcomes and withdraws claims. */
export class LedgerClient {
  readonly #fleet: Fleet;

  readonly #log: Logger;

  #stopped = false;

  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(fleet: Fleet, log: Logger) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** Number of writes that wait for their next attempt. */
  get pending(): number {
    return this.#timers.size;
  }

  /**
   * Claims a call or returns the outcome of its earlier run. Otherwise throws the
   * failure for the caller: `ledgerFull`, `keyReused`, `alreadyRunning`,
   * `answerNotKept` or `ledgerUnavailable`.
   */
  async claim(team: string, key: string, fingerprint: string): Promise<ClaimResult> {
    const nonce = randomUUID();
    const claim = createClaim(team, key, nonce);
    const result = await this.#claim(claim, fingerprint);
    if (result.kind === 'claimed') return { kind: 'claimed', claim };
    if (result.kind === 'full') {
      throw new Failure('ledgerFull', 'the ledger is full', { retryAfterMs: RETRY_AFTER_MS });
    }
    if (result.kind === 'mismatch') {
      throw new Failure('keyReused', 'this key was used with another request');
    }
    if (result.kind === 'running') {
      throw new Failure('alreadyRunning', 'this key was claimed and its outcome is not known', {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    if (result.outcome.status === NOT_KEPT_STATUS) {
      throw new Failure('answerNotKept', 'the call ran, but its answer was too large to store');
    }
    return { kind: 'replay', outcome: result.outcome };
  }

  /** Records an outcome in the background; retries while the store is down. */
  settle(claim: Claim, outcome: Outcome): void {
    const fits = Buffer.byteLength(outcome.body) <= OUTCOME_LIMIT_BYTES;
    const kept = fits ? outcome : { status: NOT_KEPT_STATUS, contentType: '', body: '' };
    this.#writeWithRetries(
      claim,
      'ledger.settle',
      { ...claimRefOf(claim), outcome: kept },
      MAX_ATTEMPTS,
    );
  }

  /** Withdraws a claim whose call did not run, in the background. */
  withdraw(claim: Claim): void {
    this.#writeWithRetries(claim, 'ledger.withdraw', claimRefOf(claim), MAX_ATTEMPTS);
  }

  /** Drops all pending retries. */
  stop(): void {
    this.#stopped = true;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  async #claim(claim: Claim, fingerprint: string): Promise<z.infer<typeof resultSchema>> {
    try {
      const params = { ...claimRefOf(claim), fingerprint };
      return resultSchema.parse(await this.#call(claim, 'ledger.claim', params));
    } catch (error) {
      // The claim may have been written although its response was lost; it would then block its key.
      this.withdraw(claim);
      const detail = toFailure(error).message;
      throw new Failure('ledgerUnavailable', detail, { retryAfterMs: RETRY_AFTER_MS });
    }
  }

  #call({ team, key }: Claim, method: string, params: unknown): Promise<unknown> {
    return this.#fleet.callShard(shardOf(ledgerKey(team, key)), method, params);
  }

  #writeWithRetries(claim: Claim, method: string, params: unknown, attemptsLeft: number): void {
    this.#call(claim, method, params).catch((error) => {
      // A call that fails because of stop() itself must not schedule the next attempt.
      if (this.#stopped) return;
      if (attemptsLeft <= 1) {
        this.#log.error(`Abandoned ${method} after the last attempt. ${toFailure(error).line}.`);
        return;
      }
      const timer = setTimeout(() => {
        this.#timers.delete(timer);
        this.#writeWithRetries(claim, method, params, attemptsLeft - 1);
      }, RETRY_MS);
      this.#timers.add(timer);
    });
  }
}

function claimRefOf({ team, key, nonce }: Claim): { team: string; key: string; nonce: string } {
  return { team, key, nonce };
}

function createClaim(team: string, key: string, nonce: string): Claim {
  const validUntil = performance.now() + DISPATCH_LIMIT_MS;
  return { team, key, nonce, canDispatch: () => performance.now() < validUntil };
}
