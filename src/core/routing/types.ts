/** Routes, services and runners, independent of the system that they were read from. */

import type { Customer } from '../customers/types';

/** Whether a call may be executed again: `once` at most one execution, `repeatable` any number, `stream` a repeatable stream of events with ids. */
export type CallKind = 'once' | 'repeatable' | 'stream';

/** A service and the share of a route's requests that goes to it. */
export interface Target {
  readonly service: string;
  readonly weight: number;
}

/** A rule for the requests of one host below one path prefix. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly prefix: string;
  readonly kind: CallKind;
  /** Services by weight; the weights may have any sum. */
  readonly targets: readonly Target[];
  /** Maximum time that a request may wait, in milliseconds. */
  readonly timeoutMs: number;
  /** Target latency of the answer (for streams: of the first event), in milliseconds. */
  readonly aimMs: number;
  /** Time without a first event after which callers of a stream disconnect, in milliseconds. */
  readonly patienceMs: number;
  /** Target for the longest gap between two events of a stream, in milliseconds; 0 if there is none. */
  readonly gapMs: number;
  /** Maximum number of runners that one request is sent to. */
  readonly attempts: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Whether a broken stream may continue at another runner after the last event that was delivered. */
  readonly resumable: boolean;
  /** Whether requests without a key are allowed. */
  readonly anonymous: boolean;
}

/** Inference engine of a model service, the same on all of its runners. */
export interface Engine {
  readonly slots: number;
  /** KV cache of one runner, in tokens. */
  readonly memoryTokens: number;
  /** Output tokens in one event. */
  readonly eventTokens: number;
  /** How long a finished prefill is kept, in milliseconds. */
  readonly keepMs: number;
  /** Time that a runner takes to switch between prefill and decode, in milliseconds. Default: it cannot switch. */
  readonly switchMs: number | undefined;
}

/** A service. Its runners run a model if it has an engine, and plain calls otherwise. */
export interface Service {
  readonly name: string;
  /** Connections that one runner accepts in total. */
  readonly connections: number;
  readonly engine: Engine | undefined;
}

/** Limits on the size and duration of callers' requests. */
export interface IngressLimits {
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  /** Customers whose requests are allowed. Default: everyone's are, and no request needs a key. */
  readonly customers?: readonly Customer[] | undefined;
  readonly limits: IngressLimits;
}

/** Kind of work that a runner does. */
export type RunnerRole = 'prefill' | 'decode' | 'plain';

/**
 * Most slots of a runner: each request that it executes has a connection, and an address has this
 * many ports. Of a runner that names more nothing else is believed either.
 */
export const MAX_SLOTS = 65_535;

/** Start times of runners are in Unix milliseconds; those in microseconds lie after this one. */
export const MAX_BORN = Date.UTC(2100, 0);

/** A runner as it registered itself. */
export interface Runner {
  /** Id of the instance, new with each start; see `instanceId`. */
  readonly id: string;
  /** Id under which the runner is listed and addressed; a later instance may have the same one. */
  readonly listing: string;
  /** Start time in Unix milliseconds by the runner's clock; 0 if it does not report one. */
  readonly bornAt: number;
  readonly service: string;
  /** `HOST:PORT`. */
  readonly address: string;
  readonly domain: string;
  readonly role: RunnerRole;
  /** Version of the runner's software; empty if it is not known. */
  readonly version: string;
  readonly slots: number;
  readonly leaving: boolean;
}

/** The runner of an instance id; undefined if it is not among those given. */
export function findRunner(runners: readonly Runner[], id: string): Runner | undefined {
  return runners.find((runner) => runner.id === id);
}

/**
 * Whether a runner may continue a stream.
 * @param version software version that began the stream; undefined if none has, empty if it is not
 * known
 */
export function mayContinue(runner: Pick<Runner, 'version'>, version: string | undefined): boolean {
  return version === undefined || (version !== '' && runner.version === version);
}

/**
 * Id of one instance of a runner. A runner that restarts under its listed id has none of
 * its earlier state. If it were treated as the same instance, the reservations, the
 * ejection and the orders of the ended process would be attributed to it.
 */
export function instanceId(listing: string, bornAt: number): string {
  return bornAt === 0 ? listing : `${listing}@${bornAt}`;
}
