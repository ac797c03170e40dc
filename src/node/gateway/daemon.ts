/** The gateway daemon: creates, starts and stops its components. */

import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server } from 'node:http';
import { createServer } from 'node:http';
import type { Server as SocketServer } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { Logger } from 'pino';

import { codes } from '../../core/codes';
import { CallerResponse } from '../../utils/callerresponse';
import { errorBody } from '../../utils/http';
import { KeptConnections } from '../../utils/keptconnections';
import { OpenResponses } from '../../utils/responses';
import { Failure } from '../../core/failure';
import type { GatewayConfig } from '../config';
import { logOf } from '../log';
import type { Metrics } from '../metrics';
import { ProcessMetrics } from '../metrics';
import { HttpPlatform } from '../platform/client';
import { HttpRunnerClient } from '../runner/client';
import { BurnRecorder } from './burn';
import { CallerHandler } from './callers';
import { Canceller } from './canceller';
import { Fleet } from './fleet';
import { LedgerClient } from './ledger';
import { ModelHandler } from './model';
import { OperatorHandler } from './operator';
import { PlainHandler } from './plain';
import { RelayClient } from './relay';
import { SettingsEditor } from './settings';

/** Ports that a gateway listens on. */
export interface GatewayPorts {
  readonly callers: number;
  readonly operators: number;
}

/** Interval between checks whether all requests have ended, in milliseconds. */
const DRAIN_POLL_MS = 50;
/** How long idle connections of callers are kept, in milliseconds. */
const IDLE_LIMIT_MS = 5000;

function listen(server: SocketServer, host: string, port: number): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      const address = server.address();
      resolve(typeof address === 'object' && address ? address.port : port);
    });
  });
}

/** Responds to input that Node cannot parse as HTTP with a numbered error instead of a closed connection. */
function respondToMalformedInput(
  error: NodeJS.ErrnoException,
  socket: NodeJS.WritableStream & { destroy(): void; writable: boolean },
): void {
  if (!socket.writable || error.code === 'ECONNRESET') {
    socket.destroy();
    return;
  }
  const body = `${JSON.stringify(errorBody(new Failure('badRequest', `found ${error.code ?? 'malformed data'}, expected HTTP`)))}\n`;
  const head = `HTTP/1.1 ${codes.badRequest.http} Bad Request\r\ncontent-type: application/json\r\n`;
  socket.end(
    `${head}content-length: ${Buffer.byteLength(body)}\r\nconnection: close\r\n\r\n${body}`,
  );
}

/** A running gateway. */
export class Gateway {
  readonly #config: GatewayConfig;

  readonly #log: Logger;

  readonly #metrics: Metrics;

  readonly #platform: HttpPlatform;

  readonly #runners = new HttpRunnerClient();

  readonly #fleet: Fleet;

  readonly #canceller: Canceller;

  readonly #ledger: LedgerClient;

  readonly #models: ModelHandler;

  readonly #plain: PlainHandler;

  readonly #callers: Server<typeof IncomingMessage, typeof CallerResponse>;

  readonly #connections: KeptConnections;

  readonly #operators: Server;

  #phase: 'open' | 'draining' | 'leaving' = 'open';

  #port: number;

