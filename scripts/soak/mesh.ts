/** The links of VMs: each to the store and, in small runs, each to every other one has a proxy of its own. */

import { LinkProxy } from './proxy';
import type { LinkState } from './proxy';
import type { Vm } from './vm';
import { PEER_PORT } from './vm';

/** Most VMs that have a proxy for each pair. */
const PAIRS_MOST = 8;

/** Proxies between VMs. */
export class Mesh {
  /** Each VM's link to the store. */
  readonly storeLinks: LinkProxy[] = [];

  readonly #net: string;

  readonly #vms: readonly Vm[];

  /** By the VM that connects, then by the one that is connected to. */
  readonly #pairs = new Map<Vm, Map<Vm, LinkProxy>>();

  constructor(net: string, vms: readonly Vm[]) {
    this.#net = net;
    this.#vms = vms;
  }

  /** Whether links between VMs can be cut. */
  get hasPairs(): boolean {
    return this.#pairs.size > 0;
  }

  /** Puts proxies before the store and between the VMs, which are not started yet. */
  async start(store: string): Promise<void> {
    for (const [index, vm] of this.#vms.entries()) {
      const link = new LinkProxy(store);
      const host = `${this.#net}.4.${index + 1}`;
      await link.start(host, PEER_PORT);
      this.storeLinks.push(link);
      vm.redirect(store, `${host}:${PEER_PORT}`);
    }
    if (this.#vms.length > PAIRS_MOST) return;
    for (const [from, vm] of this.#vms.entries()) {
      const links = new Map<Vm, LinkProxy>();
      this.#pairs.set(vm, links);
      for (const [to, other] of this.#vms.entries()) {
        if (other !== vm) {
          const host = `${this.#net}.${10 + from}.${to + 1}`;
          const link = new LinkProxy(other.peerAddress);
          await link.start(host, PEER_PORT);
          links.set(other, link);
          vm.redirect(other.peerAddress, `${host}:${PEER_PORT}`);
        }
      }
    }
  }

  /** Cuts a VM off from others, or in one direction only; `well` heals it. */
  cut(vm: Vm, others: readonly Vm[], mood: LinkState): void {
    for (const other of others) {
      this.#set(vm, other, mood);
      this.#set(other, vm, mood === 'forward' ? 'back' : mood);
      vm.setDatagramLoss(other.place.ip, mood !== 'well');
      // Where one direction passes, so do its datagrams.
      other.setDatagramLoss(vm.place.ip, mood !== 'well' && mood !== 'forward');
    }
  }

  /** Resets a part of the connections between a VM and the others. */
  reset(vm: Vm, random: () => number, part: number): void {
    for (const [from, links] of this.#pairs) {
      for (const [to, link] of links) if (from === vm || to === vm) link.reset(random, part);
    }
  }

  stop(): void {
    for (const link of this.storeLinks) link.stop();
    for (const links of this.#pairs.values()) for (const link of links.values()) link.stop();
  }

  #set(from: Vm, to: Vm, mood: LinkState): void {
    const link = this.#pairs.get(from)?.get(to);
    if (link) link.mood = mood;
  }
}
