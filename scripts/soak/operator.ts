/** The operator: writes configurations with changing routes and keys, and checks which version each VM applies. */

import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import type { FakeStore } from '../../test/fakes/store';
import { HOST } from './addresses';
import type { CallerObserver, KeySource } from './callers';
import { routePrefixes } from './callers';
import { LATE_PREFIX } from './newcomers';
import { services } from './pool';
import type { RequestKind, SentRequest } from './requests';
import type { Breach } from './guarantees';
import { runnerProfile } from './work';
import type { Vm } from './vm';
import { bounds } from './vm';

const CUSTOMERS = ['ada', 'bob', 'cyd'] as const;
/** Rate limits of customers; undefined for none. */
const QUOTAS = { ada: undefined, bob: { ratePerS: 16, burst: 20 }, cyd: undefined } as const;
/** Priorities of customers; 0 is the most urgent. */
export const customerPriorities: Readonly<Record<string, number>> = { ada: 0, bob: 1, cyd: 2 };
/** Priorities of the routes of the model service, one after the other as configurations change. */
export const routePriorities: Readonly<Partial<Record<RequestKind, readonly number[]>>> = {
  stream: [0, 1],
  resumable: [1, 2],
};
/** Configuration versions between changes of the priorities of routes. */
const PRIORITY_VERSIONS = 4;
const KEYS_PER_CUSTOMER = 2;
/** Fraction of requests that use a revoked key. */
const REVOKED_KEY_RATIO = 0.08;
/** Number of revoked keys that callers still use. */
const REVOKED_KEYS_IN_USE = 4;
/** Idle limits of callers' connections, one after the other as configurations change. */
const IDLE_LIMITS_MS = [15_000, 2000, 2000, 8000, 3000] as const;
/** Every so many changes come as a series, of so many configurations and with this pause between them. */
const SERIES_CHANGES = 4;
const SERIES_LENGTH = 3;
const SERIES_PAUSE_MS = 150;
/** Mean time between configuration changes. */
const CHANGE_INTERVAL_MS = 3500;
/** Time between probes of the version that each VM applies. */
const PROBE_INTERVAL_MS = 700;
const PROBE_DEADLINE_MS = 1000;
/** Time limit of the routes of the model service. */
export const MODEL_TIMEOUT_MS = 14_000;
/** Time after which a VM that served with a configuration must not serve with an older one. */
const ROLLBACK_MS = 250;
/** Time after which a VM must apply a written configuration, if there are no faults. */
const APPLY_MS = bounds['config-apply-ms'] + 500;

/** An API key and its customer. */
interface ApiKey {
  readonly customer: string;
  readonly key: string;
}

/** Dependencies of the operator. */
export interface OperatorContext {
  readonly store: FakeStore;
  readonly vms: readonly Vm[];
  readonly random: () => number;
  readonly onBreach: (breach: Breach) => void;
  readonly onSent: CallerObserver['sent'];
  /** Time since the last fault of VMs or the store ended, in milliseconds; 0 while one is in progress. */
  readonly faultFreeMs: () => number;
}

/** Writes the configurations of one run and checks that VMs apply them. */
export class Operator implements KeySource {
  readonly #context: OperatorContext;

  #version = 0;

  #writtenAt = 0;

