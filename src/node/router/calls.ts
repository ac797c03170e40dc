/** What VMs ask of each other: places, holdings, and what each knows. */

import { Failure } from '../../core/failure';
import type { RouterFleet } from './fleet';
import type { PlannerHost } from './plannerhost';
import type { PermitController } from './permits';
import type { ReservationClient } from './reservations';
import type { QuotaController } from './quotas';
import type { StateExchange } from './stateexchange';
import {
  askSchema,
  gatherSchema,
  holdSchema,
  noteSchema,
  delayedDecisionSchema,
  readySchema,
} from './messages';

/** What the calls reach. */
export interface PeerContext {
  readonly vm: string;
  readonly fleet: RouterFleet;
  readonly planners: PlannerHost;
  readonly reservations: ReservationClient;
  readonly sync: StateExchange;
  readonly quotas: QuotaController;
  readonly permits: PermitController;
}

/** Calls back to the VM that called. */
export type Push = (method: string, params: unknown) => void;

/** Answers the calls of other VMs. */
export class PeerCalls {
  readonly #context: PeerContext;

  constructor(context: PeerContext) {
    this.#context = context;
  }

  /** Rejects with `peerRejected` if there is no such call. */
  async answer(vm: string, method: string, params: unknown, push: Push): Promise<unknown> {
    const { planners: host, reservations: places, sync, quotas, permits } = this.#context;
    const now = performance.now();
    const sink = (service: string, verdict: unknown): void => push('verdict', { service, verdict });
    if (method === 'ask') return host.reserve(now, vm, askSchema.parse(params), sink);
    if (method === 'ready') return host.onPrefilled(now, vm, readySchema.parse(params), sink);
    if (method === 'facts') return sync.answer(now, params);
    if (method === 'quota') return quotas.onAsk(now, vm, params);
    if (method === 'permit') return permits.onAsk(now, vm, params);
    if (method === 'note') host.onProgress(now, vm, noteSchema.parse(params));
    else if (method === 'hold') host.onHoldings(now, vm, holdSchema.parse(params));
    else if (method === 'quotaJoin') quotas.onJoin(now, vm, params);
    else if (method === 'quotaBack') quotas.onRefund(params);
    else if (method === 'permitJoin') permits.onJoin(now, vm, params);
    else if (method === 'rates') permits.onRates(now, vm, params);
    else if (method === 'gather') this.#tell(now, vm, gatherSchema.parse(params).service);
    else if (method === 'verdict') {
      const { service, verdict } = delayedDecisionSchema.parse(params);
      places.onDecision(service, verdict);
    } else throw new Failure('peerRejected', `found call ${method}, expected a known one`);
    return null;
  }

  /** Has the VMs tell what they hold of a service. Those that may hold something have a link to the owner; a link to each of the others would cost more than it tells. */
  collectHoldings(service: string): void {
    const { fleet, vm } = this.#context;
    this.#tell(performance.now(), vm, service);
    fleet.callClients('gather', { service });
  }

  /** @param caller name of the VM that asks, or its address if it asks over a link that this one opened */
  #tell(now: number, caller: string, service: string): void {
    const { fleet, reservations: places } = this.#context;
    const owner = fleet.all.find(({ vm, address }) => vm === caller || address === caller);
    if (owner) places.reportHoldings(now, service, owner);
  }
}
