/**
 * The controllers for what VMs share: replicated state, reservations, quotas, permits and
 * quarantined requests.
 */

import type { Logger } from 'pino';

import { logOf } from '../log';
import type { Metrics } from '../metrics';
import { PeerCalls } from './calls';
import type { RouterFleet } from './fleet';
import type { Gate } from './gate';
import type { Knowledge } from './knowledge';
import { NewsDesk } from './news';
import type { PlanHost } from './owner';
import { PermitDesk } from './permits';
import { Places } from './places';
import { QuarantineDesk } from './quarantine';
import { QuotaDesk } from './quotas';
import type { RateChange } from './ratelimits';
import { RateLimitDesk } from './ratelimits';
import { FactSync } from './sync';
import type { Feed, RouterSettings, SuspectArchive } from './types';

/** Dependencies of the controllers. */
export interface DesksContext {
  readonly settings: RouterSettings;
  readonly knowledge: Knowledge;
  readonly gate: Gate;
  readonly fleet: RouterFleet;
  readonly host: PlanHost;
  readonly feed: Feed;
  readonly archive: SuspectArchive;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Called when the description that this VM announces has changed. */
  readonly onDescription: () => void;
}

/** The controllers of one VM and the handler for the calls of other VMs. */
export class Desks {
  readonly quarantine: QuarantineDesk;

  readonly rateLimits: RateLimitDesk;

  readonly permits: PermitDesk;

  readonly quotas: QuotaDesk;

  readonly places: Places;

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
      onNews: (changes) => this.#onRateChanges(performance.now(), changes),
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
    this.places = new Places(vm, fleet, host, logOf(log, 'places'));
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
    this.calls = new PeerCalls({ vm, fleet, host, places, sync, quotas, permits });
  }

  /** Stops the timers of all controllers. */
  stop(): void {
    this.news.stop();
    this.quarantine.stop();
    this.rateLimits.stop();
    this.permits.stop();
    this.quotas.stop();
    this.places.stop();
  }

  /** Must be called when the members of the fleet have changed. */
  membersChanged(now: number): void {
    this.quotas.changed(now);
    this.permits.changed(now);
    this.news.membersChanged();
  }

  /** State of the controllers, for operators. */
  beliefs(now: number): Readonly<Record<string, unknown>> {
    return {
      readsStore: this.news.reading,
      refuses: this.quarantine.beliefs(now),
      quotas: this.quotas.beliefs(),
      rateLimits: this.permits.beliefs(),
    };
  }

  #onRateChanges(now: number, changes: readonly RateChange[]): void {
    this.permits.limitsChanged(now, changes);
    this.news.rateLimited(changes.map(({ rate }) => rate));
  }
}
