/** Hosts the cells of the pools that this scheduler plans: passes messages and timers to them and performs their actions. */

import type { Logger } from 'pino';
import { match } from 'ts-pattern';

import { Cell } from '../../core/cell/cell';
import { policyOf, runnersOf } from '../../core/cell/pool';
import type { Arrival, CellAction, CellEvent } from '../../core/cell/types';
import type { Settings } from '../../core/settings/documents';
import type { Metrics } from '../metrics';
import type { Message, ToScheduler } from '../peer/messages';
import type { Peer } from '../peer/server';

/** Messages that are passed to a cell. */
export type CellMessage = Extract<
  ToScheduler,
  { kind: 'arrive' | 'adopt' | 'prefilled' | 'started' | 'finished' | 'failed' | 'cancelled' }
>;

/** Rank of this scheduler among the owners of a pool: 0 is the owner, 1 its successor, and so on; Infinity if it cannot own the pool. */
export type OwnerRank = (pool: string) => number;

/** Dependencies of a `CellHost`. */
export interface CellHostOptions {
  readonly settings: () => Settings;
  readonly rankIn: OwnerRank;
  readonly log: Logger;
  readonly metrics: Metrics;
}

interface HostedCell {
  readonly cell: Cell;
  /** Gateway of each request id, which receives the actions. */
  readonly peers: Map<string, Peer>;
  timer: NodeJS.Timeout | undefined;
}

/** Warm-up of a new cell, in milliseconds: it starts no prefill until gateways have reported the requests that run already. */
const WARM_UP_MS = 250;
/** Requests of a disconnected gateway are dropped after this time, in milliseconds; until then it may reconnect. */
const DISCONNECT_GRACE_MS = 3000;
/** Number of requests per cell in the status. */
const MAX_OLDEST = 5;
/** Only the owner and its successor accept requests; each further scheduler would split the account of capacity once more. */
const MAX_PLANNERS = 2;

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

/** Cells planned by this scheduler, by pool. No other class changes them. */
export class CellHost {
  readonly #options: CellHostOptions;

  readonly #hosted = new Map<string, HostedCell>();

  readonly #startedAt = Date.now();

  constructor(options: CellHostOptions) {
    this.#options = options;
  }

