/**
 * Load balancing of plain requests, by the load that runners report or else the requests in flight of
 * this VM, by failures, and by the rate limits that runners announce.
 */

import { setTimeout as pause } from 'node:timers/promises';

import type { RunnerHealth } from '../../core/cell/health';
import { Failure } from '../../core/failure';
import type { Candidate } from '../../core/plain/loadtable';
import type { Runner } from '../../core/routing/types';
import { mayContinue } from '../../core/routing/types';
import type { Exchange } from './exchange';
import type { RoutingState } from './routingstate';
import type { PermitController } from './permits';
import type { PlainLoads } from './plainloads';
import type { RunnerPaths } from './types';
import { unreachedFailure, versionGoneFailure } from './unreached';

/** Dependencies of the balancer. */
export interface BalancerContext {
  readonly routingState: RoutingState;
  readonly paths: RunnerPaths;
  readonly health: (service: string) => RunnerHealth;
  readonly permits: Pick<
    PermitController,
    'isLimited' | 'mayTake' | 'isTrialDue' | 'ask' | 'askTrial'
  >;
  readonly loads: Pick<
    PlainLoads,
    | 'isActive'
    | 'refresh'
    | 'best'
    | 'choiceOf'
    | 'place'
    | 'sent'
    | 'replied'
    | 'ended'
    | 'failureExcess'
    | 'slotsOf'
  >;
  readonly domain: string;
}

/** Extra cost of a runner in another failure domain, or of one with a rate limit, in requests in flight. */
const REMOTE_COST = 0.5;
/** Extra cost of a runner that is reached only through another VM, in requests in flight. */
const TUNNEL_COST = 0.5;
/** Extra cost of a runner all of whose requests fail while those of others succeed, in requests in flight. */
const FAILURE_COST = 20;
/** Ties are broken at random within this range, in requests in flight, since all VMs would otherwise choose the same runner. */
const TIE_RANGE = 0.25;
/** Part of the time left to its latency target for which a request may wait for a permit of a rate-limited runner; the rest is for its run. */
const MAX_WAIT_PART = 0.5;

/** Time over which callers return after a pause of all runners, in milliseconds. */
const RETURN_SPREAD_MS = 1000;

/** Counts requests in flight by runner and chooses the runner with the lowest cost. */
export class PlainBalancer {
  readonly #context: BalancerContext;

  readonly #inFlight = new Map<string, number>();

  constructor(context: BalancerContext) {
    this.#context = context;
  }

  /** Counts a request that is sent to a runner. */
  requestStarted(now: number, exchange: Exchange, runner: Runner): void {
    const { id } = runner;
    this.#context.loads.sent(now, exchange, runner);
    this.#inFlight.set(id, (this.#inFlight.get(id) ?? 0) + 1);
  }

