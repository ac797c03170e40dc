/** A small deployment inside the test's own process: real sockets, real daemons, stand-ins for the rest. */

import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import type { GatewayConfig, SchedulerConfig } from '../../src/node/config';
import { Gateway } from '../../src/node/gateway/daemon';
import { Scheduler } from '../../src/node/scheduler/daemon';
import { hashToken } from '../../src/core/settings/documents';
import type { EngineFigures } from './engine/model';
import { EngineServer } from './engine/server';
import { call } from './http';
import { PlatformServer } from './platform';
import { PlainServer } from './service';

/** What to start. */
export interface ClusterOptions {
  /** VMs, each with a scheduler and a gateway. Default: 2. */
  readonly vms?: number;
  /** Default: 1. */
  readonly prefillRunners?: number;
  /** Default: 2. */
  readonly decodeRunners?: number;
  /** Default: 2. */
  readonly plainRunners?: number;
  /** Default: quick engines, so that tests are short. */
  readonly figures?: Partial<EngineFigures>;
}

/** Tokens of the cluster's settings. */
export const tokens = {
  operator: 'operator-token',
  clerks: 'clerks-token',
  lawyers: 'lawyers-token',
} as const;

const PEER_KEY = 'test-key-test-key';
const quick: Partial<EngineFigures> = {
  prefillBaseMs: 5,
  prefillTokenMs: 0.01,
  decodeBaseMs: 2,
  decodeSlotMs: 0.05,
};
const DOMAINS = ['north', 'centre', 'south'];

/** Waits until `look` holds; throws after `limitMs`. */
export async function waitUntil(
  what: string,
  look: () => boolean | Promise<boolean>,
  limitMs = 10_000,
): Promise<void> {
  const end = Date.now() + limitMs;
  while (!(await look())) {
    if (Date.now() > end) throw new Error(`${what}: not within ${limitMs} ms`);
    await pause(10);
  }
}

/** A started cluster. */
export class Cluster {
  readonly platform = new PlatformServer();

  readonly prefillRunners: EngineServer[] = [];

  readonly decodeRunners: EngineServer[] = [];

  readonly plainRunners: PlainServer[] = [];

  readonly schedulers: Scheduler[] = [];

  readonly gateways: Gateway[] = [];

  readonly #options: ClusterOptions;

  /** Each jest worker has addresses of its own. */
  readonly #net = `127.${100 + Number(process.env.JEST_WORKER_ID ?? 0)}`;

  readonly #log = pino({ level: process.env.GOLDCRESTDOCK_LOG ?? 'silent' });

  constructor(options: ClusterOptions = {}) {
    this.#options = options;
  }

  get engines(): readonly EngineServer[] {
    return [...this.prefillRunners, ...this.decodeRunners];
  }

  get vms(): number {
    return this.#options.vms ?? 2;
  }

  callers(vm: number): string {
    return `http://${this.#net}.0.${vm + 1}:8080`;
  }

  operators(vm: number): string {
    return `http://${this.#net}.0.${vm + 1}:8081`;
  }

  peers(vm: number): string {
    return `${this.#net}.0.${vm + 1}:9000`;
  }

  /** Runs that any engine holds memory for. */
  get heldRequests(): readonly string[] {
    return this.engines.flatMap(({ model }) => model.held);
  }

