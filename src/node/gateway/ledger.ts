/** The gateway's side of the run ledger. */

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

/** The right to dispatch one call. */
export interface Claim {
  readonly team: string;
  readonly key: string;
  readonly nonce: string;
  /**
   * False once the claim is old. A gateway that was paused for longer than the
   * ledger's retention would otherwise wake and run a call whose key was
   * forgotten and claimed anew. The clock is monotonic, so setting the VM's
   * time does not renew the right.
   */
  canDispatch(): boolean;
}

/** What a claim gives. */
export type ClaimResult =
  | { readonly kind: 'ticket'; readonly claim: Claim }
  | { readonly kind: 'replay'; readonly outcome: Outcome };

const outcomeSchema = z.object({ status: z.int(), contentType: z.string(), body: z.string() });
const resultSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('claimed') }),
  z.object({ kind: z.literal('running') }),
  z.object({ kind: z.literal('done'), outcome: outcomeSchema }),
  z.object({ kind: z.literal('mismatch') }),
  z.object({ kind: z.literal('full') }),
]);

/** Pause between tries to write an outcome or take a claim back, in milliseconds. */
const RETRY_MS = 1000;
/** Tries of such a write. */
const TRIES = 120;
const RETRY_AFTER_MS = 2000;
/** Status under which an answer that was too large to keep is recorded. */
const NOT_KEPT = 0;

/** Claims, outcomes and withdrawals. */
export class LedgerClient {
  readonly #fleet: Fleet;

  readonly #log: Logger;

  #stopped = false;

  readonly #timers = new Set<NodeJS.Timeout>();

  constructor(fleet: Fleet, log: Logger) {
    this.#fleet = fleet;
    this.#log = log;
  }

  /** Writes left to be confirmed. */
  get pending(): number {
    return this.#timers.size;
  }

  /** Claims a call or finds its outcome; throws what the caller is to be told otherwise. */
  async claim(team: string, key: string, fingerprint: string): Promise<ClaimResult> {
    const nonce = randomUUID();
    const ticket = newTicket(team, key, nonce);
    const result = await this.#claim(ticket, fingerprint);
    if (result.kind === 'claimed') return { kind: 'ticket', claim: ticket };
    if (result.kind === 'full') {
      throw new Failure('ledgerFull', 'the ledger has no room', { retryAfterMs: RETRY_AFTER_MS });
    }
    if (result.kind === 'mismatch') {
      throw new Failure('keyReused', 'this key was used with another request');
    }
    if (result.kind === 'running') {
      throw new Failure('alreadyRunning', 'this key was claimed and its outcome is not known', {
        retryAfterMs: RETRY_AFTER_MS,
      });
    }
    if (result.outcome.status === NOT_KEPT) {
      throw new Failure('answerNotKept', 'the call ran and was answered');
    }
    return { kind: 'replay', outcome: result.outcome };
  }

  /** Records an outcome; goes on trying while the store is down. */
  settle(ticket: Claim, outcome: Outcome): void {
    const fits = Buffer.byteLength(outcome.body) <= OUTCOME_LIMIT_BYTES;
    const kept = fits ? outcome : { status: NOT_KEPT, contentType: '', body: '' };
    this.#insist(ticket, 'ledger.settle', { ...nameOf(ticket), outcome: kept }, TRIES);
  }

  /** Takes a claim back of which nothing ran. */
  withdraw(ticket: Claim): void {
    this.#insist(ticket, 'ledger.withdraw', nameOf(ticket), TRIES);
  }

  stop(): void {
    this.#stopped = true;
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  async #claim(ticket: Claim, fingerprint: string): Promise<z.infer<typeof resultSchema>> {
    try {
      const params = { ...nameOf(ticket), fingerprint };
      return resultSchema.parse(await this.#call(ticket, 'ledger.claim', params));
    } catch (error) {
      // The claim may have been written though its answer was lost; left there, it would block its key.
      this.withdraw(ticket);
      const detail = toFailure(error).message;
      throw new Failure('ledgerUnavailable', detail, { retryAfterMs: RETRY_AFTER_MS });
    }
  }

  #call({ team, key }: Claim, method: string, params: unknown): Promise<unknown> {
    return this.#fleet.callShard(shardOf(ledgerKey(team, key)), method, params);
  }

  #insist(ticket: Claim, method: string, params: unknown, tries: number): void {
    this.#call(ticket, method, params).catch((error) => {
      // A call that fails because of the stop itself must not start the next try.
      if (this.#stopped) return;
      if (tries <= 1) {
        this.#log.error(`Gave up ${method}. ${toFailure(error).line}.`);
        return;
      }
      const timer = setTimeout(() => {
        this.#timers.delete(timer);
        this.#insist(ticket, method, params, tries - 1);
      }, RETRY_MS);
      this.#timers.add(timer);
    });
  }
}

function nameOf({ team, key, nonce }: Claim): { team: string; key: string; nonce: string } {
  return { team, key, nonce };
}

function newTicket(team: string, key: string, nonce: string): Claim {
  const until = performance.now() + DISPATCH_LIMIT_MS;
  return { team, key, nonce, canDispatch: () => performance.now() < until };
}
