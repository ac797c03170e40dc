/** Hosts the cells that this scheduler plans: carries messages, timers and actions. */

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { Cell } from '../../core/cell/cell';
import { policyOf, runnersOf } from '../../core/cell/pool';
import type { Arrival, CellAction, CellEvent } from '../../core/cell/types';
import type { Settings } from '../../core/settings/documents';
import type { Metrics } from '../metrics';
import type { Message, ToScheduler } from '../peer/messages';
import type { Peer } from '../peer/server';

/** Messages that concern a cell. */
export type CellMessage = Extract<
  ToScheduler,
  { kind: 'arrive' | 'adopt' | 'prefilled' | 'started' | 'finished' | 'failed' | 'cancelled' }
>;

/** How far this scheduler's claim to a pool goes: 0 is the owner, 1 the next. */
export type OwnerRank = (pool: string) => number;

/** What the host works with. */
export interface CellHostOptions {
  readonly settings: () => Settings;
  readonly rankIn: OwnerRank;
  readonly log: Logger;
  readonly metrics: Metrics;
}

interface Hosted {
  readonly cell: Cell;
  /** Who asked for each request; it gets the actions. */
  readonly peers: Map<string, Peer>;
  timer: NodeJS.Timeout | undefined;
}

/** Grants wait this long in a new cell, for gateways to tell what runs already, in milliseconds. */
const CAUTION_MS = 250;
/** Requests of a lost gateway are dropped after this time, in milliseconds; it may only have lost its link. */
const ORPHAN_MS = 3000;
/** Requests of each cell that the status shows. */
const OLDEST_SHOWN = 5;
/** Owner and next in line take requests; a third would only split the account further. */
const CLAIMS_SERVED = 2;

function arrivalOf(now: number, message: Message<'arrive'> | Message<'adopt'>): Arrival {
  const { id, team, tier, promptTokens, maxTokens, dueInMs, blocks, fingerprint } = message;
  const deadline = now + dueInMs;
  return { id, team, tier, promptTokens, maxTokens, blocks, fingerprint, deadline };
}

function eventOf(now: number, message: CellMessage): CellEvent {
  return match(message)
    .returnType<CellEvent>()
    .with({ kind: 'arrive' }, (m) => ({ kind: 'arrived', arrival: arrivalOf(now, m) }))
    .with({ kind: 'adopt' }, (m) => ({
      kind: 'adopted',
      adoption: {
        arrival: arrivalOf(now, m),
        stage: m.stage,
        prefillRunner: m.prefillRunner,
        decodeRunner: m.decodeRunner,
      },
    }))
    .with({ kind: 'prefilled' }, ({ id, cachedTokens, keptMs }) => ({
      kind: 'prefilled',
      id,
      cachedTokens,
      keptUntil: now + keptMs,
    }))
    .with({ kind: 'started' }, ({ id }) => ({ kind: 'started', id }))
    .with({ kind: 'finished' }, ({ id, tokens }) => ({ kind: 'finished', id, tokens }))
    .with({ kind: 'failed' }, ({ id, runner, reason, tokens }) => ({
      kind: 'failed',
      id,
      runner,
      reason,
      tokens,
    }))
    .with({ kind: 'cancelled' }, ({ id }) => ({ kind: 'cancelled', id }))
    .exhaustive();
}

/** The only writer of the cells section of the blackboard. */
export class CellHost {
  readonly #options: CellHostOptions;

  readonly #hosted = new Map<string, Hosted>();

  readonly #startedAt = Date.now();

  constructor(options: CellHostOptions) {
    this.#options = options;
  }

