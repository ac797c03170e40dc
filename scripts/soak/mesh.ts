/** The network links of VMs: one proxy per VM to the store and, in small runs, one per ordered pair of VMs. */

import { LinkProxy } from './proxy';
import type { LinkState } from './proxy';
import type { Vm } from './vm';
import { PEER_PORT } from './vm';

/** Number of VMs up to which each pair has proxies. */
const MAX_VMS_WITH_LINKS = 8;

/** Proxies between VMs, and from VMs to the store. */
export class Mesh {
  /** Link of each VM to the store, in the order of the VMs. */
  readonly storeLinks: LinkProxy[] = [];

  readonly #networkPrefix: string;

  readonly #vms: readonly Vm[];

  /** Links by the connecting VM, then by the VM connected to. */
  readonly #links = new Map<Vm, Map<Vm, LinkProxy>>();

  constructor(net: string, vms: readonly Vm[]) {
    this.#networkPrefix = net;
    this.#vms = vms;
  }

  /** Whether links between VMs can be cut. */
  get hasPairs(): boolean {
    return this.#links.size > 0;
  }

  /** Starts the proxies and redirects the VMs' connections to them; call before the VMs start. */
  async start(store: string): Promise<void> {
    for (const [index, vm] of this.#vms.entries()) {
      const link = new LinkProxy(store);
      const host = `${this.#networkPrefix}.4.${index + 1}`;
      await link.start(host, PEER_PORT);
      this.storeLinks.push(link);
      vm.redirect(store, `${host}:${PEER_PORT}`);
    }
    if (this.#vms.length > MAX_VMS_WITH_LINKS) return;
    for (const [from, vm] of this.#vms.entries()) {
      const links = new Map<Vm, LinkProxy>();
      this.#links.set(vm, links);
      for (const [to, other] of this.#vms.entries()) {
        if (other !== vm) {
          const host = `${this.#networkPrefix}.${10 + from}.${to + 1}`;
          const link = new LinkProxy(other.peerAddress);
          await link.start(host, PEER_PORT);
          links.set(other, link);
          vm.redirect(other.peerAddress, `${host}:${PEER_PORT}`);
        }
      }
    }
  }

  /** Partitions a VM from others, in both directions or in one; `well` ends the partition. */
  cut(vm: Vm, others: readonly Vm[], state: LinkState): void {
    for (const other of others) {
      this.#set(vm, other, state);
      this.#set(other, vm, state === 'forward' ? 'back' : state);
      vm.setDatagramLoss(other.options.ip, state !== 'well');
      // Datagrams: `forward` drops only those of the VM, `silent` and `back` those of both sides.
      other.setDatagramLoss(vm.options.ip, state !== 'well' && state !== 'forward');
    }
  }

  /** Resets connections between a VM and the others, each with the given probability. */
  reset(vm: Vm, random: () => number, probability: number): void {
    for (const [from, links] of this.#links) {
      for (const [to, link] of links) if (from === vm || to === vm) link.reset(random, probability);
    }
  }

  /** Stops all proxies. */
  stop(): void {
    for (const link of this.storeLinks) link.stop();
    for (const links of this.#links.values()) for (const link of links.values()) link.stop();
  }

  #set(from: Vm, to: Vm, state: LinkState): void {
    const link = this.#links.get(from)?.get(to);
    if (link) link.state = state;
  }
}
