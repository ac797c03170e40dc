/** A small deployment in the test process: the real gateways and schedulers on loopback sockets, with stand-ins for the platform and the runners. */

import { setTimeout as pause } from 'node:timers/promises';

import pino from 'pino';

import type { GatewayConfig, SchedulerConfig } from '../../src/node/config';
import { Gateway } from '../../src/node/gateway/daemon';
import { Scheduler } from '../../src/node/scheduler/daemon';
import { hashToken } from '../../src/core/settings/documents';
import type { EngineFigures } from './engine/model';
import { EngineServer } from './engine/server';
import { call } from './http';
import { LoopbackPrefix } from './loopback';
import { PlatformServer } from './platform';
import { PlainServer } from './service';

/** Sizes of a cluster. */
export interface ClusterOptions {
  /** VMs, each with a scheduler and a gateway. Default: 2. */
  readonly vms?: number;
  /** Prefill runners. Default: 1. */
  readonly prefillRunners?: number;
  /** Decode runners. Default: 2. */
  readonly decodeRunners?: number;
  /** Runners of the plain service. Default: 2. */
  readonly plainRunners?: number;
  /** Figures of the engines. Default: fast engines, which keep tests short. */
  readonly figures?: Partial<EngineFigures>;
}

/** Bearer tokens in the cluster's settings. */
export const tokens = {
  operator: 'operator-token',
  clerks: 'clerks-token',
  lawyers: 'lawyers-token',
} as const;

const PEER_KEY = 'test-key-test-key';
const fastFigures: Partial<EngineFigures> = {
  prefillBaseMs: 5,
  prefillTokenMs: 0.01,
  decodeBaseMs: 2,
  decodeSlotMs: 0.05,
};
const DOMAINS = ['north', 'centre', 'south'];

/** Polls until `condition` is true; throws after `limitMs` milliseconds. */
export async function waitUntil(
  what: string,
  condition: () => boolean | Promise<boolean>,
  limitMs = 10_000,
): Promise<void> {
  const end = Date.now() + limitMs;
  while (!(await condition())) {
    if (Date.now() > end) throw new Error(`${what}: condition not met within ${limitMs} ms`);
    await pause(10);
  }
}

/** A cluster of gateways, schedulers and runners. */
export class Cluster {
  readonly platform = new PlatformServer();

  readonly prefillRunners: EngineServer[] = [];

  readonly decodeRunners: EngineServer[] = [];

  readonly plainRunners: PlainServer[] = [];

  readonly schedulers: Scheduler[] = [];

  readonly gateways: Gateway[] = [];

  readonly #options: ClusterOptions;

  /** Loopback prefix from the start on; each cluster has its own, so that those of other workers and test runs do not collide. */
  #prefix: LoopbackPrefix | undefined;

  readonly #log = pino({ level: process.env.GOLDCRESTDOCK_LOG ?? 'silent' });

  constructor(options: ClusterOptions = {}) {
    this.#options = options;
  }

  get #net(): string {
    if (!this.#prefix) throw new Error('the cluster was not started');
    return this.#prefix.text;
  }

  /** All prefill and decode runners. */
  get engines(): readonly EngineServer[] {
    return [...this.prefillRunners, ...this.decodeRunners];
  }

  /** Number of VMs. */
  get vms(): number {
    return this.#options.vms ?? 2;
  }

  /** Base URL of a VM's gateway for callers; VMs are counted from 0. */
  callers(vm: number): string {
    return `http://${this.#net}.0.${vm + 1}:8080`;
  }

  /** Base URL of a VM's gateway for operators. */
  operators(vm: number): string {
    return `http://${this.#net}.0.${vm + 1}:8081`;
  }

  /** Peer address of a VM's scheduler, as `host:port`. */
  peers(vm: number): string {
    return `${this.#net}.0.${vm + 1}:9000`;
  }

  /** Ids of requests that any engine has queued or holds memory for. */
  get heldRequests(): readonly string[] {
    return this.engines.flatMap(({ model }) => model.held);
  }

  /** Starts all processes and waits until they are ready. */
  async start(): Promise<this> {
    const { prefillRunners = 1, decodeRunners = 2, plainRunners = 2 } = this.#options;
    this.#prefix = await LoopbackPrefix.claim();
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

  /** Starts the scheduler of a VM, as a new instance if it ran before. */
  async startScheduler(vm: number): Promise<void> {
    const scheduler = new Scheduler(this.#schedulerConfig(vm), this.#log);
    await scheduler.start(this.#log);
    this.schedulers[vm] = scheduler;
  }

  /** Starts the gateway of a VM, as a new instance if it ran before. */
  async startGateway(vm: number): Promise<void> {
    const gateway = new Gateway(this.#gatewayConfig(vm), this.#log);
    await gateway.start();
    this.gateways[vm] = gateway;
  }

  /** Waits until every gateway is ready and lists the addresses of all VMs. */
  async ready(): Promise<void> {
    for (let vm = 0; vm < this.vms; vm += 1) {
      await waitUntil(`vm ${vm}`, async () => {
        const { body } = await call('GET', `${this.callers(vm)}/v1/addresses`);
        const { status } = await call('GET', `${this.callers(vm)}/readyz`);
        return status === 200 && (body as { addresses: string[] }).addresses.length === this.vms;
      });
    }
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    await Promise.all(this.gateways.map((gateway) => gateway.close()));
    await Promise.all(this.schedulers.map((scheduler) => scheduler.close()));
    await Promise.all(this.engines.map((engine) => engine.stop()));
    await Promise.all(this.plainRunners.map((runner) => runner.stop()));
    await this.platform.stop();
    await this.#prefix?.release();
  }

  async #engine(id: string, number: number): Promise<EngineServer> {
    const figures = { ...fastFigures, ...this.#options.figures };
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
