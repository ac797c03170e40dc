/** Checks that VMs serve beside odd entries of other writers: callers get answers in time, and plain requests are served as before. */

import type { CallerAnswer } from './callers';
import { ANSWER_GRACE_MS } from './callers';
import { UNOWED } from './reach';
import type { SentRequest } from './requests';

/** Dependencies of the check. */
export interface OddCheckContext {
  /** Whether the VM at an IP address did not stop and was not killed, frozen or cut off in the last so many milliseconds. */
  readonly isSteady: (ip: string, forMs: number) => boolean;
}

/** Attempts, and how many were served. */
interface Share {
  attempts: number;
  served: number;
}

/** Time for which a VM must have been undisturbed before an attempt that got no answer. */
const STEADY_MS = 1000;
/** Attempts of each kind from which on shares are compared, by how much they may differ, and standard errors allowed beside it. */
const MIN_ATTEMPTS = 80;
const MAX_LOSS = 0.05;
const STANDARD_ERRORS = 2;

/** What callers get beside odd entries. */
export class OddChecker {
  readonly #context: OddCheckContext;

  readonly #beside: Share = { attempts: 0, served: 0 };

  readonly #without: Share = { attempts: 0, served: 0 };

  #unanswered = 0;

  constructor(context: OddCheckContext) {
    this.#context = context;
  }

  /** The attempt of a caller ends; returns what is wrong, and undefined if nothing is. */
  answered(request: SentRequest, vm: string, { outcome, ms }: CallerAnswer): string | undefined {
    const isAwaited = outcome === 'left' && ms >= request.deadlineMs + ANSWER_GRACE_MS - 10;
    if (!isAwaited || !this.#context.isSteady(vm.split(':')[0] ?? '', ms + STEADY_MS)) {
      return undefined;
    }
    this.#unanswered += 1;
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

  /** Plain requests that were served, and attempts without an answer. */
  get counts(): Readonly<Record<string, unknown>> {
    const shares = { beside: textOf(this.#beside), without: textOf(this.#without) };
    return { ...shares, unanswered: this.#unanswered };
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
