/**
 * Trials at one VM: asks the owner of a service whether a request may run although runners crashed
 * under a part of its prompt, and answers other VMs for the services that this VM owns.
 */

import type { Logger } from 'pino';
import { z } from 'zod';

import { toFailure } from '../../core/failure';
import { Trials } from '../../core/quarantine/trials';
import type { Verdict } from '../../core/quarantine/types';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';

/** Dependencies of the trials. */
export interface TrialContext {
  readonly vm: string;
  readonly fleet: Pick<RouterFleet, 'ownersOf' | 'call'>;
  /** What this VM knows of some fingerprints. */
  readonly verdict: (now: number, fingerprints: readonly string[]) => Verdict;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Time that an owner has to answer, in milliseconds. */
const CALL_TIMEOUT_MS = 250;
/** Owners that are asked before this VM decides alone. */
const MAX_OWNERS = 2;
/** Maximum number of fingerprints in one question. */
const MAX_FINGERPRINTS = 128;

const fingerprintsSchema = z.array(z.string().max(64)).max(MAX_FINGERPRINTS);
const askSchema = z.object({
  request: z.string().max(200),
  /** All fingerprints of the request. */
  fingerprints: fingerprintsSchema,
  /** Those under which it may only run alone, as far as the asking VM knows. */
  suspects: fingerprintsSchema,
});
const answerSchema = z.object({ granted: z.boolean() });

type Ask = Readonly<z.infer<typeof askSchema>>;
type Answer = Readonly<z.infer<typeof answerSchema>>;

/** Begins trials at one VM. */
export class TrialController {
  readonly #context: TrialContext;

  readonly #trials = new Trials();

  constructor(context: TrialContext) {
    this.#context = context;
  }

  /**
   * Asks for a trial of a request; resolves to whether it may run.
   * @param fingerprints all fingerprints of the request
   * @param suspects those under which it may only run alone
   */
  async ask(
    now: number,
    { request, service }: Pick<Exchange, 'request' | 'service'>,
    fingerprints: readonly string[],
    suspects: readonly string[],
  ): Promise<boolean> {
    const { vm, fleet, metrics, log } = this.#context;
    const ask: Ask = {
      request: request.id,
      fingerprints: fingerprints.slice(0, MAX_FINGERPRINTS),
      suspects: suspects.slice(0, MAX_FINGERPRINTS),
    };
    metrics.count('trials.asked');
    for (const owner of fleet.ownersOf(now, service).slice(0, MAX_OWNERS)) {
      if (owner.vm === vm) break;
      try {
        const answer = await fleet.call(owner.address, 'trial', ask, CALL_TIMEOUT_MS);
        return answerSchema.parse(answer).granted;
      } catch (error) {
        log.warn({ request: request.id, owner: owner.vm }, toFailure(error).line);
      }
    }
    return this.#decide(performance.now(), ask, vm);
  }

  /** Answers another VM. */
  onAsk(now: number, vm: string, params: unknown): Answer {
    return { granted: this.#decide(now, askSchema.parse(params), vm) };
  }

  /** Ends the trial of a fingerprint: there is news of it. */
  end(fingerprint: string): void {
    this.#trials.end(fingerprint);
  }

  #decide(now: number, { request, fingerprints, suspects }: Ask, vm: string): boolean {
    const verdict = this.#context.verdict(now, fingerprints);
    const known = verdict.kind === 'trial' ? verdict.fingerprints : [];
    const tried = [...new Set([...suspects, ...known])];
    const granted = verdict.kind !== 'refused' && this.#trials.tryBegin(now, request, tried);
    const { metrics, log } = this.#context;
    metrics.count(granted ? 'trials.granted' : 'trials.denied');
    if (granted) log.info({ request, vm, fingerprints: tried }, 'Began a trial.');
    return granted;
  }
}
