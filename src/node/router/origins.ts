/**
 * Keeps and finds out which software version began each stream that callers may take up again.
 *
 * A caller may come back to any VM, also after the one that began its stream was killed. While
 * runners of several versions serve, a VM tells a few others of each stream before it passes on the
 * first event, and a VM that is to continue a stream asks them. With one version nothing is told.
 */

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import type { Member } from '../../core/membership/types';
import type { Route } from '../../core/routing/types';
import { HOLDERS, groupOf, holdersOf } from '../../core/versions/holders';
import type { FleetAnswers } from '../../core/versions/contact';
import { isInContact, presenceOf } from '../../core/versions/contact';
import type { OriginView } from '../../core/versions/lookup';
import { inferredOrigin, recordedOrigin } from '../../core/versions/lookup';
import { StreamOrigins, streamKey } from '../../core/versions/origins';
import { RouteChanges, layoutsOf, routeGroupOf } from '../../core/versions/routechanges';
import type { OriginRecord, StreamOrigin } from '../../core/versions/types';
import { UNKNOWN_VERSION } from '../../core/versions/types';
import { bootNow } from '../../utils/clock';
import { LogRateLimiter } from '../loglimiter';
import type { Metrics } from '../metrics';
import type { Exchange } from './exchange';
import type { RouterFleet } from './fleet';
import type { OriginAnswer, OriginQuery } from './originwire';
import { MAX_RECORDS, querySchema, recordsSchema, viewSchema } from './originwire';
import type { RoutingState } from './routingstate';

/** Dependencies of the origins of streams. */
export interface OriginContext {
  readonly vm: string;
  readonly routingState: Pick<RoutingState, 'versions' | 'table' | 'freshness'>;
  readonly fleet: Pick<RouterFleet, 'all' | 'call'>;
  readonly metrics: Metrics;
  readonly log: Logger;
}

/** Time that a VM has to answer, in milliseconds: many round trips, but little of a caller's patience. */
const ANSWER_TIMEOUT_MS = 150;
/** Time for a message that nobody waits for, in milliseconds; its link may have to be opened first. */
const SHARE_TIMEOUT_MS = 1000;
/** VMs that are asked for one stream. */
const MAX_ASKED = 16;
/** Retry delay for callers whose stream cannot go on, in milliseconds: a VM that knows it may answer by then. */
const RETRY_MS = 1000;
/** Age of the last confirmation that this VM knows what the store holds up to which it is in contact with the fleet, in milliseconds. */
const MAX_AGE_MS = 4000;
/** Time that a VM may take to learn that a runner has restarted, in milliseconds. */
const STALE_MS = 10_000;
/** Period of the check for old records and for services that have several versions now, in milliseconds. */
const CHECK_MS = 1000;
/** Log lines per second about streams that callers take up, since anybody can name one. */
const LINES_PER_S = 20;

/** The view of one VM. */
interface SourcedView extends OriginView {
  readonly vm: string;
  /** Time since the VM last recorded the stream, in milliseconds; undefined if it does not know it. */
  readonly agoMs: number | undefined;
}

/** The result of a lookup, and how it came about, for the log. */
interface Lookup {
  readonly origin: StreamOrigin | undefined;
  readonly source: 'recorded' | 'only version' | 'none';
  /** The VM that knew the stream, and for how long; undefined if none did. */
  readonly vm?: string | undefined;
  readonly agoMs?: number | undefined;
  readonly asked: number;
  readonly answered: number;
}

/** The key of the stream of a request; empty if the request continues one that it does not name. */
function keyOf({ request, continues }: Exchange): string {
  const id = continues ? continues.stream : request.id;
  return id === undefined ? '' : streamKey(request.customer, id);
}

/** Origins of streams at one VM. */
export class OriginController {
  readonly #context: OriginContext;

  readonly #origins = new StreamOrigins();

  readonly #routes = new RouteChanges();

  /** Services of which other VMs are told the streams. */
  readonly #shared = new Set<string>();

  readonly #lines: LogRateLimiter;

  readonly #timer: NodeJS.Timeout;

  /** Since when no majority of the known VMs is present, on the clock of `bootNow`; -Infinity while one is. */
  #lostAt = -Infinity;

  /** Cached holders by group; cleared when the membership changes. */
  readonly #holders = new Map<number, readonly Member[]>();

  constructor(context: OriginContext) {
    this.#context = context;
    this.#lines = new LogRateLimiter(LINES_PER_S, (lines) =>
      context.log.info({ lines }, 'Callers took up more streams.'),
    );
    this.#timer = setInterval(() => this.#check(performance.now()), CHECK_MS).unref();
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Must be called when the members of the fleet have changed. */
  membersChanged(): void {
    this.#holders.clear();
    this.#updateContact(bootNow());
  }

  /** Must be called when runners have changed: streams that began with the only version until now have to be told. */
  runnersChanged(now: number): void {
    const { table, versions } = this.#context.routingState;
    for (const listing of versions.takeRestarted()) this.#distrust(now, listing);
    const services = table?.config.services ?? [];
    for (const { name } of services) this.#updateShared(now, name);
  }

