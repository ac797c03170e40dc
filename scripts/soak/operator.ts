/** The operator: writes configurations whose routes and keys change, and looks at which one each VM goes by. */

import { randomUUID } from 'node:crypto';
import { setTimeout as pause } from 'node:timers/promises';

import { call } from '../../test/fakes/http';
import type { FakeStore } from '../../test/fakes/store';
import type { CallerObserver, KeySource } from './callers';
import { routePrefixes } from './callers';
import { services } from './pool';
import type { SentRequest } from './requests';
import type { Breach } from './guarantees';
import { runnerProfile } from './runner';
import type { Vm } from './vm';
import { bounds } from './vm';

const HOST = 'soak.example';
/** Customers, how much they may send, and how many keys each has. */
const CUSTOMERS = ['ada', 'bob', 'cyd'] as const;
const QUOTAS = { ada: undefined, bob: { ratePerS: 16, burst: 20 }, cyd: undefined } as const;
const KEYS = 2;
/** Part of the requests with a key that was taken away, and how many of these callers remember. */
const OLD_KEY_PART = 0.08;
const OLD_KEYS = 4;
/** Period of changes, and of asking VMs which configuration they go by, in milliseconds. */
const CHANGE_MS = 3500;
const PROBE_MS = 700;
/** Time after which a VM that served by a configuration must not go by an older one, in milliseconds. */
const ROLLBACK_MS = 250;
/** Time after which a calm VM must go by a configuration that was written, in milliseconds. */
const APPLY_MS = bounds['config-apply-ms'] + 500;

interface Key {
  readonly customer: string;
  readonly key: string;
}

/** What the operator works with. */
export interface OperatorContext {
  readonly store: FakeStore;
  readonly vms: readonly Vm[];
  readonly random: () => number;
  readonly onBreach: (breach: Breach) => void;
  readonly onSent: CallerObserver['sent'];
  /** Time since the last fault of VMs or store ended, in milliseconds. */
  readonly faultFreeMs: () => number;
}

/** Configurations of one run. */
export class Operator implements KeySource {
  readonly #context: OperatorContext;

  #version = 0;

  #writtenAt = 0;

