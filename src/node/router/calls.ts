/** Calls between VMs: reservations, runner records, quotas and permits. */

import { Failure } from '../../core/failure';
import type { RouterFleet } from './fleet';
import type { PlannerHost } from './plannerhost';
import type { Connectivity } from './connectivity';
import type { NoticeController } from './notices';
import type { OriginController } from './origins';
import type { PermitController } from './permits';
import type { PlainLoads } from './plainloads';
import type { ReservationClient } from './reservations';
import type { QuotaController } from './quotas';
import type { StateExchange } from './stateexchange';
import type { TrialController } from './trials';
import {
  askSchema,
  backoffSchema,
  forwardedBackoffSchema,
  gatherSchema,
  holdSchema,
  noteSchema,
  delayedDecisionSchema,
  readySchema,
} from './messages';

/** Components that handle the calls. */
export interface PeerContext {
  readonly vm: string;
  readonly fleet: RouterFleet;
  readonly planners: PlannerHost;
  readonly reservations: ReservationClient;
  readonly sync: StateExchange;
  readonly quotas: QuotaController;
  readonly permits: PermitController;
  readonly loads: PlainLoads;
  readonly origins: OriginController;
  readonly notices: NoticeController;
  readonly trials: TrialController;
  readonly connectivity: Pick<Connectivity, 'onTunnelAsked'>;
}

/** Sends a call back to the VM that called. */
export type Push = (method: string, params: unknown) => void;

/** Answers the calls of other VMs. */
export class PeerCalls {
  readonly #context: PeerContext;

  constructor(context: PeerContext) {
    this.#context = context;
  }

  /** Answers one call; the result of one without an answer is null. Rejects with `peerRejected` if the method is unknown. */
  async answer(vm: string, method: string, params: unknown, push: Push): Promise<unknown> {
    const { planners, reservations, sync, quotas, permits, loads, origins, notices, trials } =
      this.#context;
    const now = performance.now();
    const reply = (service: string, verdict: unknown): void =>
      push('verdict', { service, verdict });
    if (method === 'ask') return planners.reserve(now, vm, askSchema.parse(params), reply);
    if (method === 'ready') return planners.onPrefilled(now, vm, readySchema.parse(params), reply);
    if (method === 'facts') return sync.answer(now, params);
    if (method === 'quota') return quotas.onAsk(now, vm, params);
    if (method === 'permit') return permits.onAsk(now, vm, params);
    if (method === 'plainLoad') return loads.onAsk(now, params);
    if (method === 'originOf') return origins.onAsked(now, params);
    if (method === 'tunnelEnd') return this.#context.connectivity.onTunnelAsked(now, params);
    if (method === 'trial') return trials.onAsk(now, vm, params);
    if (method === 'note') planners.onProgress(now, vm, noteSchema.parse(params));
    else if (method === 'backoff') planners.onBackoffs(now, vm, backoffSchema.parse(params));
    else if (method === 'forwardedBackoff') {
      const { runner, ms } = forwardedBackoffSchema.parse(params);
      notices.onForwarded(now, runner, ms);
    } else if (method === 'hold') planners.onHoldings(now, vm, holdSchema.parse(params));
    else if (method === 'quotaJoin') quotas.onJoin(now, vm, params);
    else if (method === 'quotaBack') quotas.onRefund(params);
    else if (method === 'permitJoin') permits.onJoin(now, vm, params);
    else if (method === 'plainNews') loads.onNews(now, params);
    else if (method === 'plainFailures') loads.onFailures(now, params);
    else if (method === 'rates') permits.onRates(now, vm, params);
    else if (method === 'origins') origins.onTold(now, params);
    else if (method === 'gather') this.#reportHoldings(now, vm, gatherSchema.parse(params).service);
    else if (method === 'verdict') {
      const { service, verdict } = delayedDecisionSchema.parse(params);
      reservations.onDecision(service, verdict);
    } else throw new Failure('peerRejected', `found call ${method}, expected a known method`);
    return null;
  }

  /** Requests reports of the reservations of a service. VMs that may hold some have a link to the owner; opening a link to each of the others would cost more than the report is worth. */
  collectHoldings(service: string): void {
    const { fleet, vm } = this.#context;
    this.#reportHoldings(performance.now(), vm, service);
    fleet.callClients('gather', { service });
  }

  /** @param caller name of the VM that asks, or its address if the call came over a link that this VM opened */
  #reportHoldings(now: number, caller: string, service: string): void {
    const { fleet, reservations } = this.#context;
    const owner = fleet.all.find(({ vm, address }) => vm === caller || address === caller);
    if (owner) reservations.reportHoldings(now, service, owner);
  }
}
