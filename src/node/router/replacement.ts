/** Whether what replaces a run is certain, so that the run may be given up although its runner may go on. */

import { toFailure } from '../../core/failure';
import type { Exchange } from './exchange';
import type { QuotaController } from './quotas';
import type { RetryController } from './retries';
import type { Runs } from './runs';

/** Dependencies of replacements. */
export interface ReplacementContext {
  readonly runs: Pick<Runs, 'refusal'>;
  readonly quotas: Pick<QuotaController, 'cover'>;
  readonly retries: Pick<RetryController, 'holdRun'>;
}

/** The run that would replace the present one of a request. */
export class Replacement {
  readonly #context: ReplacementContext;

  readonly #exchange: Exchange;

  readonly #hasNext: (now: number) => boolean;

  /** Whether the quota covers it, as far as that is known. */
  #cover: 'unknown' | 'asked' | 'covered' = 'unknown';

  /** @param hasNext whether attempts are left, and another runner that may serve the request */
  constructor(context: ReplacementContext, exchange: Exchange, hasNext: (now: number) => boolean) {
    this.#context = context;
    this.#exchange = exchange;
    this.#hasNext = hasNext;
  }

  /**
   * Whether the request may be sent again now; sets aside what that costs. The quota is asked
   * first, so that this holds from a later call on.
   */
  isCertain(now: number): boolean {
    const { runs, retries } = this.#context;
    if (!this.#hasNext(now) || runs.refusal(now, this.#exchange)) return false;
    if (this.#cover === 'unknown') this.#askQuota();
    return this.#cover === 'covered' && retries.holdRun(now, this.#exchange);
  }

  #askQuota(): void {
    const { quotas } = this.#context;
    this.#cover = 'asked';
    quotas.cover(this.#exchange).then(
      (refused) => {
        this.#cover = refused ? 'unknown' : 'covered';
      },
      (error) => {
        this.#cover = 'unknown';
        this.#exchange.trail.push(toFailure(error).codeName);
      },
    );
  }
}
