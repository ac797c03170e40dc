/** The asking side of planning: gets places from a service's owner, whoever that is, and tells it how they are used. */

import type { Logger } from 'pino';

import { Failure, toFailure } from '../../core/failure';
import type { Grant } from '../../core/memory/types';
import type { RouterFleet } from './fleet';
import type { PlannerHost, DecisionCallback } from './plannerhost';
import type { HoldingsReport, ProgressReport, LocalDemand, Decision } from './messages';
import { toWireHolding, toWireDemand, decisionSchema } from './messages';

/** A VM that plans a service. */
export interface Owner {
  readonly vm: string;
  readonly address: string;
}

interface Held {
  readonly service: string;
  readonly demand: LocalDemand;
  grant: Grant;
  startedAt: number | undefined;
}

/** Time that an owner has to say something, in milliseconds: many round trips, and little of a request's aim. */
const ASK_LIMIT_MS = 250;
/** A request that waits asks again after this time, in milliseconds; so an owner that froze is found while the request can still be served. */
const ASK_AGAIN_MS = 250;
/** Owners asked for one request before it is refused. */
const OWNERS_ASKED = 4;
/** Time after which a caller may come back when no owner answered, in milliseconds. */
const NO_OWNER_RETRY_MS = 700;
/** Period of telling owners all that is held, in milliseconds: mends what lost messages left wrong. */
const HOLD_MS = 2000;

/** Places of this VM. */
export class ReservationClient {
  readonly #vm: string;

  readonly #fleet: RouterFleet;

  readonly #host: PlannerHost;

  readonly #log: Logger;

  readonly #held = new Map<string, Held>();

  readonly #waiting = new Map<string, (verdict: Decision) => void>();

  /** Who was told of each service's places last. */
  readonly #told = new Map<string, string>();

  /** Services of which something was held at the last period. */
  #holding: ReadonlySet<string> = new Set();

  readonly #timer: NodeJS.Timeout;

