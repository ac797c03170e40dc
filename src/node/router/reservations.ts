/** Client side of planning: obtains reservations from the VM that owns a service and reports how they are used. */

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import type { Grant } from '../../core/memory/types';
import type { RouterFleet } from './fleet';
import type { RoutingState } from './routingstate';
import type { DecisionCallback } from './plannerdecisions';
import type { PlannerHost } from './plannerhost';
import type {
  BackoffReport,
  HoldingsReport,
  ProgressReport,
  LocalDemand,
  Decision,
} from './messages';
import { toWireHolding, toWireDemand, decisionSchema } from './messages';

/** The VM that plans a service. */
export interface Owner {
  readonly vm: string;
  readonly address: string;
}

/** A reservation that this VM holds. */
interface HeldReservation {
  readonly service: string;
  readonly demand: LocalDemand;
  grant: Grant;
  /** When decoding began; undefined before that. */
  startedAt: number | undefined;
}

/** Why the assigned decode runner does not run a request, each with its id. */
export interface FailedAssignment {
  readonly unreachable?: string | undefined;
  readonly unavailable?: string | undefined;
  readonly shedBy?: string | undefined;
}

/** Time that an owner has to answer a call: many round trips, but little compared with a request's latency target. */
const CALL_TIMEOUT_MS = 250;
/** A waiting request asks again after this time, so that a paused owner is detected while the request can still be served. */
const RETRY_WAIT_MS = 250;
/** Unresponsive owners after which a request is refused. */
const MAX_UNRESPONSIVE_OWNERS = 4;
/** Retry delay for callers when no owner answered. */
const NO_OWNER_RETRY_MS = 700;
/** Period of reporting all reservations to their owners, which corrects the effects of lost messages. */
const REPORT_PERIOD_MS = 2000;

/** The reservations of this VM. */
export class ReservationClient {
  readonly #vm: string;

  readonly #routingState: Pick<RoutingState, 'table' | 'backoffsOf'>;

  readonly #fleet: RouterFleet;

  readonly #planners: PlannerHost;

  readonly #log: Logger;

  readonly #holdings = new Map<string, HeldReservation>();

  readonly #pendingDecisions = new Map<string, (decision: Decision) => void>();

  /** The VM to which each service's reservations were last reported. */
  readonly #reportedTo = new Map<string, string>();

  /** Services with reservations in the last reporting period. */
  #reportedServices: ReadonlySet<string> = new Set();

  readonly #timer: NodeJS.Timeout;

  constructor(
    vm: string,
    routingState: Pick<RoutingState, 'table' | 'backoffsOf'>,
    fleet: RouterFleet,
    planners: PlannerHost,
    log: Logger,
  ) {
    this.#vm = vm;
    this.#routingState = routingState;
    this.#fleet = fleet;
    this.#planners = planners;
    this.#log = log;
    this.#timer = setInterval(() => this.#reportAll(performance.now()), REPORT_PERIOD_MS);
  }

