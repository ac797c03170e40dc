/** What runners of the soak get and do, and what is observed of it. */

import type { Announcement } from './announcements';

/** What a runner does; orders switch engines between `prefill` and `decode`. */
export type RunnerRole = 'prefill' | 'decode' | 'plain';

/** A request as a runner received it. */
export interface Arrival {
  /** Id of the request. */
  readonly requestId: string;
  /** Id of the runner's instance: it changes with every start. */
  readonly instanceId: string;
  readonly role: RunnerRole;
  readonly service: string;
  /** Digest of the path and the body that the runner received. */
  readonly digest: string;
  readonly customer: string | undefined;
  /** Whether it carried the caller's API key, which must not reach runners. */
  readonly hasKey: boolean;
  /** How urgent it is, from 0, the first, to 9; undefined if it does not say. */
  readonly priority: number | undefined;
}

/** A role-change order as a runner received it. */
export interface Order {
  /** Id of the runner's instance. */
  readonly instanceId: string;
  readonly holder: string;
  readonly fence: number;
}

/** Receives what runners observe. */
export interface RunnerObserver {
  /** A request reached the runner, also one that is meant for another instance or stage. */
  received(arrival: Arrival): void;
  /** The runner completed a prefill. */
  prefilled(arrival: Arrival): void;
  /** A request arrived, whether or not it will run. */
  arrived(arrival: Arrival): void;
  /** The request started to run. */
  began(arrival: Arrival): void;
  /** The answer to a request announces that the runner leaves or wants a pause. */
  announced(announcement: Announcement): void;
  /**
   * The run ended, successfully or not.
   * @param wasCrash whether its runner ended in the middle of it
   */
  ended(arrival: Arrival, wasCrash: boolean): void;
  /** An order arrived, whether or not it is obeyed. */
  ordered(order: Order): void;
}

/** How a runner treats requests. Ratios are fractions of all requests, from 0 to 1. */
export interface RunnerBehaviour {
  /** Fraction answered with status 500. */
  readonly failRatio: number;
  /** Fraction rejected with status 503 before running. */
  readonly shedRatio: number;
  /** Fraction whose connection is reset before the answer is complete. */
  readonly cutRatio: number;
  /** Fraction whose connection ends, in order or by a reset, within the head of the answer. */
  readonly headCutRatio: number;
  /** Fraction in whose answer, which has no length, the runner's process ends. */
  readonly stopRatio: number;
  /** Fraction of work steps that hang. A step is a plain request, a local prefill or one event of a stream. */
  readonly hangRatio: number;
  /** Factor on the duration of all work. */
  readonly slowdown: number;
}

/** Behaviour of a runner without faults. */
export const healthyBehaviour: RunnerBehaviour = {
  failRatio: 0,
  shedRatio: 0,
  cutRatio: 0,
  headCutRatio: 0,
  stopRatio: 0,
  hangRatio: 0,
  slowdown: 1,
};

/** Capacity and speed of all engines and plain instances. */
export const runnerProfile = {
  memoryTokens: 20_000,
  slots: 16,
  eventTokens: 7,
  cacheHoldMs: 500,
  roleSwitchMs: 3000,
  prefillTokenMs: 0.02,
  eventMs: 60,
  plainMs: 30,
  plainSlots: 6,
  plainQueueSlots: 6,
} as const;

/** Id of the runner that a request reached, the same for all of its instances. */
export function runnerIdOf({ instanceId }: Arrival): string {
  return instanceId.split('@')[0] ?? instanceId;
}