  constructor(config: GatewayConfig, log: Logger) {
    this.#config = config;
    this.#port = config.listen.port;
    this.#log = logOf(log, 'gateway');
    this.#metrics = new ProcessMetrics('gateway', config.vm, config.metrics);
    this.#platform = new HttpPlatform(config.platform);
    const address = (): string => `${config.listen.host}:${this.#port}`;
    this.#fleet = new Fleet({
      id: `${config.vm}-${randomUUID().slice(0, 8)}`,
      vm: config.vm,
      key: config.peerKey,
      localScheduler: config.scheduler,
      address,
      log: logOf(log, 'peer'),
      onMessage: (link, message) => this.#models.receive(link, message),
      onChange: () => this.#handleFleetChange(),
    });
    this.#canceller = new Canceller(this.#runners, this.#log, this.#metrics);
    this.#ledger = new LedgerClient(this.#fleet, logOf(log, 'ledger'));
    const burn = new BurnRecorder(Date.now());
    this.#models = new ModelHandler({
      fleet: this.#fleet,
      runners: this.#runners,
      canceller: this.#canceller,
      relay: new RelayClient(config.peerKey),
      address,
      bodyBytes: config.limits.bodyBytes,
      log: this.#log,
      metrics: this.#metrics,
      onOutcome: (request, outcome) => burn.recordModel(Date.now(), request, outcome),
    });
    this.#plain = new PlainHandler({
      fleet: this.#fleet,
      ledger: this.#ledger,
      domain: config.domain,
      bodyBytes: config.limits.bodyBytes,
      log: this.#log,
      metrics: this.#metrics,
      onOutcome: (team, service, code) => burn.recordPlain(Date.now(), team, service, code),
    });
    this.#callers = this.#createCallerServer(burn);
    this.#connections = new KeptConnections(this.#callers, () => IDLE_LIMIT_MS);
    this.#operators = this.#createOperatorServer();
  }

  /** Opens both ports, connects to the scheduler of this VM and returns the ports. */
  async start(): Promise<GatewayPorts> {
    const { listen: callers, operator } = this.#config;
    this.#port = await listen(this.#callers, callers.host, callers.port);
    const operators = await listen(this.#operators, operator.host, operator.port);
    this.#fleet.start();
    this.#log.info({ port: this.#port, operators }, 'Started.');
    return { callers: this.#port, operators };
  }

  /**
   * Shuts down without interrupting a request. Callers cache addresses for
   * `addressTtlMs`, so new requests are accepted until these have expired, and
   * streams run to their end.
   */
  async stop(): Promise<void> {
    if (this.#phase !== 'open') return;
    this.#phase = 'draining';
    this.#connections.leave();
    this.#log.info('Draining.');
    this.#fleet.localScheduler.send({ kind: 'draining' });
    await pause(this.#config.addressTtlMs);
    this.#phase = 'leaving';
    while (this.#models.size + this.#plain.size > 0) await pause(DRAIN_POLL_MS);
    while (this.#ledger.pending > 0) await pause(DRAIN_POLL_MS);
    await this.close();
    this.#log.info('Stopped.');
  }

  /**
   * A scheduler assumes that a gateway that connects accepts callers. After a
   * restart of the scheduler or a lost link, "draining" is therefore sent again.
   */
  #handleFleetChange(): void {
    if (this.#phase !== 'open' && this.#fleet.localScheduler.up) {
      this.#fleet.localScheduler.send({ kind: 'draining' });
    }
    this.#models.refreshOwners();
  }

  /** Stops immediately; open requests are interrupted. */
  async close(): Promise<void> {
    this.#fleet.close();
    this.#canceller.stop();
    this.#ledger.stop();
    this.#plain.close();
    this.#runners.close();
    this.#platform.close();
    this.#metrics.close();
    for (const server of [this.#callers, this.#operators]) {
      server.close();
      server.closeAllConnections();
    }
  }

  #createCallerServer(burn: BurnRecorder): Server<typeof IncomingMessage, typeof CallerResponse> {
    const { limits, peerKey, addressTtlMs } = this.#config;
    const handler = new CallerHandler({
      fleet: this.#fleet,
      models: this.#models,
      plain: this.#plain,
      burn,
      peerKey,
      addressTtlMs,
      log: this.#log,
      phase: () => this.#phase,
    });
    const answers = new OpenResponses();
    const server = createServer(
      {
        maxHeaderSize: limits.headerBytes,
        headersTimeout: limits.headerTimeoutMs,
        connectionsCheckingInterval: 1000,
        keepAliveTimeout: 0,
        ServerResponse: CallerResponse,
      },
      (req, res) => {
        answers.add(req, res);
        this.#connections
          .admit(req, res)
          .then((isAdmitted) => (isAdmitted ? handler.handle(req, res) : undefined))
          .catch((error: Error) => this.#log.error(error.message));
      },
    );
    server.maxConnections = limits.connections;
    server.on('clientError', (error, socket) => {
      if (!answers.resetOn(socket)) respondToMalformedInput(error, socket);
    });
    return server;
  }

  #createOperatorServer(): Server {
    const handler = new OperatorHandler({
      fleet: this.#fleet,
      editor: new SettingsEditor(this.#platform, () => this.#fleet.settings),
      peerKey: this.#config.peerKey,
      log: this.#log,
      status: () => ({
        vm: this.#config.vm,
        phase: this.#phase,
        digest: this.#fleet.settings.digest,
        models: this.#models.size,
        oldest: this.#models.oldest(Date.now()),
        plain: this.#plain.size,
        rss: process.memoryUsage().rss,
        cpuMs: Math.round((process.cpuUsage().user + process.cpuUsage().system) / 1000),
        metrics: this.#metrics.values,
      }),
    });
    const server = createServer((req, res) => {
      const url = new URL(req.url ?? '/', 'http://operator');
      handler.handle(req, res, url).catch((error: Error) => this.#log.error(error.message));
    });
    server.on('clientError', respondToMalformedInput);
    return server;
  }
}