  constructor(vm: string, fleet: RouterFleet, host: PlannerHost, log: Logger) {
    this.#vm = vm;
    this.#fleet = fleet;
    this.#host = host;
    this.#log = log;
    this.#timer = setInterval(() => this.#tellAll(performance.now()), HOLD_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Waits for a place. Rejects with a `Failure` that says when to come back. */
  async reserve(service: string, demand: LocalDemand, signal: AbortSignal): Promise<Grant> {
    let silent = 0;
    while (!signal.aborted && silent < OWNERS_ASKED) {
      const now = performance.now();
      if (now >= demand.lostAt) break;
      const owner = this.#ownerOf(now, service);
      if (!owner) break;
      const verdict = await this.#askOnce(owner, service, demand, signal);
      if (verdict?.state === 'granted') return this.#keep(service, demand, verdict);
      if (verdict?.state === 'refused') {
        const { retryAfterMs } = verdict;
        throw new Failure('deadlineUnreachable', 'no place in time', { retryAfterMs });
      }
      if (!verdict) {
        silent += 1;
        this.#fleet.deprioritize(performance.now(), owner.vm);
        this.#log.warn({ request: demand.id, owner: owner.vm }, 'An owner did not answer.');
      }
    }
    this.reportProgress(service, { id: demand.id, kind: 'released' });
    if (signal.aborted) throw new Failure('timedOut', 'the caller left');
    throw new Failure('noOwner', `${silent} owners did not answer`, {
      retryAfterMs: NO_OWNER_RETRY_MS,
    });
  }

  /** Tells the owner how a request goes on. A lost note is mended by the next full list. */
  reportProgress(service: string, note: Omit<ProgressReport, 'service'>): void {
    const held = this.#held.get(note.id);
    if (note.kind === 'started' && held) held.startedAt = performance.now();
    if (note.kind === 'finished' || note.kind === 'released') this.#held.delete(note.id);
    const now = performance.now();
    const owner = this.#ownerOf(now, service);
    if (!owner) return;
    const message: ProgressReport = { service, ...note };
    if (owner.vm === this.#vm) this.#host.onProgress(now, this.#vm, message);
    else this.#send(owner.address, 'note', message);
  }

  /** A verdict that an owner sends after a wait. */
  onDecision(service: string, verdict: Decision): void {
    const resolve = this.#waiting.get(verdict.id);
    if (resolve) resolve(verdict);
    else if (verdict.state === 'granted' && !this.#held.has(verdict.id)) {
      this.reportProgress(service, { id: verdict.id, kind: 'released' });
    }
  }

  /** Tells a VM that asked for it what is held here, whoever this VM takes for the owner. */
  reportHoldings(now: number, service: string, owner: Owner): void {
    const hold: HoldingsReport = {
      service,
      holdings: [...this.#held.values()]
        .filter((held) => held.service === service)
        .map(({ demand, grant, startedAt }) => toWireHolding(now, demand, grant, startedAt)),
    };
    if (owner.vm === this.#vm) this.#host.onHoldings(now, this.#vm, hold);
    else this.#send(owner.address, 'hold', hold);
  }

  #keep(
    service: string,
    demand: LocalDemand,
    { prefill, decode }: Extract<Decision, { readonly state: 'granted' }>,
  ): Grant {
    const grant = { prefill, decode };
    this.#held.set(demand.id, { service, demand, grant, startedAt: undefined });
    return grant;
  }

  /**
   * Says that a prefill is done, or that the decode runner bound to it was not
   * reached, and gives the decode runner; undefined if none
   * had room while the prefill is kept. An owner that is silent leaves the place
   * that was likely when the prefill began.
   */
  async assign(
    service: string,
    id: string,
    ms: number,
    signal: AbortSignal,
    failed: { readonly unreachable?: string; readonly shedBy?: string } = {},
  ): Promise<string | undefined> {
    const ready = { service, id, ms, ...failed };
    const held = this.#held.get(id);
    const owner = this.#ownerOf(performance.now(), service);
    if (!held || !owner) return held?.grant.decode;
    const sink: DecisionCallback = (name, verdict) => this.onDecision(name, verdict);
    const verdict = await this.#converse(owner, id, signal, (now) =>
      owner.vm === this.#vm
        ? this.#host.onPrefilled(now, this.#vm, ready, sink)
        : this.#fleet.call(owner.address, 'ready', ready, ASK_LIMIT_MS),
    );
    if (verdict?.state === 'refused') return undefined;
    if (verdict?.state === 'bound') held.grant = { ...held.grant, decode: verdict.decode };
    return held.grant.decode;
  }

  /** Asks one owner. Undefined if it says nothing in time. */
  #askOnce(
    owner: Owner,
    service: string,
    demand: LocalDemand,
    signal: AbortSignal,
  ): Promise<Decision | undefined> {
    const sink: DecisionCallback = (name, verdict) => this.onDecision(name, verdict);
    return this.#converse(owner, demand.id, signal, (now) => {
      const ask = { service, ...toWireDemand(now, demand) };
      return owner.vm === this.#vm
        ? this.#host.reserve(now, this.#vm, ask, sink)
        : this.#fleet.call(owner.address, 'ask', ask, ASK_LIMIT_MS);
    });
  }

  /** One call and, if its answer is to wait, the verdict that comes later. Undefined if the owner is silent. */
  async #converse(
    owner: Owner,
    id: string,
    signal: AbortSignal,
    call: (now: number) => unknown,
  ): Promise<Decision | undefined> {
    const later = this.#waitFor(id, signal);
    try {
      const first = decisionSchema.parse(await call(performance.now()));
      if (first.state !== 'waiting') return first;
      return (await later.verdict) ?? first;
    } catch (error) {
      this.#log.debug({ request: id, owner: owner.vm }, toFailure(error).line);
      return undefined;
    } finally {
      later.stop();
    }
  }

  /** The verdict that comes later; undefined when it is time to ask again. */
  #waitFor(
    id: string,
    signal: AbortSignal,
  ): { readonly verdict: Promise<Decision | undefined>; readonly stop: () => void } {
    let stop = (): void => {};
    const verdict = new Promise<Decision | undefined>((resolve) => {
      const onAbort = (): void => resolve(undefined);
      const timer = setTimeout(() => resolve(undefined), ASK_LIMIT_MS + ASK_AGAIN_MS);
      signal.addEventListener('abort', onAbort, { once: true });
      this.#waiting.set(id, resolve);
      stop = () => {
        clearTimeout(timer);
        signal.removeEventListener('abort', onAbort);
        this.#waiting.delete(id);
        resolve(undefined);
      };
    });
    return { verdict, stop };
  }

  #ownerOf(now: number, service: string): Owner | undefined {
    const [owner] = this.#fleet.ownersOf(now, service);
    if (!owner) return undefined;
    if (this.#told.get(service) !== owner.vm) {
      this.#told.set(service, owner.vm);
      this.#log.info({ service, owner: owner.vm, held: this.#held.size }, 'Owner changed.');
      // What is held goes before the first request, so that a new owner counts it.
      this.reportHoldings(now, service, owner);
    }
    return owner;
  }

  /** A VM that holds nothing tells so once, in case that its last note was lost, and is silent then. */
  #tellAll(now: number): void {
    const holding = new Set([...this.#held.values()].map(({ service }) => service));
    const told = new Set([...holding, ...this.#holding]);
    this.#holding = holding;
    for (const service of told) {
      const owner = this.#ownerOf(now, service);
      if (owner) this.reportHoldings(now, service, owner);
    }
  }

  #send(address: string, method: string, params: unknown): void {
    this.#fleet.call(address, method, params, ASK_LIMIT_MS).catch((error) => {
      this.#log.debug({ address, method }, toFailure(error).line);
    });
  }
}
