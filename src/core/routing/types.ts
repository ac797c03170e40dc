/** Routes, services and runners as the router knows them, whatever system they were read from. */

import type { Customer } from '../customers/types';

/** What may be repeated: `once` at most one run, `repeatable` any number, `stream` events with ids. */
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
  /** Services by weight; the weights need not add up to anything. */
  readonly targets: readonly Target[];
  /** Longest time that a request may be kept waiting, in milliseconds. */
  readonly timeoutMs: number;
  /** Time within which the answer (streams: its first event) is worth most to its caller, in milliseconds. */
  readonly aimMs: number;
  /** Silence before the first event after which callers of a stream leave, in milliseconds. */
  readonly patienceMs: number;
  /** Longest pause between events with which a stream is on time, in milliseconds; 0 if none is set. */
  readonly gapMs: number;
  /** Runners that one request may be sent to. */
  readonly attempts: number;
  /** Rank, 0 first. */
  readonly priority: number;
  /** Whether a broken stream may go on at another runner after the last event that got through. */
  readonly resumable: boolean;
  /** Whether requests without a key may run. */
  readonly anonymous: boolean;
}

/** Engine of a model service, the same on all of its runners. */
export interface Engine {
  readonly slots: number;
  /** KV cache of one runner, in tokens. */
  readonly memoryTokens: number;
  /** Tokens of output in one event. */
  readonly eventTokens: number;
  /** How long a finished prefill is kept, in milliseconds. */
  readonly keepMs: number;
  /** Time that a runner needs to change between prefill and decode, in milliseconds. Default: it cannot. */
  readonly switchMs: number | undefined;
}

/** A service: model runners if it has an engine, plain ones if not. */
export interface Service {
  readonly name: string;
  /** Connections that one runner takes from all callers. */
  readonly connections: number;
  readonly engine: Engine | undefined;
}

/** Limits on what callers may send and how long they may take. */
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
  /** Whose requests may run. Default: everybody's, and no request needs a key. */
  readonly customers?: readonly Customer[] | undefined;
  readonly limits: IngressLimits;
}

/** What a runner does. */
export type RunnerRole = 'prefill' | 'decode' | 'plain';

/** A runner as it registered itself. */
export interface Runner {
  /** New with each start of the runner; see `startId`. */
  readonly id: string;
  /** Id under which it is listed and addressed, which a later start may have again. */
  readonly listing: string;
  /** When it started, in Unix milliseconds of its own clock; 0 where it does not tell. */
  readonly bornAt: number;
  readonly service: string;
  /** `HOST:PORT`. */
  readonly address: string;
  readonly domain: string;
  readonly role: RunnerRole;
  readonly slots: number;
  readonly leaving: boolean;
}

/**
 * Id of one start of a runner. A runner that starts again under its listed id
 * holds nothing of before; taken for the same one, it kept the account, the
 * distrust and the orders of a process that is gone. Under an id of its own
 * nothing of the earlier start can be mistaken for its own.
 */
export function instanceId(listing: string, bornAt: number): string {
  return bornAt === 0 ? listing : `${listing}@${bornAt}`;
}