  /** Stops the periodic reports. */
  stop(): void {
    clearInterval(this.#timer);
  }

  /** Waits for a reservation. Rejects with a `Failure` that carries a retry delay if none is granted, or with `timedOut` if the signal is aborted. */
  async reserve(service: string, demand: LocalDemand, signal: AbortSignal): Promise<Grant> {
    let unresponsive = 0;
    while (!signal.aborted && unresponsive < MAX_UNRESPONSIVE_OWNERS) {
      const now = performance.now();
      if (now >= demand.lostAt) break;
      const owner = this.#ownerOf(now, service);
      if (!owner) break;
      const decision = await this.#reserveAt(owner, service, demand, signal);
      if (decision?.state === 'granted') return this.#add(service, demand, decision);
      if (decision?.state === 'refused') {
        const { retryAfterMs } = decision;
        throw new Failure('deadlineUnreachable', 'no reservation in time', { retryAfterMs });
      }
      if (!decision) {
        unresponsive += 1;
        this.#fleet.deprioritize(performance.now(), owner.vm);
        this.#log.warn({ request: demand.id, owner: owner.vm }, 'An owner did not answer in time.');
      }
    }
    this.reportProgress(service, { id: demand.id, kind: 'released' });
    if (signal.aborted) throw new Failure('timedOut', 'the request was aborted or timed out');
    throw new Failure('noOwner', `${unresponsive} owners did not answer`, {
      retryAfterMs: NO_OWNER_RETRY_MS,
    });
  }

  /** Reports the progress of a request to the owner. The next full report makes up for a lost message. */
  reportProgress(service: string, report: Omit<ProgressReport, 'service'>): void {
    const held = this.#holdings.get(report.id);
    if (report.kind === 'started' && held) held.startedAt = performance.now();
    if (report.kind === 'finished' || report.kind === 'released') this.#holdings.delete(report.id);
    const now = performance.now();
    const owner = this.#ownerOf(now, service);
    if (!owner) return;
    const message: ProgressReport = { service, ...report };
    if (owner.vm === this.#vm) this.#planners.onProgress(now, this.#vm, message);
    else this.#send(owner.address, 'note', message);
  }

  /** Tells the owner that a runner of a model service wants no requests of this VM for a time; see `reportHoldings`. */
  reportBackoff(service: string, runner: string, ms: number): void {
    if (ms === 0 || !this.#routingState.table?.service(service)?.engine) return;
    const now = performance.now();
    const owner = this.#ownerOf(now, service);
    if (!owner) return;
    const report: BackoffReport = { service, backoffs: [{ runner, ms }] };
    if (owner.vm === this.#vm) this.#planners.onBackoffs(now, this.#vm, report);
    else this.#send(owner.address, 'backoff', report);
  }

  /** Handles a decision that an owner sends for a waiting request. Releases a grant that nobody waits for. */
  onDecision(service: string, decision: Decision): void {
    const resolve = this.#pendingDecisions.get(decision.id);
    if (resolve) resolve(decision);
    else if (decision.state === 'granted' && !this.#holdings.has(decision.id)) {
      this.reportProgress(service, { id: decision.id, kind: 'released' });
    }
  }

  /** Reports the reservations of a service, and the pauses that its runners asked this VM for, to the VM that asked for them, even if this VM takes another one for the owner. */
  reportHoldings(now: number, service: string, owner: Owner): void {
    const report: HoldingsReport = {
      service,
      holdings: [...this.#holdings.values()]
        .filter((held) => held.service === service)
        .map(({ demand, grant, startedAt }) => toWireHolding(now, demand, grant, startedAt)),
      backoffs: [...this.#routingState.backoffsOf(now, service)],
    };
    if (owner.vm === this.#vm) this.#planners.onHoldings(now, this.#vm, report);
    else this.#send(owner.address, 'hold', report);
  }

  #add(
    service: string,
    demand: LocalDemand,
    { prefill, decode }: Extract<Decision, { readonly state: 'granted' }>,
  ): Grant {
    const grant = { prefill, decode };
    this.#holdings.set(demand.id, { service, demand, grant, startedAt: undefined });
    return grant;
  }

  /**
   * Reports that a prefill is done, or that the assigned decode runner failed, and returns the
   * decode runner to use; undefined if none had free memory while the KV cache is kept. If the
   * owner does not answer, the decode runner that was planned at the grant is returned.
   * @param ms duration of the prefill, in milliseconds
   * @param failed the decode runner that could not be reached, takes no requests any more, or
   * rejected the request
   */
  async assign(
    service: string,
    id: string,
    ms: number,
    signal: AbortSignal,
    failed: FailedAssignment = {},
  ): Promise<string | undefined> {
    const report = { service, id, ms, ...failed };
    const held = this.#holdings.get(id);
    const owner = this.#ownerOf(performance.now(), service);
    if (!held || !owner) return held?.grant.decode;
    const callback: DecisionCallback = (name, decision) => this.onDecision(name, decision);
    const decision = await this.#callForDecision(owner, id, signal, (now) =>
      owner.vm === this.#vm
        ? this.#planners.onPrefilled(now, this.#vm, report, callback)
        : this.#fleet.call(owner.address, 'ready', report, CALL_TIMEOUT_MS),
    );
    if (decision?.state === 'refused') return undefined;
    if (decision?.state === 'bound') held.grant = { ...held.grant, decode: decision.decode };
    return held.grant.decode;
  }

  /** Asks one owner for a reservation. Undefined if it does not answer in time. */
  #reserveAt(
    owner: Owner,
    service: string,
    demand: LocalDemand,
    signal: AbortSignal,
  ): Promise<Decision | undefined> {
    const callback: DecisionCallback = (name, decision) => this.onDecision(name, decision);
    return this.#callForDecision(owner, demand.id, signal, (now) => {
      const message = { service, ...toWireDemand(now, demand) };
      return owner.vm === this.#vm
        ? this.#planners.reserve(now, this.#vm, message, callback)
        : this.#fleet.call(owner.address, 'ask', message, CALL_TIMEOUT_MS);
    });
  }

  /** Makes one call and, if its answer is to wait, awaits the later decision. Undefined if the owner does not answer. */
  async #callForDecision(
    owner: Owner,
    id: string,
    signal: AbortSignal,
    call: (now: number) => unknown,
  ): Promise<Decision | undefined> {
    const later = this.#awaitDecision(id, signal);
    try {
      const first = decisionSchema.parse(await call(performance.now()));
      if (first.state !== 'waiting') return first;
      return (await later.decision) ?? first;
    } catch (error) {
      this.#log.debug({ request: id, owner: owner.vm }, toFailure(error).line);
      return undefined;
    } finally {
      later.stop();
    }
  }

  /** Awaits a later decision; undefined when it is time to ask again. */
  #awaitDecision(
    id: string,
    signal: AbortSignal,
  ): { readonly decision: Promise<Decision | undefined>; readonly stop: () => void } {
    let stop = (): void => {};
    const decision = new Promise<Decision | undefined>((resolve) => {
      const onAbort = (): void => resolve(undefined);
      const timer = setTimeout(() => resolve(undefined), CALL_TIMEOUT_MS + RETRY_WAIT_MS);
      signal.addEventListener('abort', onAbort, { once: true });
      this.#pendingDecisions.set(id, resolve);
      stop = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        this.#pendingDecisions.delete(id);
        resolve(undefined);
      };
    });
    return { decision, stop };
  }

  #ownerOf(now: number, service: string): Owner | undefined {
    const [owner] = this.#fleet.ownersOf(now, service);
    if (!owner) return undefined;
    if (this.#reportedTo.get(service) !== owner.vm) {
      this.#reportedTo.set(service, owner.vm);
      this.#log.info({ service, owner: owner.vm, held: this.#holdings.size }, 'Owner changed.');
      // Reservations are reported before the first request, so that a new owner accounts for them.
      this.reportHoldings(now, service, owner);
    }
    return owner;
  }

  /** Reports all reservations. A service without any is reported empty once, in case the last release was lost. */
  #reportAll(now: number): void {
    const heldServices = new Set([...this.#holdings.values()].map(({ service }) => service));
    const services = new Set([...heldServices, ...this.#reportedServices]);
    this.#reportedServices = heldServices;
    for (const service of services) {
      const owner = this.#ownerOf(now, service);
      if (owner) this.reportHoldings(now, service, owner);
    }
  }

  #send(address: string, method: string, params: unknown): void {
    this.#fleet.call(address, method, params, CALL_TIMEOUT_MS).catch((error) => {
      this.#log.debug({ address, method }, toFailure(error).line);
    });
  }
}