  #keys: readonly Key[] = CUSTOMERS.flatMap((customer) =>
    Array.from({ length: KEYS }, () => ({ customer, key: randomUUID() })),
  );

  /** Keys that were taken away last. */
  #old: readonly Key[] = [];

  readonly #revoked = new Map<string, number>();

  /** Latest version that each life of a VM served by, and since when. */
  readonly #served = new Map<string, { version: number; at: number }>();

  constructor(context: OperatorContext) {
    this.#context = context;
  }

  get version(): number {
    return this.#version;
  }

  /** Mostly a key that is held; some callers go on with one that was taken away. */
  drawKey(): Key {
    const { random } = this.#context;
    const isOld = this.#old.length > 0 && random() < OLD_KEY_PART;
    const keys = isOld ? this.#old : this.#keys;
    return keys[Math.floor(random() * keys.length)] as Key;
  }

  /** When a key was taken away. Default: it is held. */
  revokedAt(key: string): number | undefined {
    return this.#revoked.get(key);
  }

  quotaOf(customer: string): { readonly ratePerS: number; readonly burst: number } | undefined {
    return QUOTAS[customer as keyof typeof QUOTAS];
  }

  /** Writes the next configuration. */
  writeNext(): void {
    this.#version += 1;
    this.rewrite();
  }

  /** Writes the configuration in force once more: the store may have lost it. */
  rewrite(): void {
    this.#writtenAt = Date.now();
    this.#context.store.put('op/config', this.#config());
  }

  /** Changes configurations and looks at VMs until the end. */
  async run(until: number): Promise<void> {
    await Promise.all([this.#change(until), this.#probe(until)]);
  }

  async #change(until: number): Promise<void> {
    const { random } = this.#context;
    while (Date.now() < until) {
      await pause(CHANGE_MS * (0.5 + random()));
      const [taken, ...rest] = random() < 0.5 ? this.#keys : [undefined, ...this.#keys];
      if (taken) {
        this.#keys = [...rest, { customer: taken.customer, key: randomUUID() }] as Key[];
        this.#revoked.set(taken.key, Date.now());
        this.#old = [taken, ...this.#old].slice(0, OLD_KEYS);
      }
      this.writeNext();
    }
  }

  async #probe(until: number): Promise<void> {
    while (Date.now() < until) {
      await pause(PROBE_MS);
      await Promise.all(
        this.#context.vms
          .filter(({ isUp: up, isPaused: frozen }) => up && !frozen)
          .map((vm) => this.#ask(vm)),
      );
    }
  }

  /** Asks a VM for the route that only the newest configuration has. */
  async #ask(vm: Vm): Promise<void> {
    const version = this.#version;
    const writtenAt = this.#writtenAt;
    const askedAt = Date.now();
    const life = `${vm.place.name}/${vm.startCount}`;
    const status = await this.#statusOf(vm, version);
    if (life !== `${vm.place.name}/${vm.startCount}`) return;
    const isLate = askedAt - writtenAt > APPLY_MS && this.#context.faultFreeMs() > APPLY_MS;
    // A newer version that came meanwhile has dropped the route.
    if (status === 404 && isLate && version === this.#version) {
      this.#breach('config', `${life} does not know version ${version}`);
    }
    const served = this.#served.get(life);
    const isBehind = served?.version === version && status === 404 && version === this.#version;
    const servedMs = askedAt - (served?.at ?? Infinity);
    if (isBehind && servedMs > ROLLBACK_MS) {
      this.#breach('config back', `${life} served by version ${version} and then knew it no more`);
    }
    if (status === 200) this.#served.set(life, { version, at: Date.now() });
  }

  async #statusOf(vm: Vm, version: number): Promise<number> {
    const [held] = this.#keys;
    const sent: SentRequest = {
      id: randomUUID(),
      kind: 'repeatable',
      path: `/version/${version}/`,
      body: 'probe',
      events: 0,
      customer: held?.customer,
      key: held?.key,
    };
    this.#context.onSent(sent, vm.frontAddress);
    const headers = {
      host: HOST,
      'request-id': sent.id,
      'request-deadline-ms': '1000',
      authorization: `Bearer ${held?.key}`,
      connection: 'close',
    };
    const answer = call('POST', `http://${vm.frontAddress}${sent.path}`, sent.body, headers);
    const limit = pause(1500, undefined, { ref: false });
    return (await Promise.race([answer.catch(() => undefined), limit]))?.status ?? 0;
  }

  #breach(promise: string, detail: string): void {
    this.#context.onBreach({ promise, detail });
  }

  #config(): unknown {
    const route = (name: string, prefix: string, kind: string, more: object): unknown => ({
      name,
      host: HOST,
      'path-prefix': prefix,
      kind,
      'max-attempts': 2,
      ...more,
    });
    const model = { service: services.model, 'timeout-ms': 6000, 'target-latency-ms': 900 };
    const plain = { service: services.plain, 'timeout-ms': 1500, 'target-latency-ms': 200 };
    return {
      version: this.#version,
      tenants: CUSTOMERS.map((name) => ({
        name,
        'api-keys': this.#keys.filter(({ customer }) => customer === name).map(({ key }) => key),
        ...(QUOTAS[name] ? { 'rate-per-s': QUOTAS[name].ratePerS, burst: QUOTAS[name].burst } : {}),
      })),
      routes: [
        route('look', routePrefixes.repeatable, 'idempotent', plain),
        route('pay', routePrefixes.once, 'non_idempotent', plain),
        route('read', routePrefixes.stream, 'streaming', model),
        route('note', routePrefixes.resumable, 'streaming', { ...model, resumable: true }),
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
      ],
    };
  }
}