  /** Must be called when the configuration has changed: routes may lead to other services now. */
  configChanged(now: number): void {
    const { table, versions } = this.#context.routingState;
    const routes = table?.config.routes ?? [];
    versions.routesChanged(now, layoutsOf(routes));
    for (const service of this.#routes.apply(now, routes)) {
      this.#share(this.#origins.takeUnshared(service));
    }
  }

  /** Number of streams whose origin is known here, for operators. */
  get size(): number {
    return this.#origins.size;
  }

  /** Records the version of a stream of which events are about to be sent to the caller. */
  began(now: number, exchange: Exchange): void {
    const { route, service, version, listing } = exchange;
    const key = keyOf(exchange);
    if (!route.resumable || key === '' || version === undefined) return;
    const record = { key, service, version };
    const isShared = this.#isAmbiguous(now, route, service);
    this.#origins.record(now, record, isShared, listing);
    if (isShared) this.#share([record]);
  }

  /** Must be called before a stream is continued within its answer: its version may have turned out to be unknown. */
  recheck(exchange: Exchange): void {
    if (this.#origins.get(keyOf(exchange)) !== 'conflicting') return;
    exchange.pin({ service: exchange.service, version: UNKNOWN_VERSION });
  }

  /**
   * Fixes the software version that continues the stream of a request, if it continues one. Returns
   * the failure if the version is not known: any other one would write what does not fit.
   */
  async pin(exchange: Exchange): Promise<Failure | undefined> {
    const { continues, service, route } = exchange;
    if (!continues) return undefined;
    const startedAt = performance.now();
    const { stream } = continues;
    const lookup = await this.#lookUp(startedAt, route, { key: keyOf(exchange), service });
    const { origin } = lookup;
    const now = performance.now();
    this.#logLookup(now, exchange, lookup, now - startedAt);
    if (!origin) {
      this.#context.metrics.count('origins.unknown');
      const detail = `it is not known which software version began stream ${stream ?? 'without a name'}`;
      return new Failure('streamUnknown', detail, { retryAfterMs: RETRY_MS });
    }
    if (!route.targets.some((target) => target.service === origin.service)) {
      const detail = `${route.name} does not lead to ${origin.service} any more`;
      return new Failure('versionGone', detail, { retryAfterMs: RETRY_MS });
    }
    exchange.pin(origin);
    return undefined;
  }

  /** Handles the origins that another VM tells. */
  onTold(now: number, params: unknown): void {
    for (const record of recordsSchema.parse(params).records) {
      this.#origins.record(now, record, true);
    }
  }

  /** Answers another VM what is known here. */
  onAsked(now: number, params: unknown): OriginAnswer {
    const { origin, agoMs, versions, isComplete } = this.#viewOf(now, querySchema.parse(params));
    return {
      ...(origin === undefined ? {} : { origin, agoMs }),
      versions: [...versions],
      isComplete,
    };
  }

  #viewOf(now: number, { key, service }: OriginQuery): SourcedView {
    const { vm, routingState } = this.#context;
    const { versions } = routingState;
    return {
      vm,
      origin: this.#origins.get(key),
      agoMs: this.#origins.ageMs(now, key),
      versions: versions.versionsOf(now, service),
      isComplete: versions.isComplete(now),
    };
  }

  /**
   * Looks here, then at the VMs that keep the origin, then at others that may have kept it before
   * the members changed. The key is empty if the caller names no stream.
   */
  async #lookUp(now: number, route: Route, query: OriginQuery): Promise<Lookup> {
    const candidates = this.#holdersOf(query.key);
    const isOneService = !this.#mayLeadElsewhere(now, route);
    const views = [this.#viewOf(now, query)];
    let asked = 0;
    for (const vms of [[], candidates.slice(0, HOLDERS), candidates.slice(HOLDERS)]) {
      views.push(...(await this.#ask(vms, query)));
      asked += vms.length;
      const answered = views.length - 1;
      const recorded = recordedOrigin(views);
      if (recorded) {
        const { vm, agoMs } = views.find(({ origin }) => origin !== undefined) ?? {};
        return { origin: recorded, source: 'recorded', vm, agoMs, asked, answered };
      }
      const inferred = isOneService ? inferredOrigin(query.service, views) : undefined;
      if (inferred && this.#isInContact({ answered, asked, candidates: candidates.length })) {
        return { origin: inferred, source: 'only version', asked, answered };
      }
    }
    return { origin: undefined, source: 'none', asked, answered: views.length - 1 };
  }

  /**
   * Asks VMs at the same time; resolves to the answers, as soon as one of them knows the stream or
   * all have answered or timed out.
   */
  async #ask(vms: readonly Member[], query: OriginQuery): Promise<readonly SourcedView[]> {
    const { fleet, metrics, log } = this.#context;
    const views: SourcedView[] = [];
    await new Promise<void>((resolve) => {
      const calls = vms.map(async ({ vm, address }) => {
        try {
          const answer = await fleet.call(address, 'originOf', query, ANSWER_TIMEOUT_MS);
          const view = viewSchema.parse(answer);
          views.push({ ...view, vm, origin: view.origin, agoMs: view.agoMs });
          if (view.origin !== undefined) resolve();
        } catch (error) {
          metrics.count('origins.unanswered');
          log.debug({ vm }, toFailure(error).line);
        }
      });
      Promise.all(calls).then(() => resolve(), resolve);
    });
    return [...views];
  }

  /** Whether this VM, with those that have answered, would know of another software version. */
  #isInContact(answers: FleetAnswers): boolean {
    const { fleet, routingState } = this.#context;
    const now = bootNow();
    const isCurrent = routingState.freshness.ageMs(now) <= Math.min(MAX_AGE_MS, now - this.#lostAt);
    return isInContact({ ...answers, isCurrent, ...presenceOf(fleet.all) });
  }

  /** Notes when most of the known VMs ceased to be present, and that since then the store has to be read. */
  #updateContact(now: number): void {
    const { known, present } = presenceOf(this.#context.fleet.all);
    const hadMajority = this.#lostAt === -Infinity;
    if (present * 2 > known) this.#lostAt = -Infinity;
    else if (hadMajority) this.#lostAt = now;
  }

  /** Until this VM learned of the restart, it took the new instance of a runner for the old one. */
  #distrust(now: number, listing: string): void {
    const streams = this.#origins.distrust(listing, now - STALE_MS);
    if (streams.length === 0) return;
    const { log } = this.#context;
    log.info(
      { runner: listing, streams: streams.length },
      'A runner restarted with another version.',
    );
    this.#share(streams.map((stream) => ({ ...stream, version: UNKNOWN_VERSION })));
  }

