/** Callers of a model service whose prompts share parts: one with all, one with the same caller's. */

import { setTimeout as pause } from 'node:timers/promises';

import type { RouterCluster } from './routers';

/** One request and its outcome. */
export interface PromptAttempt {
  /** Monotonic time at which it was sent, in milliseconds. */
  readonly at: number;
  readonly caller: string;
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  /** Whether its caller received an event. */
  readonly begun: boolean;
  readonly whole: boolean;
  readonly retryAfter: string | undefined;
}

/** A kind of requests that callers send. */
export interface PromptKind {
  readonly name: string;
  /** Requests per second. */
  readonly perS: number;
  /** Callers, in turn. */
  readonly callers: readonly string[];
  /** Parts of the prompt in order, without the request's own, which is the last one. */
  readonly partsOf: (caller: string) => readonly string[];
  /** Path of the requests. Default: `/model/x`. */
  readonly path?: string;
}

/** The part that all requests share. */
export const SHARED_PART = '5a00';

/** Sends requests at a steady rate, each to another VM and with a last part of its own. */
export class PromptCallers {
  readonly attempts: PromptAttempt[] = [];

  readonly #routers: RouterCluster;

  readonly #kind: PromptKind;

  readonly #pending = new Set<Promise<void>>();

  #timer: NodeJS.Timeout | undefined;

  #turn = 0;

  constructor(routers: RouterCluster, kind: PromptKind) {
    this.#routers = routers;
    this.#kind = kind;
  }

  start(): this {
    this.#timer = setInterval(() => this.#sendNext(), 1000 / this.#kind.perS);
    return this;
  }

  /** Sends no more requests and waits for the outcome of those that were sent. */
  async stop(): Promise<void> {
    clearInterval(this.#timer);
    await Promise.all(this.#pending);
  }

  /** Share of the requests sent in a span of time that began, of one caller or all; not a number if there was none. */
  shareBegun(from: number, to = Infinity, caller?: string): number {
    const sent = this.attempts.filter(
      (one) => one.at >= from && one.at < to && (caller === undefined || one.caller === caller),
    );
    return sent.filter(({ begun }) => begun).length / sent.length;
  }

  /** Sends one request. */
  async send(caller: string, turn: number): Promise<PromptAttempt> {
    const { name, partsOf, path = '/model/x' } = this.#kind;
    const at = performance.now();
    const own = Buffer.from(`${name} ${turn}`).toString('hex');
    const parts = [...partsOf(caller), own].map((part) => `${part}:100`).join(',');
    const answer = await this.#routers.sendRequest(turn, path, `${name} ${turn}`, {
      'prompt-prefix': parts,
    });
    const { status, whole, retryAfter } = answer;
    const attempt = {
      at,
      caller,
      status,
      begun: status === 200 && answer.body.includes('id: '),
      whole,
      retryAfter,
    };
    this.attempts.push(attempt);
    return attempt;
  }

  #sendNext(): void {
    const turn = this.#turn;
    this.#turn += 1;
    const { callers } = this.#kind;
    const caller = callers[turn % callers.length] ?? '';
    const pending = this.send(caller, turn).then(() => {
      this.#pending.delete(pending);
    });
    this.#pending.add(pending);
  }
}

/** Waits until some runners have crashed in all, at most for some time; returns the time of the last of these crashes. */
export async function crashOf(
  routers: RouterCluster,
  count: number,
  limitMs: number,
): Promise<number> {
  const end = performance.now() + limitMs;
  while (routers.crashedAt.length < count && performance.now() < end) await pause(20);
  return routers.crashedAt[Math.min(count, routers.crashedAt.length) - 1] ?? performance.now();
}