  async start(): Promise<this> {
    const { prefillRunners = 1, decodeRunners = 2, plainRunners = 2 } = this.#options;
    await this.platform.start(8500, `${this.#net}.9.1`);
    for (let i = 0; i < prefillRunners; i += 1) {
      this.prefillRunners.push(await this.#engine(`prefill-${i}`, i));
    }
    for (let i = 0; i < decodeRunners; i += 1) {
      this.decodeRunners.push(await this.#engine(`decode-${i}`, 100 + i));
    }
    for (let i = 0; i < plainRunners; i += 1) {
      this.plainRunners.push(await new PlainServer().start(8000, `${this.#net}.2.${i + 1}`));
    }
    this.#seed();
    const list = Array.from({ length: this.vms }, (_, vm) => ({
      id: `vm${vm}`,
      address: this.peers(vm),
      leaving: false,
    }));
    this.platform.setVms(list);
    for (let vm = 0; vm < this.vms; vm += 1) {
      await this.startScheduler(vm);
      await this.startGateway(vm);
    }
    await this.ready();
    return this;
  }

  async startScheduler(vm: number): Promise<void> {
    const scheduler = new Scheduler(this.#schedulerConfig(vm), this.#log);
    await scheduler.start(this.#log);
    this.schedulers[vm] = scheduler;
  }

  async startGateway(vm: number): Promise<void> {
    const gateway = new Gateway(this.#gatewayConfig(vm), this.#log);
    await gateway.start();
    this.gateways[vm] = gateway;
  }

  /** Waits until all VMs know of all. */
  async ready(): Promise<void> {
    for (let vm = 0; vm < this.vms; vm += 1) {
      await waitUntil(`vm ${vm}`, async () => {
        const { body } = await call('GET', `${this.callers(vm)}/v1/addresses`);
        const { status } = await call('GET', `${this.callers(vm)}/readyz`);
        return status === 200 && (body as { addresses: string[] }).addresses.length === this.vms;
      });
    }
  }

  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await Promise.all(this.schedulers.map((scheduler) => scheduler.close()));
    await Promise.all(this.engines.map((engine) => engine.stop()));
    await Promise.all(this.plainRunners.map((runner) => runner.stop()));
    await this.platform.stop();
  }

  async #engine(id: string, number: number): Promise<EngineServer> {
    const figures = { ...quick, ...this.#options.figures };
    return new EngineServer({
      id,
      host: `${this.#net}.1.${number + 1}`,
      port: 8000,
      figures,
    }).start();
  }

  #seed(): void {
    const put = (path: string, value: object): void =>
      this.platform.writeDirectly(
        `settings/${path}`,
        JSON.stringify({ revision: 1, nonce: 'seed', text: JSON.stringify(value) }),
      );
    const engine = ({ id, url }: EngineServer, role: string, i: number): object => ({
      id,
      url,
      role,
      domain: DOMAINS[i % 3],
    });
    const teams = ['clerks', 'lawyers'];
    const policy = {
      prefillBaseMs: 5,
      prefillTokenMs: 0.01,
      decodeBaseMs: 2,
      decodeSlotMs: 0.05,
      outputTokens: 50,
    };
    put('consortium', {
      operators: [hashToken(tokens.operator)],
      teams: {
        clerks: { tokens: [hashToken(tokens.clerks)] },
        lawyers: { tokens: [hashToken(tokens.lawyers)] },
      },
      pools: {
        deeds: {
          teams,
          policy,
          runners: [
            ...this.prefillRunners.map((runner, i) => engine(runner, 'prefill', i)),
            ...this.decodeRunners.map((runner, i) => engine(runner, 'decode', i)),
          ],
        },
        registry: {
          teams,
          runners: this.plainRunners.map(({ url }, i) => ({
            id: `plain-${i}`,
            url,
            role: 'plain',
            domain: DOMAINS[i % 3],
          })),
        },
        private: { teams: ['lawyers'], runners: [] },
      },
    });
    for (const team of teams) {
      put(`teams/${team}`, {
        services: {
          deeds: { kind: 'model', pool: 'deeds', firstTokenMs: 5000, maxTokens: 1000 },
          registry: {
            kind: 'plain',
            pool: 'registry',
            nonIdempotent: ['POST /receipts'],
            timeoutMs: 3000,
          },
          stolen: { kind: 'plain', pool: 'private' },
        },
      });
    }
  }

  #schedulerConfig(vm: number): SchedulerConfig {
    return {
      role: 'scheduler',
      vm: `vm${vm}`,
      domain: DOMAINS[vm % 3] as string,
      peer: { host: `${this.#net}.0.${vm + 1}`, port: 9000 },
      platform: this.platform.url,
      peerKey: PEER_KEY,
      log: 'silent',
      probeMs: 100,
      suspectMs: 200,
      keyMemory: 1000,
    };
  }

  #gatewayConfig(vm: number): GatewayConfig {
    const host = `${this.#net}.0.${vm + 1}`;
    return {
      role: 'gateway',
      vm: `vm${vm}`,
      domain: DOMAINS[vm % 3] as string,
      listen: { host, port: 8080 },
      operator: { host, port: 8081 },
      scheduler: `${host}:9000`,
      platform: this.platform.url,
      peerKey: PEER_KEY,
      log: 'silent',
      addressTtlMs: 300,
      limits: {
        bodyBytes: 1_000_000,
        headerBytes: 16_384,
        connections: 1000,
        headerTimeoutMs: 2000,
      },
    };
  }
}
