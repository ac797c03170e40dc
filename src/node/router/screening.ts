/**
 * Screens requests by the crashes under their fingerprints: refuses those that crash runners, and
 * has those that may do so run one at a time.
 */

import { setTimeout as pause } from 'node:timers/promises';

import { Failure } from '../../core/failure';
import type { Verdict } from '../../core/quarantine/types';
import type { Runner } from '../../core/routing/types';
import { mayContinue } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { QuarantineController } from './quarantine';
import type { RoutingState } from './routingstate';
import type { TrialController } from './trials';

/** Dependencies of the screening. */
export interface ScreeningContext {
  readonly quarantine: Pick<QuarantineController, 'isEmpty' | 'verdict' | 'crashCount'>;
  readonly routingState: Pick<RoutingState, 'runnersOf'>;
  readonly trials: Pick<TrialController, 'ask'>;
}

/** Retry delay for callers whose request may only run alone while another one does, in milliseconds. */
const TRIAL_RETRY_MS = 1000;
/** How long a request waits for the result of another one's trial. */
export interface TrialWait {
  /** Longest wait, in milliseconds. */
  readonly limitMs: number;
  /** Time between two looks, in milliseconds. */
  readonly pollMs: number;
}

/** Wait of a request that holds nothing: most trials have a result by then. */
export const LONG_WAIT: TrialWait = { limitMs: 2500, pollMs: 250 };
/** Wait of a request that holds a reservation or a KV cache: crashes by chance are cleared by then. */
export const SHORT_WAIT: TrialWait = { limitMs: 300, pollMs: 100 };
/** Maximum number of requests that wait at one VM. */
const MAX_WAITING = 64;

/** A verdict on a request, and the software version of the runners to which it applies. */
interface VersionVerdict {
  readonly verdict: Verdict;
  readonly version: string;
}

const severity: Readonly<Record<Verdict['kind'], number>> = { allowed: 0, trial: 1, refused: 2 };

/** Screens the requests of one VM. */
export class Screening {
  readonly #context: ScreeningContext;

  /** Number of requests that wait for the result of a trial. */
  #waiting = 0;

  constructor(context: ScreeningContext) {
    this.#context = context;
  }

  /**
   * Why a request must not be sent to a runner; undefined if it may be. Without a runner: to any.
   */
  refusal(now: number, exchange: Exchange, runner?: Runner): Failure | undefined {
    const { verdict } = this.#verdictOf(now, exchange, runner);
    if (verdict.kind === 'allowed') return undefined;
    if (verdict.kind === 'refused') return this.#refuse(verdict);
    const isOnTrial = verdict.fingerprints.every((one) => exchange.trials.has(one));
    return isOnTrial ? undefined : trialFailure(verdict.fingerprints);
  }

  /**
   * The same, after a trial was asked for if the request may only run alone. While another request is
   * on trial this one waits: the result may clear it, so it is not known to be unservable.
   */
  async admit(exchange: Exchange, { limitMs, pollMs }: TrialWait): Promise<Failure | undefined> {
    const until = performance.now() + limitMs;
    let refused = await this.#tryAdmit(exchange);
    if (refused?.codeName !== 'onTrial' || this.#waiting >= MAX_WAITING) return refused;
    this.#waiting += 1;
    try {
      while (refused?.codeName === 'onTrial' && performance.now() < until) {
        if (exchange.signal.aborted) break;
        await pause(pollMs);
        refused = await this.#tryAdmit(exchange);
      }
    } finally {
      this.#waiting -= 1;
    }
    return refused;
  }

  async #tryAdmit(exchange: Exchange): Promise<Failure | undefined> {
    const now = performance.now();
    const { verdict, version } = this.#verdictOf(now, exchange);
    const refused = this.refusal(now, exchange);
    if (verdict.kind !== 'trial' || !refused) return refused;
    const { fingerprints } = verdict;
    const all = exchange.fingerprintsAt(version);
    const isGranted = await this.#context.trials.ask(now, exchange, all, fingerprints);
    if (!isGranted) return trialFailure(fingerprints);
    for (const one of fingerprints) exchange.trials.add(one);
    return this.refusal(performance.now(), exchange);
  }

  /** The verdict at a runner, or the mildest one of the versions that the service's runners have. */
  #verdictOf(now: number, exchange: Exchange, runner?: Runner): VersionVerdict {
    const { quarantine } = this.#context;
    if (quarantine.isEmpty) return { verdict: { kind: 'allowed' }, version: '' };
    const versions =
      runner && runner.role !== 'prefill' ? [runner.version] : this.#versionsFor(now, exchange);
    const verdicts = versions.map((version) => ({
      version,
      verdict: quarantine.verdict(now, exchange.fingerprintsAt(version)),
    }));
    return verdicts.reduce((mildest, one) =>
      severity[one.verdict.kind] < severity[mildest.verdict.kind] ? one : mildest,
    );
  }

  /** Software versions of the runners that may answer a request; at least one. */
  #versionsFor(now: number, { service, version }: Exchange): readonly string[] {
    const runners = this.#context.routingState
      .runnersOf(now, service)
      .filter((runner) => runner.role !== 'prefill' && mayContinue(runner, version));
    const versions = new Set(runners.map((runner) => runner.version));
    return versions.size > 0 ? [...versions] : [version ?? ''];
  }

  #refuse({ fingerprint, forMs }: Extract<Verdict, { readonly kind: 'refused' }>): Failure {
    const crashes = this.#context.quarantine.crashCount(fingerprint);
    const detail = `${crashes} runners crashed while processing requests with ${fingerprint}`;
    return new Failure('quarantined', detail, { retryAfterMs: forMs });
  }
}

function trialFailure(fingerprints: readonly string[]): Failure {
  const detail = `runners crashed while processing requests with ${fingerprints.join(', ')}`;
  return new Failure('onTrial', detail, { retryAfterMs: TRIAL_RETRY_MS });
}