  /** Cells planned here, by name of their pool. */
  get cells(): ReadonlyMap<string, Cell> {
    return new Map([...this.#hosted].map(([pool, { cell }]) => [pool, cell]));
  }

  /** The oldest requests of each cell for the status, so that operators can find the cause of a slow one. */
  oldestRequests(now: number): readonly unknown[] {
    return [...this.#hosted].flatMap(([pool, { cell, peers }]) =>
      [...cell.requests.values()].slice(0, MAX_OLDEST).map(({ arrival, stage, since }) => ({
        pool,
        id: arrival.id,
        stage,
        sinceMs: now - since,
        gateway: peers.get(arrival.id)?.id,
      })),
    );
  }

  /** Passes a gateway's message to its cell, or replies `notOwner` if the pool is not planned here. */
  receive(peer: Peer, message: CellMessage): void {
    const hosted = this.#hosted.get(message.pool) ?? this.#open(message.pool);
    if (!hosted) {
      if (message.kind === 'arrive') {
        peer.send({ kind: 'notOwner', id: message.id, pool: message.pool });
      }
      return;
    }
    const isRequest = message.kind === 'arrive' || message.kind === 'adopt';
    if (isRequest) hosted.peers.set(message.id, peer);
    if (
      !isRequest &&
      !hosted.cell.requests.has(message.id) &&
      message.kind !== 'cancelled' &&
      message.kind !== 'finished'
    ) {
      // The gateway relies on a reservation that this cell does not have, so it must send its request again.
      peer.send({ kind: 'notOwner', id: message.id, pool: message.pool });
      return;
    }
    const now = Date.now();
    this.handle(message.pool, eventOf(now, message));
    if (message.kind === 'finished' || message.kind === 'cancelled') {
      hosted.peers.delete(message.id);
    }
  }

  /** Passes an event to a cell and performs its actions. */
  handle(pool: string, event: CellEvent): void {
    const hosted = this.#hosted.get(pool);
    if (!hosted) return;
    const now = Date.now();
    for (const action of hosted.cell.handle(now, event)) perform(hosted, action);
    this.#scheduleWake(pool, hosted, now);
  }

  /** Drops the requests of a disconnected gateway after a delay. A gateway that reconnects in time has them adopted again. */
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
            `Dropped ${orphans.length} requests of the disconnected gateway ${peer.id}.`,
          );
        }
      }
    }, DISCONNECT_GRACE_MS).unref();
  }

  /** Closes cells that other schedulers own now, and applies the current settings to the others. */
  reconcile(): void {
    const settings = this.#options.settings();
    for (const [pool, hosted] of this.#hosted) {
      const spec = settings.pool(pool);
      const isLost = !spec || this.#options.rankIn(pool) >= MAX_PLANNERS;
      const isIdle = this.#options.rankIn(pool) > 0 && hosted.cell.requests.size === 0;
      if (isLost || isIdle) this.#close(pool, hosted);
      else this.#configure(pool);
    }
  }

  /** Marks the runners on VMs that the platform lists as leaving. */
  setLeavingHosts(hosts: ReadonlySet<string>): void {
    for (const pool of this.#hosted.keys()) {
      const runners = this.#options.settings().pool(pool)?.runners ?? [];
      const departing = runners.filter(({ url }) => hosts.has(new URL(url).hostname));
      this.handle(pool, { kind: 'departing', runners: departing.map(({ id }) => id) });
    }
  }

  /** Checks the invariants of all cells and publishes their counters and gauges. */
  publishMetrics(): void {
    const { metrics, log } = this.#options;
    for (const [pool, { cell }] of this.#hosted) {
      for (const violation of cell.violations()) {
        metrics.count('invariant.broken');
        log.error({ pool }, `Invariant violated: ${violation}.`);
      }
      for (const [name, value] of Object.entries(cell.counters)) {
        metrics.gauge(`cell.${pool}.${name}`, value);
      }
      metrics.gauge(`cell.${pool}.queued`, cell.view.waiting.size);
      metrics.gauge(`cell.${pool}.free`, cell.view.capacity.freeSlots);
    }
  }

  /** Stops all timers and drops all cells, without a message to gateways. */
  stop(): void {
    for (const { timer } of this.#hosted.values()) clearTimeout(timer);
    this.#hosted.clear();
  }

  #open(pool: string): HostedCell | undefined {
    const settings = this.#options.settings();
    const spec = settings.pool(pool);
    if (!spec || !settings.consortium || this.#options.rankIn(pool) >= MAX_PLANNERS) {
      return undefined;
    }
    const cell = new Cell({
      policy: policyOf(spec, settings.consortium),
      warmUpUntil: Math.max(this.#startedAt, Date.now()) + WARM_UP_MS,
    });
    const hosted: HostedCell = { cell, peers: new Map(), timer: undefined };
    this.#hosted.set(pool, hosted);
    this.#configure(pool);
    this.#options.log.info(`Started planning pool ${pool}.`);
    return hosted;
  }

  #configure(pool: string): void {
    const settings = this.#options.settings();
    const spec = settings.pool(pool);
    if (!spec || !settings.consortium) return;
    this.handle(pool, { kind: 'policy', policy: policyOf(spec, settings.consortium) });
    this.handle(pool, { kind: 'runners', runners: runnersOf(spec) });
  }

  /** Drops a cell; gateways send its requests to the new owner after `notOwner`. */
  #close(pool: string, hosted: HostedCell): void {
    clearTimeout(hosted.timer);
    this.#hosted.delete(pool);
    for (const [id, peer] of hosted.peers) peer.send({ kind: 'notOwner', id, pool });
    this.#options.log.info(`Stopped planning pool ${pool}.`);
  }

  #scheduleWake(pool: string, hosted: HostedCell, now: number): void {
    clearTimeout(hosted.timer);
    const next = hosted.cell.nextWake(now);
    if (next === Infinity) return;
    const wait = Math.max(1, next - now);
    Object.assign(hosted, { timer: setTimeout(() => this.handle(pool, { kind: 'woke' }), wait) });
  }
}

function perform({ peers }: HostedCell, action: CellAction): void {
  const peer = peers.get(action.id);
  if (action.kind === 'refuse') peers.delete(action.id);
  peer?.send(action);
}
