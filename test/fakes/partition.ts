/** Partitions of VMs from runners: every connection of a VM to a runner goes through a proxy that can be cut. */

import { once } from 'node:events';
import type { AddressInfo, Server } from 'node:net';
import { Socket, connect, createServer } from 'node:net';

import type { Dialer } from '../../src/utils/dialer';

/**
 * What becomes of connections in a partition. `hang`: neither open nor new ones get through;
 * `reset`: open ones are reset, and new ones refused; `live`: open ones go on, and new ones are
 * refused; `silence`: as `hang`, and all go on once it is healed, new ones as well.
 */
export type Cut = 'hang' | 'reset' | 'live' | 'silence';

/** Connections of one VM to all runners. */
class Paths implements Dialer {
  #cut: Cut | undefined;

  /** Whether an address is still reached while others are cut. */
  #isReached: (address: string) => boolean = () => false;

  readonly #proxies = new Map<string, Promise<Server>>();

  /** Open connections, each with the address of its runner. */
  readonly #pairs = new Map<readonly [Socket, Socket], string>();

  /** Connections that were begun in a silence. */
  readonly #held = new Map<Socket, string>();

  /** Connections that were begun. */
  dialCount = 0;

  /** How long connections took to be established, in milliseconds. */
  readonly connectMs: number[] = [];

  dial(address: string): Socket {
    this.dialCount += 1;
    // Node holds back what is written to a socket until it is connected.
    const socket = Object.assign(new Socket(), { connecting: true });
    socket.setNoDelay(true);
    const cut = this.#isReached(address) ? undefined : this.#cut;
    if (cut === 'hang') return socket;
    if (cut === 'silence') {
      this.#held.set(socket, address);
      return socket;
    }
    if (cut !== undefined) {
      const refused = Object.assign(new Error('connect ECONNREFUSED'), { code: 'ECONNREFUSED' });
      setImmediate(() => socket.destroy(refused));
      return socket;
    }
    this.#connect(socket, address);
    return socket;
  }

  #connect(socket: Socket, address: string): void {
    const dialedAt = performance.now();
    socket.once('connect', () => this.connectMs.push(performance.now() - dialedAt));
    this.#proxyOf(address)
      .then((server) => {
        if (!socket.destroyed) socket.connect((server.address() as AddressInfo).port, '127.0.0.1');
      })
      .catch((error: Error) => socket.destroy(error));
  }

  cut(cut: Cut, isReached: (address: string) => boolean): void {
    this.#cut = cut;
    this.#isReached = isReached;
    if (cut === 'live') return;
    for (const [[caller, runner], address] of this.#pairs) {
      if (!isReached(address)) {
        if (cut === 'reset') caller.resetAndDestroy();
        caller.unpipe(runner);
        runner.unpipe(caller);
        caller.pause();
        runner.pause();
      }
    }
  }

  heal(): void {
    const wasHeld = this.#cut !== undefined && this.#cut !== 'live';
    this.#cut = undefined;
    for (const [pair, address] of this.#pairs) {
      const [caller, runner] = pair;
      if (caller.destroyed) runner.resetAndDestroy();
      // Connections that went on would pass on all bytes twice.
      else if (wasHeld && !this.#isReached(address)) this.#join(pair);
    }
    for (const [socket, address] of this.#held) {
      if (!socket.destroyed) this.#connect(socket, address);
    }
    this.#held.clear();
  }

  async stop(): Promise<void> {
    for (const socket of [...this.#pairs.keys()].flat()) socket.destroy();
    for (const server of await Promise.all(this.#proxies.values())) server.close();
  }

  #proxyOf(address: string): Promise<Server> {
    const known = this.#proxies.get(address);
    if (known) return known;
    const [host, port] = address.split(':');
    const server = createServer((caller) => {
      const runner = connect({ host, port: Number(port), noDelay: true });
      caller.setNoDelay(true);
      if (this.#cut === undefined || this.#isReached(address)) this.#add([caller, runner], address);
      else caller.resetAndDestroy();
    });
    const listening = once(server.listen(0, '127.0.0.1'), 'listening').then(() => server);
    this.#proxies.set(address, listening);
    return listening;
  }

  #add(pair: readonly [Socket, Socket], address: string): void {
    const [caller, runner] = pair;
    this.#pairs.set(pair, address);
    this.#join(pair);
    const onClose = (other: Socket, hadError: boolean): void => {
      const isCut = this.#cut === 'hang' || this.#cut === 'reset' || this.#cut === 'silence';
      if (isCut && !this.#isReached(address)) return;
      if (hadError) other.resetAndDestroy();
      else other.destroySoon();
      if (caller.destroyed && runner.destroyed) this.#pairs.delete(pair);
    };
    caller.on('error', () => {});
    runner.on('error', () => {});
    // A reset that arrives together with the last bytes is emitted as `end`, but the socket has no
    // remote address after a reset.
    runner.prependOnceListener('end', () => {
      if (runner.remoteAddress === undefined) caller.resetAndDestroy();
    });
    caller.on('close', (hadError) => onClose(runner, hadError));
    runner.on('close', (hadError) => onClose(caller, hadError));
  }

  #join([caller, runner]: readonly [Socket, Socket]): void {
    caller.pipe(runner);
    runner.pipe(caller);
  }
}

/** The connections of all VMs of a deployment to its runners. */
export class Partition {
  readonly #paths = new Map<string, Paths>();

  readonly #direct: ReadonlySet<string>;

  /** @param direct VMs whose connections go through no proxy, so that runners' resets reach them as they are */
  constructor(direct: readonly string[] = []) {
    this.#direct = new Set(direct);
  }

  /** Connections to runners that all VMs began. */
  get dialCount(): number {
    return [...this.#paths.values()].reduce((sum, paths) => sum + paths.dialCount, 0);
  }

  /** How long connections to runners took to be established, in milliseconds. */
  get connectMs(): readonly number[] {
    return [...this.#paths.values()].flatMap(({ connectMs }) => connectMs);
  }

  /** Opens the connections of a VM; undefined if it opens them itself. */
  dialerOf(vm: string): Dialer | undefined {
    return this.#direct.has(vm) ? undefined : this.#pathsOf(vm);
  }

  /**
   * Partitions VMs from runners until `heal`.
   * @param isReached whether the VMs still reach an address. Default: none
   */
  cut(
    vms: readonly string[],
    cut: Cut,
    isReached: (address: string) => boolean = () => false,
  ): void {
    for (const vm of vms) this.#pathsOf(vm).cut(cut, isReached);
  }

  /** Ends the partition of all VMs. */
  heal(): void {
    for (const paths of this.#paths.values()) paths.heal();
  }

  async stop(): Promise<void> {
    await Promise.all([...this.#paths.values()].map((paths) => paths.stop()));
  }

  #pathsOf(vm: string): Paths {
    const paths = this.#paths.get(vm) ?? new Paths();
    this.#paths.set(vm, paths);
    return paths;
  }
}