  /** Whether a stream may be taken for one of another version or service. */
  #isAmbiguous(now: number, route: Route, service: string): boolean {
    const { versions } = this.#context.routingState;
    return versions.isAmbiguous(now, service) || this.#mayLeadElsewhere(now, route);
  }

  /** Whether a route leads to several services, or may have led to others lately. */
  #mayLeadElsewhere(now: number, route: Route): boolean {
    const { versions } = this.#context.routingState;
    return (
      this.#routes.isAmbiguous(now, route, versions.retentionMs) ||
      versions.hadOtherLayout(now, routeGroupOf(route.name))
    );
  }

  #updateShared(now: number, service: string): void {
    const { log, routingState } = this.#context;
    const versions = routingState.versions.versionsOf(now, service);
    const isShared = routingState.versions.isAmbiguous(now, service);
    if (isShared === this.#shared.has(service)) return;
    if (isShared) this.#shared.add(service);
    else this.#shared.delete(service);
    const records = isShared ? this.#origins.takeUnshared(service) : [];
    log.info(
      { service, versions, isShared, streams: records.length },
      'Whether other VMs are told of streams changed.',
    );
    this.#share(records);
  }

  /** Tells the holders of streams. A message that is lost costs the stream only if all of its holders miss it. */
  #share(records: readonly OriginRecord[]): void {
    if (records.length === 0) return;
    const { fleet, metrics, log } = this.#context;
    const byAddress = new Map<string, OriginRecord[]>();
    for (const record of records) {
      for (const { address } of this.#holdersOf(record.key).slice(0, HOLDERS)) {
        const known = byAddress.get(address) ?? [];
        byAddress.set(address, known);
        known.push(record);
      }
    }
    metrics.count('origins.shared', records.length);
    for (const [address, all] of byAddress) {
      for (let from = 0; from < all.length; from += MAX_RECORDS) {
        const message = { records: all.slice(from, from + MAX_RECORDS) };
        fleet.call(address, 'origins', message, SHARE_TIMEOUT_MS).catch((error) => {
          log.debug({ address }, toFailure(error).line);
        });
      }
    }
  }

  #holdersOf(key: string): readonly Member[] {
    const group = groupOf(key);
    const known = this.#holders.get(group);
    if (known) return known;
    const { fleet, vm } = this.#context;
    const holders = holdersOf(group, fleet.all, vm).slice(0, MAX_ASKED);
    this.#holders.set(group, holders);
    return holders;
  }

  #check(now: number): void {
    const { versions } = this.#context.routingState;
    this.#origins.expire(now - versions.retentionMs);
    this.runnersChanged(now);
  }

  #logLookup(now: number, { request, continues }: Exchange, lookup: Lookup, ms: number): void {
    const { log, routingState } = this.#context;
    if (!this.#lines.tryAcquire(now)) return;
    const { origin, agoMs, vm: from, ...how } = lookup;
    const age = agoMs === undefined ? {} : { agoMs: Math.round(agoMs) };
    const fields = {
      request: request.id,
      stream: continues?.stream,
      ...origin,
      ...how,
      from,
      ...age,
    };
    const versions = routingState.versions.sightings(now);
    if (origin) log.info({ ...fields, ms: Math.round(ms) }, 'A caller took up a stream.');
    else {
      log.info({ ...fields, versions, ms: Math.round(ms) }, 'A caller took up an unknown stream.');
    }
  }
}
