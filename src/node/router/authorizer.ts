/** Whether a request may run, by its key: asked when it arrives and again before each send to a runner. */

import type { AgeBounds, Credential } from '../../core/customers/identity';
import { identify, staleConfigFailure } from '../../core/customers/identity';
import type { Customer } from '../../core/customers/types';
import { Failure, toFailure } from '../../core/failure';
import type { ProofSource } from '../../core/routing/freshness';
import { proofSource } from '../../core/routing/freshness';
import type { RouteTable } from '../../core/routing/table';
import type { Route } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { RoutingState } from './routingstate';

/** When a caller may come back whose key has changed hands on the way, in milliseconds. */
const CHANGED_RETRY_MS = 100;

/** The keys of this VM's configuration, and how far they can be relied on. */
export class Authorizer {
  readonly #knowledge: RoutingState;

  readonly #bounds: () => AgeBounds;

  constructor(knowledge: RoutingState, bounds: () => AgeBounds) {
    this.#knowledge = knowledge;
    this.#bounds = bounds;
  }

  /**
   * Whose request it is; undefined where none is needed. Throws the refusal.
   * @param now boot time; see `bootNow`
   */
  identify(
    now: number,
    table: RouteTable,
    route: Route,
    credential: Credential,
  ): Customer | undefined {
    const ageMs = this.#knowledge.freshness.ageMs(now);
    return identify(table, route, credential, ageMs, this.#bounds());
  }

  /**
   * Why this VM cannot say for good that something is not there: it may be news to it. Default:
   * it can. Where no keys are needed, VMs do not ask how old their configuration is, and all
   * that is not there would look as if it were news.
   */
  staleRefusal(now: number, detail: string): Failure | undefined {
    const { table, freshness } = this.#knowledge;
    const ageMs = freshness.ageMs(now);
    const isNews = table?.keyRing !== undefined && ageMs > this.#bounds().finalMs;
    return isNews ? staleConfigFailure(ageMs, detail) : undefined;
  }

  /** Whom this VM is to ask how old its configuration is. */
  proofSource(now: number, isReader: boolean): ProofSource {
    const { table, freshness } = this.#knowledge;
    if (!table?.keyRing) return 'nobody';
    return proofSource(freshness.ageMs(now), this.#bounds().keyMs, isReader);
  }

  /** Whether keys can be relied on; always where none are needed. */
  isConfigFresh(now: number): boolean {
    const { table, freshness } = this.#knowledge;
    return !table?.keyRing || freshness.ageMs(now) <= this.#bounds().keyMs;
  }

  /**
   * Why a request that was let in must not reach a runner any more: while it waited, or this
   * VM stood still, its key may have been taken away. Default: it may.
   */
  refusal(now: number, { route, request, customer }: Exchange): Failure | undefined {
    const { table } = this.#knowledge;
    if (!table) return undefined;
    try {
      const holder = this.identify(now, table, route, request.credential);
      if (holder?.name === customer) return undefined;
      return new Failure('configOld', 'the key has another holder by now', {
        retryAfterMs: CHANGED_RETRY_MS,
      });
    } catch (error) {
      return toFailure(error);
    }
  }
}
