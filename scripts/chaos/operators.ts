/** Operators who write the same settings at the same time, and check what is in force. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { call } from '../../test/fakes/http';
import type { Random } from '../../test/fakes/virtual/workload';
import type { InvariantRecorder } from './invariants';

const DOCUMENT = 'teams/clerks';
const PATH = `${DOCUMENT}/services/deeds/totalMs`;
const HEADERS = { authorization: 'Bearer clerks-token' };
/** Time in which the newest accepted settings must be in force after the faults have ended, in milliseconds. */
const IN_FORCE_MS = 10_000;

interface Read {
  readonly revision: number;
  readonly text: string;
}

/** Operators and what they were told. */
export class Operators {
  readonly #deployment: Deployment;

  readonly #ledger: InvariantRecorder;

  readonly #random: Random;

  /** Value by accepted revision. */
  readonly #accepted = new Map<number, string>();

  #value = 100_000;

  constructor(deployment: Deployment, ledger: InvariantRecorder, random: Random) {
    this.#deployment = deployment;
    this.#ledger = ledger;
    this.#random = random;
  }

  async run(end: number): Promise<void> {
    await Promise.all([1, 2].map(() => this.#operator(end)));
  }

  /** All VMs must have the newest accepted revision, or a later one, in force. */
  async check(): Promise<void> {
    const newest = Math.max(0, ...this.#accepted.keys());
    for (let vm = 1; vm <= this.#deployment.spec.vms; vm += 1) {
      const until = Date.now() + IN_FORCE_MS;
      let read = await this.#read(vm);
      while ((read?.revision ?? 0) < newest && Date.now() < until) {
        await pause(100);
        read = await this.#read(vm);
      }
      const value = this.#accepted.get(read?.revision ?? 0);
      const held =
        read !== undefined &&
        read.revision >= newest &&
        (value === undefined || read.text.includes(`"totalMs": ${value}`));
      this.#ledger.check(
        'settings',
        held,
        () => `vm ${vm} has ${JSON.stringify(read)}, accepted was ${newest}`,
      );
    }
  }

  async #read(vm: number): Promise<Read | undefined> {
    const url = `http://${this.#deployment.operators(vm)}/v1/settings/${DOCUMENT}`;
    const answer = await call('GET', url, undefined, HEADERS).catch(() => undefined);
    return answer?.status === 200 ? (answer.body as Read) : undefined;
  }

  async #operator(end: number): Promise<void> {
    while (Date.now() < end) {
      await this.#write().catch(() => {});
      await pause(200 + this.#random() * 500);
    }
  }

  async #write(): Promise<void> {
    const vm = 1 + Math.floor(this.#random() * this.#deployment.spec.vms);
    const read = await this.#read(vm);
    if (!read) return;
    this.#value += 1;
    const value = String(this.#value);
    const url = `http://${this.#deployment.operators(vm)}/v1/settings/${PATH}`;
    const answer = await call('PUT', url, value, { ...HEADERS, 'if-match': String(read.revision) });
    if (answer.status !== 200) return;
    const { revision } = answer.body as Read;
    const other = this.#accepted.get(revision);
    this.#ledger.check(
      'settings',
      other === undefined,
      () => `revision ${revision} was accepted as ${other} and as ${value}`,
    );
    this.#accepted.set(revision, value);
  }
}
