/** What a VM shares with the others: news, places, quotas, permits, and requests that are refused. */

import type { Logger } from 'pino';

import { logOf } from '../log';
import type { Metrics } from '../metrics';
import { PeerCalls } from './calls';
import type { RouterFleet } from './fleet';
import type { Authorizer } from './authorizer';
import type { Knowledge } from './knowledge';
import { NewsDesk } from './news';
import type { PlannerHost } from './plannerhost';
import { PermitDesk } from './permits';
import { ReservationClient } from './reservations';
import { QuarantineDesk } from './quarantine';
import { QuotaDesk } from './quotas';
import type { RateChange } from './ratelimits';
import { RateLimitDesk } from './ratelimits';
import { FactSync } from './sync';
import type { Feed, RouterSettings, SuspectArchive } from './types';

/** What the desks work with. */
export interface DesksContext {
  readonly settings: RouterSettings;
  readonly knowledge: Knowledge;
  readonly gate: Authorizer;
  readonly fleet: RouterFleet;
  readonly host: PlannerHost;
  readonly feed: Feed;
  readonly archive: SuspectArchive;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** What this VM tells of itself has changed. */
  readonly onDescription: () => void;
}

/** The desks of one VM, and the calls of other VMs that reach them. */
export class Desks {
  readonly quarantine: QuarantineDesk;

  readonly rateLimits: RateLimitDesk;

  readonly permits: PermitDesk;

  readonly quotas: QuotaDesk;

  readonly places: ReservationClient;

  readonly news: NewsDesk;

  readonly calls: PeerCalls;

  constructor(context: DesksContext) {
    const { settings, knowledge, gate, fleet, host, feed, archive, metrics, log } = context;
    const { vm, seeds, peer: self } = settings;
    this.quarantine = new QuarantineDesk({
      archive,
      readsStore: () => this.news.reading,
      metrics,
      log: logOf(log, 'quarantine'),
      onNews: (suspects) => this.news.suspected(suspects),
      onRefused: () => this.news.setDigest(),
    });
    this.rateLimits = new RateLimitDesk({
      knowledge,
      metrics,
      log: logOf(log, 'ratelimits'),
      onNews: (changes) => this.#ratesChanged(performance.now(), changes),
    });
    const { quarantine, rateLimits } = this;
    this.permits = new PermitDesk({
      vm,
      bounds: settings.rateLimits,
      rateLimits,
      fleet,
      metrics,
      log: logOf(log, 'ratelimits'),
    });
    this.quotas = new QuotaDesk({
      vm,
      bounds: settings.quotas,
      knowledge,
      fleet,
      metrics,
      log: logOf(log, 'quotas'),
    });
    this.places = new ReservationClient(vm, fleet, host, logOf(log, 'places'));
    const sync = new FactSync({ knowledge, quarantine, rateLimits, fleet });
    this.news = new NewsDesk({
      knowledge,
      gate,
      quarantine,
      rateLimits,
      fleet,
      feed,
      sync,
      metrics,
      log: logOf(log, 'knowledge'),
      seeds,
      self,
      onDescription: context.onDescription,
    });
    const { places, quotas, permits } = this;
    this.calls = new PeerCalls({
      vm,
      fleet,
      planners: host,
      reservations: places,
      sync,
      quotas,
      permits,
    });
  }

  stop(): void {
    this.news.stop();
    this.quarantine.stop();
    this.rateLimits.stop();
    this.permits.stop();
    this.quotas.stop();
    this.places.stop();
  }

  /** The members of the fleet changed. */
  membersChanged(now: number): void {
    this.quotas.changed(now);
    this.permits.changed(now);
    this.news.membersChanged();
  }

  /** What the desks go by, for operators. */
  beliefs(now: number): Readonly<Record<string, unknown>> {
    return {
      readsStore: this.news.reading,
      refuses: this.quarantine.beliefs(now),
      quotas: this.quotas.beliefs(),
      rateLimits: this.permits.beliefs(),
    };
  }

  #ratesChanged(now: number, changes: readonly RateChange[]): void {
    this.permits.limitsChanged(now, changes);
    this.news.rateLimited(changes.map(({ rate }) => rate));
  }
}