  /** Ends the count of a request. */
  requestEnded({ id }: Runner): void {
    const remaining = (this.#inFlight.get(id) ?? 1) - 1;
    if (remaining > 0) this.#inFlight.set(id, remaining);
    else this.#inFlight.delete(id);
  }

  /** Whether there is an untried runner that may receive a request, by the state of this VM. */
  hasAlternative(now: number, exchange: Exchange, tried: readonly string[]): boolean {
    return this.#candidates(now, exchange, tried).some((runner) => this.#mayTake(now, runner));
  }

  /**
   * Chooses the runner for a request; at a rate-limited runner the request has a permit. Returns a
   * failure if it cannot run now, and undefined if there is no runner.
   */
  async choose(
    now: number,
    exchange: Exchange,
    tried: readonly string[],
  ): Promise<Runner | Failure | undefined> {
    const { permits } = this.#context;
    const candidates = this.#candidates(now, exchange, tried);
    if (candidates.length === 0) return this.#closedFailure(now, exchange);
    const trial = candidates.find(({ id }) => permits.isTrialDue(now, id));
    if (trial && (await permits.askTrial(exchange.service, trial.id))) return trial;
    const best = await this.#best(now, exchange, candidates);
    if (!best || !this.#isLimited(best)) return best;
    const unlimited = candidates.filter((runner) => !this.#isLimited(runner));
    if (unlimited.length === 0) return this.#waitForPermit(now, exchange, candidates);
    const permitted = this.#mayTake(now, best) && (await this.#hasPermit(exchange, best));
    return permitted ? best : this.#cheapest(exchange, unlimited);
  }

  /** The best runner by the owner's table, or by this VM's where the owner is not asked. */
  async #best(
    now: number,
    exchange: Exchange,
    candidates: readonly Runner[],
  ): Promise<Runner | undefined> {
    const { loads } = this.#context;
    if (!loads.isActive(now, exchange.service)) return this.#cheapest(exchange, candidates);
    const unlimited = candidates.filter((runner) => !this.#isLimited(runner));
    const allowed = unlimited.length > 0 ? unlimited : candidates;
    const chosen = await loads.refresh(now, exchange, allowed);
    const listed = allowed.map((runner) => this.#candidateOf(runner));
    const candidate = listed.find(({ id }) => id === chosen);
    if (!candidate) return this.#cheapest(exchange, candidates);
    const later = performance.now();
    loads.place(later, exchange, loads.choiceOf(later, exchange, candidate, listed), true);
    return candidate.runner;
  }

  #candidateOf(runner: Runner): Candidate & { readonly runner: Runner } {
    const { id, slots } = runner;
    return { id, slots, extra: this.#extraOf(runner), runner };
  }

  /**
   * Untried runners that accept requests of this VM, may continue the stream if there is one, are reached and are not
   * ejected; if every one of them is ejected, or has been sent the first request after a pause, all of them.
   */
  #candidates(
    now: number,
    { service, version }: Exchange,
    tried: readonly string[],
  ): readonly Runner[] {
    const { routingState, paths, health } = this.#context;
    const { backoffs } = routingState;
    const records = health(service);
    const all = routingState.runnersOf(now, service);
    records.setPoolSize(all.length);
    const untried = all.filter(
      (runner) =>
        mayContinue(runner, version) && paths.reaches(runner) && !tried.includes(runner.id),
    );
    const open = untried.filter(({ id }) => backoffs.remainingMs(now, id) === 0);
    const allowed = open.filter(
      ({ id }) => records.allows(now, id) && !backoffs.isProbing(now, id),
    );
    return allowed.length > 0 ? allowed : open;
  }

  /** The failure if no runner may continue the stream, all asked this VM for a pause, or none is reached; undefined otherwise. */
  #closedFailure(now: number, { service, version }: Exchange): Failure | undefined {
    const { routingState, paths } = this.#context;
    const runners = routingState.runnersOf(now, service);
    if (version !== undefined && !runners.some((runner) => mayContinue(runner, version))) {
      return versionGoneFailure(service, version);
    }
    const retryAfterMs = this.retryAfterMs(now, service);
    if (retryAfterMs !== undefined) {
      const detail = `all runners of ${service} asked for a pause`;
      return new Failure('runnersBackingOff', detail, { retryAfterMs });
    }
    return unreachedFailure(service, runners, paths);
  }

  /** When callers are to come back if all runners asked this VM for a pause, in milliseconds; undefined if some did not. */
  retryAfterMs(now: number, service: string): number | undefined {
    const openInMs = this.#context.routingState.openInMs(now, service);
    return openInMs === 0 ? undefined : openInMs + Math.random() * RETURN_SPREAD_MS;
  }

  #cheapest(exchange: Exchange, runners: readonly Runner[]): Runner | undefined {
    const { loads } = this.#context;
    const now = performance.now();
    if (!loads.isActive(now, exchange.service)) return this.#leastInFlight(now, runners);
    const candidates = runners.map((runner) => this.#candidateOf(runner));
    const best = loads.best(now, exchange, candidates);
    const { placement } = exchange;
    // The owner counted a request that is held when it was asked for a runner.
    const isCounted = placement?.isCounted && placement.runner === best?.runner.id;
    if (best) loads.place(now, exchange, best, isCounted ?? false);
    return best?.runner.runner;
  }

  #leastInFlight(now: number, runners: readonly Runner[]): Runner | undefined {
    const { loads } = this.#context;
    let best: Runner | undefined;
    let bestCost = Infinity;
    for (const runner of runners) {
      const failureCost = FAILURE_COST * loads.failureExcess(now, runner.service, runner.id);
      const cost = this.#costOf(runner) + failureCost + Math.random() * TIE_RANGE;
      if (cost < bestCost) {
        best = runner;
        bestCost = cost;
      }
    }
    return best;
  }

  #costOf(runner: Runner): number {
    return (this.#inFlight.get(runner.id) ?? 0) + this.#extraOf(runner);
  }

  /** Cost of the way to a runner, in requests in flight. */
  #extraOf(runner: Runner): number {
    const isPreferred = runner.domain === this.#context.domain && !this.#isLimited(runner);
    const isDirect = this.#context.paths.pathTo(runner) === 'direct';
    return (isPreferred ? 0 : REMOTE_COST) + (isDirect ? 0 : TUNNEL_COST);
  }

  #isLimited({ id }: Runner): boolean {
    return this.#context.permits.isLimited(id);
  }

  #mayTake(now: number, { id }: Runner): boolean {
    const { permits } = this.#context;
    return !permits.isLimited(id) || permits.mayTake(now, id);
  }

  async #hasPermit({ service }: Exchange, { id }: Runner): Promise<boolean> {
    const permit = await this.#context.permits.ask(service, [id], 0);
    return permit.granted;
  }

  /** All runners are rate-limited: waits for the earliest permit, if that is soon enough. */
  async #waitForPermit(
    now: number,
    exchange: Exchange,
    runners: readonly Runner[],
  ): Promise<Runner | Failure> {
    const { service, route, arrivedAt, signal } = exchange;
    const mostWaitMs = Math.max(0, arrivedAt + route.aimMs - now) * MAX_WAIT_PART;
    const byCost = [...runners].sort((a, b) => this.#costOf(a) - this.#costOf(b));
    const ids = byCost.map(({ id }) => id);
    const permit = await this.#context.permits.ask(service, ids, mostWaitMs);
    const chosen = permit.granted && runners.find(({ id }) => id === permit.runner);
    if (chosen) {
      await pause(permit.waitMs, undefined, { signal }).catch(() => undefined);
      return chosen;
    }
    return new Failure('runnersLimited', `all runners of ${service} are at their rate limits`, {
      retryAfterMs: permit.granted ? 0 : permit.retryAfterMs,
    });
  }
}