  #keys: readonly ApiKey[] = CUSTOMERS.flatMap((customer) =>
    Array.from({ length: KEYS_PER_CUSTOMER }, () => ({ customer, key: randomUUID() })),
  );

  readonly #idleLimits: { readonly since: number; readonly limitMs: number }[] = [];

  /** Most recently revoked keys, newest first. */
  #recentlyRevoked: readonly ApiKey[] = [];

  /** When each revoked key was revoked, in epoch milliseconds. */
  readonly #revokedAt = new Map<string, number>();

  /** Latest version that each process of a VM served with, and when it last did. */
  readonly #lastServed = new Map<string, { version: number; at: number }>();

  constructor(context: OperatorContext) {
    this.#context = context;
  }

  /** Version of the current configuration. */
  get version(): number {
    return this.#version;
  }

  /**
   * Draws a valid key in most cases; otherwise a revoked one, as from a caller that still uses it.
   * @param only the customer; undefined for any
   */
  drawKey(only?: string): ApiKey {
    const { random } = this.#context;
    const isOld = this.#recentlyRevoked.length > 0 && random() < REVOKED_KEY_RATIO;
    const keys =
      only === undefined
        ? (isOld && this.#recentlyRevoked) || this.#keys
        : this.#keys.filter(({ customer }) => customer === only);
    return keys[Math.floor(random() * keys.length)] as ApiKey;
  }

  /** When a key was revoked, in epoch milliseconds; undefined while it is valid. */
  revokedAt(key: string): number | undefined {
    return this.#revokedAt.get(key);
  }

  /** Rate limit of a customer; undefined if it has none. */
  quotaOf(customer: string): { readonly ratePerS: number; readonly burst: number } | undefined {
    return QUOTAS[customer as keyof typeof QUOTAS];
  }

  /** Idle limit of the newest configuration that was written by a time (epoch milliseconds). */
  idleLimitMsAt(at: number): number {
    return this.#idleLimits.findLast(({ since }) => since <= at)?.limitMs ?? 0;
  }

  /** Writes the next configuration. */
  writeNext(): void {
    this.#version += 1;
    this.#idleLimits.push({ since: Date.now(), limitMs: idleLimitMsOf(this.#version) });
    this.rewrite();
  }

  /** Writes the current configuration again, because a restored store may lack it. */
  rewrite(): void {
    this.#writtenAt = Date.now();
    this.#context.store.put('op/config', this.#buildConfig());
  }

  /** Changes configurations and probes VMs until `until` (epoch milliseconds). */
  async run(until: number): Promise<void> {
    await Promise.all([this.#changeConfig(until), this.#probeVms(until)]);
  }

  async #changeConfig(until: number): Promise<void> {
    const { random } = this.#context;
    for (let changes = 1; Date.now() < until; changes += 1) {
      await pause(CHANGE_INTERVAL_MS * (0.5 + random()));
      const [revoked, ...rest] = random() < 0.5 ? this.#keys : [undefined, ...this.#keys];
      if (revoked) {
        this.#keys = [...rest, { customer: revoked.customer, key: randomUUID() }] as ApiKey[];
        this.#revokedAt.set(revoked.key, Date.now());
        this.#recentlyRevoked = [revoked, ...this.#recentlyRevoked].slice(0, REVOKED_KEYS_IN_USE);
      }
      this.writeNext();
      const more = changes % SERIES_CHANGES === 0 ? SERIES_LENGTH - 1 : 0;
      for (let i = 0; i < more; i += 1) {
        await pause(SERIES_PAUSE_MS);
        this.writeNext();
      }
    }
  }

  async #probeVms(until: number): Promise<void> {
    while (Date.now() < until) {
      await pause(PROBE_INTERVAL_MS);
      await Promise.all(
        this.#context.vms
          .filter(({ isUp, isPaused }) => isUp && !isPaused)
          .map((vm) => this.#checkVersion(vm)),
      );
    }
  }

  /** Requests the route that only the newest configuration has from a VM. */
  async #checkVersion(vm: Vm): Promise<void> {
    const version = this.#version;
    const writtenAt = this.#writtenAt;
    const askedAt = Date.now();
    const instance = `${vm.options.name}/${vm.startCount}`;
    const status = await this.probe(vm, `/version/${version}/`);
    if (instance !== `${vm.options.name}/${vm.startCount}`) return;
    const isOverdue = askedAt - writtenAt > APPLY_MS && this.#context.faultFreeMs() > APPLY_MS;
    // Only if the version is still current: a newer one removes the route.
    if (status === 404 && isOverdue && version === this.#version) {
      this.#reportBreach('config', `${instance} has not applied version ${version}`);
    }
    const served = this.#lastServed.get(instance);
    const isRolledBack = served?.version === version && status === 404 && version === this.#version;
    const sinceServedMs = askedAt - (served?.at ?? Infinity);
    if (isRolledBack && sinceServedMs > ROLLBACK_MS) {
      this.#reportBreach(
        'config back',
        `${instance} served with version ${version} and later did not know its route`,
      );
    }
    if (status === 200) this.#lastServed.set(instance, { version, at: Date.now() });
  }

  /** Sends a plain request to a VM with a valid key; returns the status of the answer, 0 without one. */
  async probe(vm: Vm, path: string): Promise<number> {
    // Of a customer without a quota, so that the answer tells about the route.
    const valid = this.#keys.find(({ customer }) => this.quotaOf(customer) === undefined);
    const sent: SentRequest = {
      id: randomUUID(),
      kind: 'repeatable',
      path,
      body: 'probe',
      events: 0,
      deadlineMs: PROBE_DEADLINE_MS,
      customer: valid?.customer,
      key: valid?.key,
      resumes: undefined,
    };
    this.#context.onSent(sent, vm.frontAddress);
    const headers = {
      host: HOST,
      'request-id': sent.id,
      'request-deadline-ms': String(PROBE_DEADLINE_MS),
      authorization: `Bearer ${valid?.key}`,
      connection: 'close',
    };
    const answer = call('POST', `http://${vm.frontAddress}${sent.path}`, sent.body, headers);
    const limit = pause(1500, undefined, { ref: false });
    return (await Promise.race([answer.catch(() => undefined), limit]))?.status ?? 0;
  }

  #reportBreach(promise: string, detail: string): void {
    this.#context.onBreach({ promise, detail });
  }

  #buildConfig(): unknown {
    const route = (name: string, prefix: string, kind: string, extra: object): unknown => ({
      name,
      host: HOST,
      'path-prefix': prefix,
      kind,
      'max-attempts': 2,
      ...extra,
    });
    const model = {
      service: services.model,
      'timeout-ms': MODEL_TIMEOUT_MS,
      'target-latency-ms': 900,
    };
    const turn = Math.floor(this.#version / PRIORITY_VERSIONS) % 2;
    const priorityOf = (kind: RequestKind): object => ({ priority: routePriorities[kind]?.[turn] });
    const plain = { service: services.plain, 'timeout-ms': 1500, 'target-latency-ms': 200 };
    return {
      version: this.#version,
      limits: { 'idle-timeout-ms': idleLimitMsOf(this.#version) },
      tenants: CUSTOMERS.map((name) => ({
        name,
        priority: customerPriorities[name],
        'api-keys': this.#keys.filter(({ customer }) => customer === name).map(({ key }) => key),
        ...(QUOTAS[name] ? { 'rate-per-s': QUOTAS[name].ratePerS, burst: QUOTAS[name].burst } : {}),
      })),
      routes: [
        route('look', routePrefixes.repeatable, 'idempotent', plain),
        route('pay', routePrefixes.once, 'non_idempotent', plain),
        route('read', routePrefixes.stream, 'streaming', { ...model, ...priorityOf('stream') }),
        route('note', routePrefixes.resumable, 'streaming', {
          ...model,
          ...priorityOf('resumable'),
          resumable: true,
        }),
        route('late', LATE_PREFIX, 'idempotent', { ...plain, service: services.late }),
        route('version', `/version/${this.#version}/`, 'idempotent', plain),
      ],
      services: [
        {
          name: services.model,
          engine: {
            slots: runnerProfile.slots,
            'kv-capacity-tokens': runnerProfile.memoryTokens,
            stride: runnerProfile.eventTokens,
            'kv-hold-s': runnerProfile.cacheHoldMs / 1000,
            'switch-s': runnerProfile.roleSwitchMs / 1000,
          },
        },
        { name: services.plain },
        { name: services.late },
      ],
    };
  }
}

function idleLimitMsOf(version: number): number {
  return IDLE_LIMITS_MS[version % IDLE_LIMITS_MS.length] ?? 0;
}
