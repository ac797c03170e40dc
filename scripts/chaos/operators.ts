/** Operators that write the same setting concurrently, and a check of the settings in force. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { call } from '../../test/fakes/http';
import type { Random } from '../../test/fakes/virtual/workload';
import type { InvariantRecorder } from './invariants';

const DOCUMENT = 'teams/clerks';
const PATH = `${DOCUMENT}/services/deeds/totalMs`;
const HEADERS = { authorization: 'Bearer clerks-token' };
/** Time limit for the newest accepted settings to be in force on a VM after the faults have ended. */
const PROPAGATION_TIMEOUT_MS = 10_000;

interface SettingsVersion {
  readonly revision: number;
  readonly text: string;
}

/** Writes settings from two operators and records every accepted revision. */
export class Operators {
  readonly #deployment: Deployment;

  readonly #recorder: InvariantRecorder;

  readonly #random: Random;

  /** Accepted value by revision. */
  readonly #accepted = new Map<number, string>();

  #value = 100_000;

  constructor(deployment: Deployment, recorder: InvariantRecorder, random: Random) {
    this.#deployment = deployment;
    this.#recorder = recorder;
    this.#random = random;
  }

  /** Writes settings until the time `end`, in milliseconds since the epoch. */
  async run(end: number): Promise<void> {
    await Promise.all([1, 2].map(() => this.#runOperator(end)));
  }

  /** Checks that every VM has the newest accepted revision, or a later one, in force. A write whose answer was lost may have made a later one. */
  async check(): Promise<void> {
    const newest = Math.max(0, ...this.#accepted.keys());
    for (let vm = 1; vm <= this.#deployment.spec.vms; vm += 1) {
      const deadline = Date.now() + PROPAGATION_TIMEOUT_MS;
      let read = await this.#read(vm);
      while ((read?.revision ?? 0) < newest && Date.now() < deadline) {
        await pause(100);
        read = await this.#read(vm);
      }
      const value = this.#accepted.get(read?.revision ?? 0);
      const held =
        read !== undefined &&
        read.revision >= newest &&
        (value === undefined || read.text.includes(`"totalMs": ${value}`));
      this.#recorder.check(
        'settings',
        held,
        () => `VM ${vm}: found ${JSON.stringify(read)}, expected revision ${newest} or later`,
      );
    }
  }

  async #read(vm: number): Promise<SettingsVersion | undefined> {
    const url = `http://${this.#deployment.operators(vm)}/v1/settings/${DOCUMENT}`;
    const answer = await call('GET', url, undefined, HEADERS).catch(() => undefined);
    return answer?.status === 200 ? (answer.body as SettingsVersion) : undefined;
  }

  async #runOperator(end: number): Promise<void> {
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
    const { revision } = answer.body as SettingsVersion;
    const other = this.#accepted.get(revision);
    this.#recorder.check(
      'settings',
      other === undefined,
      () => `revision ${revision} was accepted with value ${other} and with value ${value}`,
    );
    this.#accepted.set(revision, value);
  }
}
