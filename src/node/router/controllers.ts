/**
 * The controllers for what VMs share: replicated state, reservations, quotas, permits and
 * quarantined requests.
 */

import type { Logger } from 'pino';

import { toFailure } from '../../core/failure';
import { logOf } from '../log';
import type { Metrics } from '../metrics';
import { PeerCalls } from './calls';
import type { Connectivity } from './connectivity';
import type { RouterFleet } from './fleet';
import type { Authorizer } from './authorizer';
import type { RoutingState } from './routingstate';
import { StateSync } from './statesync';
import type { ForwardedBackoff } from './messages';
import type { PlannerHost } from './plannerhost';
import { PermitController } from './permits';
import { PlainLoads } from './plainloads';
import { ReservationClient } from './reservations';
import { QuarantineController } from './quarantine';
import { TrialController } from './trials';
import { NoticeController } from './notices';
import { OriginController } from './origins';
import { QuotaController } from './quotas';
import type { RateChange } from './ratelimits';
import { RateLimitController } from './ratelimits';
import { StateExchange } from './stateexchange';
import { StoredFleetSize } from './storedfleetsize';
import { StoredVersions } from './storedversions';
import type {
  Feed,
  FleetSizeArchive,
  RouterSettings,
  SuspectArchive,
  VersionArchive,
} from './types';

/** Timeout of the message to a VM that forwarded a request, in milliseconds. */
const FORWARDED_TIMEOUT_MS = 500;

/** Dependencies of the controllers. */
export interface ControllersContext {
  readonly settings: RouterSettings;
  readonly routingState: RoutingState;
  readonly gate: Authorizer;
  readonly fleet: RouterFleet;
  readonly host: PlannerHost;
  readonly feed: Feed;
  readonly archive: SuspectArchive;
  readonly versions: VersionArchive;
  readonly fleetSize: FleetSizeArchive;
  readonly connectivity: Connectivity;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Called when the description that this VM announces has changed. */
  readonly onDescription: () => void;
  /** Called when the set of what is in quarantine has changed. */
  readonly onQuarantineChange: () => void;
}

/** The controllers of one VM and the handler for the calls of other VMs. */
export class Controllers {
  readonly quarantine: QuarantineController;

  readonly trials: TrialController;

  readonly rateLimits: RateLimitController;

  readonly notices: NoticeController;

  readonly permits: PermitController;

  readonly loads: PlainLoads;

  readonly quotas: QuotaController;

  readonly places: ReservationClient;

  readonly storedVersions: StoredVersions;

  readonly storedFleetSize: StoredFleetSize;

  readonly origins: OriginController;

  readonly stateSync: StateSync;

  readonly calls: PeerCalls;

  constructor(context: ControllersContext) {
    const { settings, routingState, gate, fleet, host, feed, archive, metrics, log } = context;
    const { vm, seeds, peer: self } = settings;
    this.quarantine = new QuarantineController({
      archive,
      readsStore: () => this.stateSync.reading,
      metrics,
      log: logOf(log, 'quarantine'),
      onChanges: (suspects) => this.stateSync.announceSuspects(suspects),
      onRefusedChange: () => {
        this.stateSync.setDigest();
        context.onQuarantineChange();
      },
      onNews: (fingerprint) => this.trials.end(fingerprint),
    });
    this.trials = new TrialController({
      vm,
      fleet,
      verdict: (now, fingerprints) => this.quarantine.verdict(now, fingerprints),
      metrics,
      log: logOf(log, 'quarantine'),
    });
    this.rateLimits = new RateLimitController({
      routingState,
      metrics,
      log: logOf(log, 'ratelimits'),
      onChanges: (changes) => this.#onRateChanges(performance.now(), changes),
    });
    this.notices = new NoticeController({
      routingState,
      onBackoff: ({ id, service }, ms) => this.places.reportBackoff(service, id, ms),
      onForwardedBackoff: (via, { id: runner }, ms) => {
        const message: ForwardedBackoff = { runner, ms };
        fleet.call(via, 'forwardedBackoff', message, FORWARDED_TIMEOUT_MS).catch((error) => {
          logOf(log, 'runner').warn({ via, runner }, toFailure(error).line);
        });
      },
      metrics,
      log: logOf(log, 'runner'),
    });
    const { quarantine, rateLimits } = this;
    this.permits = new PermitController({
      vm,
      bounds: settings.rateLimits,
      rateLimits,
      fleet,
      metrics,
      log: logOf(log, 'ratelimits'),
    });
    this.loads = new PlainLoads({ vm, fleet, routingState, metrics, log: logOf(log, 'plain') });
    this.quotas = new QuotaController({
      vm,
      bounds: settings.quotas,
      routingState,
      fleet,
      metrics,
      log: logOf(log, 'quotas'),
    });
    this.places = new ReservationClient(vm, routingState, fleet, host, logOf(log, 'places'));
    const sync = new StateExchange({ routingState, quarantine, rateLimits, fleet });
    this.stateSync = new StateSync({
      routingState,
      authorizer: gate,
      quarantine,
      rateLimits,
      fleet,
      feed,
      exchange: sync,
      metrics,
      log: logOf(log, 'knowledge'),
      seeds,
      self,
      onDescription: context.onDescription,
    });
    this.storedVersions = new StoredVersions({
      versions: routingState.versions,
      archive: context.versions,
      readsStore: () => this.stateSync.reading,
      random: Math.random,
      onRecorded: () =>
        routingState.releaseHeld(performance.now(), (runner) => this.storedVersions.isHeld(runner)),
      log: logOf(log, 'streams'),
    });
    this.storedFleetSize = new StoredFleetSize({
      census: fleet.census,
      archive: context.fleetSize,
      readsStore: () => this.stateSync.reading,
      random: Math.random,
      log: logOf(log, 'members'),
    });
    this.origins = new OriginController({
      vm,
      routingState,
      fleet,
      metrics,
      log: logOf(log, 'streams'),
    });
    const { places, quotas, permits, loads, origins } = this;
    this.calls = new PeerCalls({
      vm,
      fleet,
      planners: host,
      reservations: places,
      sync,
      quotas,
      permits,
      loads,
      origins,
      notices: this.notices,
      trials: this.trials,
      connectivity: context.connectivity,
    });
  }

  /** Stops the timers of all controllers. */
  stop(): void {
    this.stateSync.stop();
    this.quarantine.stop();
    this.rateLimits.stop();
    this.permits.stop();
    this.quotas.stop();
    this.places.stop();
    this.origins.stop();
    this.storedVersions.stop();
    this.storedFleetSize.stop();
  }

  /** Must be called when the members of the fleet have changed. */
  membersChanged(now: number): void {
    this.quotas.refresh(now);
    this.permits.refresh(now);
    this.origins.membersChanged();
    this.stateSync.membersChanged();
  }

  /** State of the controllers, for operators. */
  snapshot(now: number): Readonly<Record<string, unknown>> {
    return {
      readsStore: this.stateSync.reading,
      refuses: this.quarantine.snapshot(now),
      quotas: this.quotas.snapshot(),
      rateLimits: this.permits.snapshot(),
      plainLoads: this.loads.snapshot(now),
      streams: this.origins.size,
    };
  }

  #onRateChanges(now: number, changes: readonly RateChange[]): void {
    this.permits.limitsChanged(now, changes);
    this.stateSync.announceRates(changes.map(({ rate }) => rate));
  }
}
