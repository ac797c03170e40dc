/** Authenticates requests by their API key: on arrival and again before each send to a runner. */

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

/** Retry delay for a caller whose key was assigned to another customer while its request was in progress. */
const REASSIGNED_RETRY_MS = 100;

/** Authenticates requests by the keys in this VM's configuration, as long as that is recent enough. */
export class Authorizer {
  readonly #routingState: RoutingState;

  readonly #bounds: () => AgeBounds;

  constructor(routingState: RoutingState, bounds: () => AgeBounds) {
    this.#routingState = routingState;
    this.#bounds = bounds;
  }

  /**
   * The customer that a request belongs to; undefined where the route requires no key. Throws a
   * `Failure` if the key is missing, unknown or cannot be verified.
   * @param now boot time; see `bootNow`
   */
  identify(
    now: number,
    table: RouteTable,
    route: Route,
    credential: Credential,
  ): Customer | undefined {
    const ageMs = this.#routingState.freshness.ageMs(now);
    const { keyMs, finalMs } = this.#bounds();
    const bounds = { keyMs, finalMs: this.#isOutdated ? -Infinity : finalMs };
    return identify(table, route, credential, ageMs, bounds);
  }

  /**
   * The refusal for something that is missing from a configuration that may be stale; undefined
   * if the configuration is recent enough for a final "not found". A configuration is stale once
   * another VM has announced a newer one. Where no keys are required, VMs do not confirm the age
   * of their configuration, so its age is ignored: otherwise every missing item would look as if
   * it had just been added.
   */
  staleRefusal(now: number, detail: string): Failure | undefined {
    const { table, freshness } = this.#routingState;
    const ageMs = freshness.ageMs(now);
    const isTooOld = table?.keyRing !== undefined && ageMs > this.#bounds().finalMs;
    return isTooOld || this.#isOutdated ? staleConfigFailure(ageMs, detail) : undefined;
  }

  /** Whether a newer configuration than the one in use is known to exist. */
  get #isOutdated(): boolean {
    const { configVersion, latestVersion } = this.#routingState;
    return latestVersion > configVersion;
  }

  /** The source from which this VM should confirm that its configuration is current. */
  proofSource(now: number, isReader: boolean): ProofSource {
    const { table, freshness } = this.#routingState;
    if (!table?.keyRing) return 'nobody';
    return proofSource(freshness.ageMs(now), this.#bounds().keyMs, isReader);
  }

  /** Whether the configuration is recent enough to accept keys by; always true where no keys are required. */
  isConfigFresh(now: number): boolean {
    const { table, freshness } = this.#routingState;
    return !table?.keyRing || freshness.ageMs(now) <= this.#bounds().keyMs;
  }

  /**
   * The reason why an admitted request must not be sent to a runner any more: its key may have
   * been revoked while it waited or while this VM was paused. Undefined if it may be sent, as it may
   * if it was admitted without a key, or if no keys are required any more.
   */
  refusal(now: number, { route, request, customer }: Exchange): Failure | undefined {
    const { table } = this.#routingState;
    if (!table?.keyRing || customer === undefined) return undefined;
    try {
      const holder = this.identify(now, table, route, request.credential);
      if (holder?.name === customer) return undefined;
      return new Failure('configOld', 'the key now belongs to another customer', {
        retryAfterMs: REASSIGNED_RETRY_MS,
      });
    } catch (error) {
      return toFailure(error);
    }
  }
}
