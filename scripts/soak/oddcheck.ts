/**
 * Checks that VMs serve beside odd entries of other writers: that callers get answers in time, plain requests are served as
 * before, and a runner that is registered then is used.
 */

import type { CallerAnswer } from './callers';
import { ANSWER_GRACE_MS } from './callers';
import { UNOWED } from './reach';
import type { SentRequest } from './requests';
import type { Arrival } from './work';

/** Dependencies of the check. */
export interface OddCheckContext {
  /** Whether the VM at an IP address did not stop and was not killed, frozen or cut off in the last so many milliseconds. */
  readonly isSteady: (ip: string, forMs: number) => boolean;
  /** Time since the last fault that is no planned stop ended, in milliseconds; 0 while one is in progress. */
  readonly unplannedFreeMs: () => number;
}

/** Attempts, and how many were served. */
interface Share {
  attempts: number;
  served: number;
}

/** A runner that was registered beside odd entries, and has got nothing so far. */
interface Newcomer {
  readonly since: number;
  /** Plain requests that others got since. */
  passedBy: number;
}

/** Time for which a VM must have been undisturbed before an attempt that got no answer. */
const STEADY_MS = 1000;
/** Time in which a new runner must get a request, and the plain requests to others by then. */
const USED_MS = 5000;
const MIN_PASSED_BY = 40;
/** Attempts of each kind from which on shares are compared, by how much they may differ, and standard errors allowed beside it. */
const MIN_ATTEMPTS = 80;
const MAX_LOSS = 0.05;
const STANDARD_ERRORS = 2;

/** What callers and new runners get beside odd entries. */
export class OddChecker {
  readonly #context: OddCheckContext;

  readonly #beside: Share = { attempts: 0, served: 0 };

  readonly #without: Share = { attempts: 0, served: 0 };

  readonly #newcomers = new Map<string, Newcomer>();

  readonly #counts = { registered: 0, used: 0, unanswered: 0 };

  constructor(context: OddCheckContext) {
    this.#context = context;
  }

  /** A runner is registered. */
  registered(now: number, instanceId: string): void {
    this.#counts.registered += 1;
    this.#newcomers.set(instanceId, { since: now, passedBy: 0 });
  }

  /** A request reaches a runner; returns what is wrong with others that got none. */
  arrived(now: number, { instanceId, role }: Arrival): string | undefined {
    if (this.#newcomers.delete(instanceId)) this.#counts.used += 1;
    if (role !== 'plain') return undefined;
    for (const [id, newcomer] of this.#newcomers) {
      newcomer.passedBy += 1;
      const { since, passedBy } = newcomer;
      const ageMs = now - since;
      const isUndisturbed = this.#context.unplannedFreeMs() >= ageMs;
      if (ageMs > USED_MS) {
        this.#newcomers.delete(id);
        if (isUndisturbed && passedBy >= MIN_PASSED_BY) {
          return `${id} got no request in ${ageMs} ms, others ${passedBy}`;
        }
      }
    }
    return undefined;
  }

  /** The attempt of a caller ends; returns what is wrong, and undefined if nothing is. */
  answered(request: SentRequest, vm: string, { outcome, ms }: CallerAnswer): string | undefined {
    const isAwaited = outcome === 'left' && ms >= request.deadlineMs + ANSWER_GRACE_MS - 10;
    if (!isAwaited || !this.#context.isSteady(vm.split(':')[0] ?? '', ms + STEADY_MS)) {
      return undefined;
    }
    this.#counts.unanswered += 1;
    return `${request.id} at ${vm}: no answer ${ANSWER_GRACE_MS} ms after its limit of ${request.deadlineMs} ms`;
  }

  /** Counts an attempt at a plain request that no fault affected. */
  count(isBeside: boolean, { outcome, status, ms }: CallerAnswer): void {
    const hasLeft = outcome === 'left' && ms < ANSWER_GRACE_MS;
    if (hasLeft || UNOWED.has(status)) return;
    const share = isBeside ? this.#beside : this.#without;
    share.attempts += 1;
    if (outcome === 'served') share.served += 1;
  }

  /** What is wrong with the share of plain requests that were served; undefined if nothing is. */
  get finding(): string | undefined {
    const [beside, without] = [this.#beside, this.#without];
    if (Math.min(beside.attempts, without.attempts) < MIN_ATTEMPTS) return undefined;
    const loss = shareOf(without) - shareOf(beside);
    const error = Math.sqrt(varianceOf(beside) + varianceOf(without));
    if (loss <= MAX_LOSS + STANDARD_ERRORS * error) return undefined;
    return `beside odd entries ${textOf(beside)}, otherwise ${textOf(without)}`;
  }

  /** Plain requests that were served, runners that were registered and used, and attempts without an answer. */
  get counts(): Readonly<Record<string, unknown>> {
    return { beside: textOf(this.#beside), without: textOf(this.#without), ...this.#counts };
  }
}

function shareOf({ attempts, served }: Share): number {
  return served / attempts;
}

function varianceOf(share: Share): number {
  return (shareOf(share) * (1 - shareOf(share))) / share.attempts;
}

function textOf({ attempts, served }: Share): string {
  return `${served} of ${attempts} served`;
}