  /** Pools planned here, by name. */
  get cells(): ReadonlyMap<string, Cell> {
    return new Map([...this.#hosted].map(([pool, { cell }]) => [pool, cell]));
  }

  /** Requests that are in each cell for longest, for operators who look for the cause of a slow one. */
  oldestRequests(now: number): readonly unknown[] {
    return [...this.#hosted].flatMap(([pool, { cell, peers }]) =>
      [...cell.requests.values()].slice(0, OLDEST_SHOWN).map(({ arrival, stage, since }) => ({
        pool,
        id: arrival.id,
        stage,
        sinceMs: now - since,
        gateway: peers.get(arrival.id)?.id,
      })),
    );
  }

  receive(peer: Peer, message: CellMessage): void {
    const hosted = this.#hosted.get(message.pool) ?? this.#open(message.pool);
    if (!hosted) {
      if (message.kind === 'arrive') {
        peer.send({ kind: 'notOwner', id: message.id, pool: message.pool });
      }
      return;
    }
    const asks = message.kind === 'arrive' || message.kind === 'adopt';
    if (asks) hosted.peers.set(message.id, peer);
    if (
      !asks &&
      !hosted.cell.requests.has(message.id) &&
      message.kind !== 'cancelled' &&
      message.kind !== 'finished'
    ) {
      // The gateway counts on a place that this cell does not know of: it has to ask again.
      peer.send({ kind: 'notOwner', id: message.id, pool: message.pool });
      return;
    }
    const now = Date.now();
    this.handle(message.pool, eventOf(now, message));
    if (message.kind === 'finished' || message.kind === 'cancelled') {
      hosted.peers.delete(message.id);
    }
  }

  /** Hands an event to a cell and carries out its actions. */
  handle(pool: string, event: CellEvent): void {
    const hosted = this.#hosted.get(pool);
    if (!hosted) return;
    const now = Date.now();
    for (const action of hosted.cell.handle(now, event)) perform(hosted, action);
    this.#arm(pool, hosted, now);
  }

  /** A gateway that is back within the time has its requests adopted again by then. */
  onGatewayDisconnect(peer: Peer): void {
    setTimeout(() => {
      for (const [pool, { peers }] of this.#hosted) {
        const orphans = [...peers].filter(([, owner]) => owner === peer).map(([id]) => id);
        for (const id of orphans) {
          peers.delete(id);
          this.handle(pool, { kind: 'cancelled', id });
        }
        if (orphans.length > 0) {
          this.#options.log.warn(
            `Dropped ${orphans.length} requests of the lost gateway ${peer.id}.`,
          );
        }
      }
    }, ORPHAN_MS).unref();
  }

  /** Drops cells that others own now, and brings the rest in line with the settings. */
  reconcile(): void {
    const settings = this.#options.settings();
    for (const [pool, hosted] of this.#hosted) {
      const spec = settings.pool(pool);
      const lost = !spec || this.#options.rankIn(pool) >= CLAIMS_SERVED;
      const idle = this.#options.rankIn(pool) > 0 && hosted.cell.requests.size === 0;
      if (lost || idle) this.#close(pool, hosted);
      else this.#configure(pool);
    }
  }

  /** Marks runners that stand on VMs which the platform lists as leaving. */
  setLeavingHosts(hosts: ReadonlySet<string>): void {
    for (const pool of this.#hosted.keys()) {
      const runners = this.#options.settings().pool(pool)?.runners ?? [];
      const departing = runners.filter(({ url }) => hosts.has(new URL(url).hostname));
      this.handle(pool, { kind: 'departing', runners: departing.map(({ id }) => id) });
    }
  }

  /** Counts broken invariants and publishes the counters. */
  publishMetrics(): void {
    const { metrics, log } = this.#options;
    for (const [pool, { cell }] of this.#hosted) {
      for (const violation of cell.violations()) {
        metrics.count('invariant.broken');
        log.error({ pool }, `An invariant is broken: ${violation}.`);
      }
      for (const [name, value] of Object.entries(cell.counters)) {
        metrics.gauge(`cell.${pool}.${name}`, value);
      }
      metrics.gauge(`cell.${pool}.queued`, cell.view.waiting.size);
      metrics.gauge(`cell.${pool}.free`, cell.view.capacity.freeSlots);
    }
  }

  stop(): void {
    for (const { timer } of this.#hosted.values()) clearTimeout(timer);
    this.#hosted.clear();
  }

  #open(pool: string): Hosted | undefined {
    const settings = this.#options.settings();
    const spec = settings.pool(pool);
    if (!spec || !settings.consortium || this.#options.rankIn(pool) >= CLAIMS_SERVED) {
      return undefined;
    }
    const cell = new Cell({
      policy: policyOf(spec, settings.consortium),
      warmUpUntil: Math.max(this.#startedAt, Date.now()) + CAUTION_MS,
    });
    const hosted: Hosted = { cell, peers: new Map(), timer: undefined };
    this.#hosted.set(pool, hosted);
    this.#configure(pool);
    this.#options.log.info(`Planning pool ${pool}.`);
    return hosted;
  }

  #configure(pool: string): void {
    const settings = this.#options.settings();
    const spec = settings.pool(pool);
    if (!spec || !settings.consortium) return;
    this.handle(pool, { kind: 'policy', policy: policyOf(spec, settings.consortium) });
    this.handle(pool, { kind: 'runners', runners: runnersOf(spec) });
  }

  /** Requests that wait here are asked for again by their gateways at the new owner. */
  #close(pool: string, hosted: Hosted): void {
    clearTimeout(hosted.timer);
    this.#hosted.delete(pool);
    for (const [id, peer] of hosted.peers) peer.send({ kind: 'notOwner', id, pool });
    this.#options.log.info(`Pool ${pool} is planned elsewhere now.`);
  }

  #arm(pool: string, hosted: Hosted, now: number): void {
    clearTimeout(hosted.timer);
    const next = hosted.cell.nextWake(now);
    if (next === Infinity) return;
    const wait = Math.max(1, next - now);
    Object.assign(hosted, { timer: setTimeout(() => this.handle(pool, { kind: 'woke' }), wait) });
  }
}

function perform({ peers }: Hosted, action: CellAction): void {
  const peer = peers.get(action.id);
  if (action.kind === 'refuse') peers.delete(action.id);
  peer?.send(action);
}
