/** Who calls: the usual callers, those with long streams during planned stops, and floods of one customer. */

import { setTimeout as pause } from 'node:timers/promises';

import { seeded } from '../../test/fakes/virtual/workload';
import type { AddressBook } from './addresses';
import { OwnAddresses, SharedAddresses } from './addresses';
import type { CallerObserver, StreamUse } from './callers';
import { allKinds, CallerGroup, shortStreams, streamKinds } from './callers';
import { CALLER_MARGIN_MS } from './connections';
import type { Operator } from './operator';
import { customerPriorities, MODEL_TIMEOUT_MS } from './operator';

/** How a group of callers differs from the usual. */
interface CallerOptions {
  /** Whose streams its callers send; undefined for all requests of all customers. */
  readonly customer?: string | undefined;
  readonly addresses?: AddressBook;
  readonly streams?: StreamUse;
}

/** Dependencies of the callers. */
export interface CrowdContext {
  readonly seed: number;
  /** Requests per second of all callers together. */
  readonly ratePerS: number;
  /** `HOST:PORT` of the directories of all VMs. */
  readonly directories: readonly string[];
  readonly observer: CallerObserver;
  readonly operator: Operator;
  /** Whether planned stops or restarts of the fleet are under way. */
  readonly isRollingOut: () => boolean;
  /** Whether no fault is in progress, and none has been for some seconds. */
  readonly isCalm: () => boolean;
}

const CALLER_GROUPS = 6;
/** Callers that look up addresses for themselves and use long streams, during planned stops and restarts. */
const LONG_CALLERS = 16;
/** Their requests per second, relative to those of all others outside of that time, and those of the others in it. */
const LONG_CALLER_FACTOR = 0.3;
/** Callers that use one connection each, after pauses. */
const IDLE_CALLERS = 20;
/** Part of the idle limit up to which they use it, and the age from which on they know a configuration. */
const IDLE_PART = 0.8;
const KNOWN_AFTER_MS = 2500;
const ROLLOUT_FACTOR = 0.3;
/** Event counts of their streams: short ones, ones of 2 to 6 s, and ones that may outlast the grace period. */
const EVENT_RANGES = [
  [5, 33],
  [33, 100],
  [33, 100],
  [110, 190],
] as const;
const longStreams: StreamUse = {
  drawEvents: (random) => {
    const [min, max] = EVENT_RANGES[Math.floor(random() * EVENT_RANGES.length)] ?? EVENT_RANGES[0];
    return min + Math.floor(random() * (max - min));
  },
  deadlineMs: MODEL_TIMEOUT_MS,
  maxAttempts: 20,
  maxPauseMs: 800,
};
/**
 * Streams per second of a flood, relative to all requests of all customers: its customer then sends seven
 * times its usual streams, and all together nearly twice what the decode runners can serve.
 */
const FLOOD_FACTOR = 1;
const FLOOD_INTERVAL_MS = 6000;
const FLOOD_MS = 4000;

/** All callers of a run. */
export class Crowd {
  readonly #context: CrowdContext;

  constructor(context: CrowdContext) {
    this.#context = context;
  }

  /** Sends requests until `until` (epoch milliseconds), and waits for their answers. */
  async run(until: number): Promise<void> {
    await Promise.all([
      ...this.#callers(until),
      ...this.#longCallers(until),
      ...this.#idleCallers(until),
      this.#flood(until),
    ]);
  }

  #callers(until: number): readonly Promise<void>[] {
    const { seed, ratePerS } = this.#context;
    return Array.from({ length: CALLER_GROUPS }, (_, group) =>
      this.#callerGroup(seeded(seed + 10 + group)).run(
        () => (ratePerS / CALLER_GROUPS) * (this.#context.isRollingOut() ? ROLLOUT_FACTOR : 1),
        until,
      ),
    );
  }

  #longCallers(until: number): readonly Promise<void>[] {
    const { seed, ratePerS } = this.#context;
    return Array.from({ length: LONG_CALLERS }, async (_, index) => {
      const random = seeded(seed + 100 + index);
      const addresses = new OwnAddresses(this.#context.directories, random);
      const caller = this.#callerGroup(random, { addresses, streams: longStreams });
      await caller.run(
        () => (this.#context.isRollingOut() ? (ratePerS * LONG_CALLER_FACTOR) / LONG_CALLERS : 0),
        until,
      );
    });
  }

  /** Callers that use one connection after pauses; every other one heeds the idle limit of the configuration as well. */
  #idleCallers(until: number): readonly Promise<void>[] {
    const { seed, operator } = this.#context;
    return Array.from({ length: IDLE_CALLERS }, (_, index) => {
      const maxIdleMs = (announcedMs: number): number => {
        const limitMs = operator.idleLimitMsAt(Date.now() - KNOWN_AFTER_MS) * IDLE_PART;
        return Math.min(announcedMs - CALLER_MARGIN_MS, index % 2 === 0 ? limitMs : Infinity);
      };
      return this.#callerGroup(seeded(seed + 200 + index)).runIdle(maxIdleMs, until);
    });
  }

  /** Floods of one customer at a time, alternately at any moment and while no fault is in progress. */
  async #flood(until: number): Promise<void> {
    const { seed, ratePerS } = this.#context;
    const random = seeded(seed + 4);
    for (let flood = 0; Date.now() < until - FLOOD_MS; flood += 1) {
      await pause(FLOOD_INTERVAL_MS * (0.5 + random()));
      const awaitsCalm = flood % 2 === 0;
      while (
        Date.now() < until &&
        (this.#context.isRollingOut() || (awaitsCalm && !this.#context.isCalm()))
      ) {
        await pause(100);
      }
      // Without a quota, so that the model runners are overloaded.
      const names = Object.keys(customerPriorities).filter(
        (name) => !awaitsCalm || this.#context.operator.quotaOf(name) === undefined,
      );
      const customer = names[Math.floor(random() * names.length)];
      const end = Math.min(until, Date.now() + FLOOD_MS);
      await this.#callerGroup(random, { customer }).run(() => ratePerS * FLOOD_FACTOR, end);
    }
  }

  /** By default, its callers share look-ups and use short streams. */
  #callerGroup(
    random: () => number,
    {
      customer,
      addresses = new SharedAddresses(this.#context.directories, random),
      streams = shortStreams,
    }: CallerOptions = {},
  ): CallerGroup {
    const { observer, operator } = this.#context;
    return new CallerGroup({
      observer,
      random,
      keys: { drawKey: () => operator.drawKey(customer) },
      kinds: customer === undefined ? allKinds : streamKinds,
      addresses,
      streams,
    });
  }
}
