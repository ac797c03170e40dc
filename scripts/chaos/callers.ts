/** Callers of all kinds, as long as the run lasts. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { outputText } from '../../test/fakes/engine/text';
import type { Random } from '../../test/fakes/virtual/workload';
import { call } from '../../test/fakes/http';
import type { OpenStream } from '../../test/fakes/caller';
import { openStream } from '../../test/fakes/caller';
import type { InvariantRecorder } from './invariants';

/** Callers at work at once. */
const CALLERS = 24;
/** The caller whose prompts are too long to be served in time. */
const HOPELESS_CALLER = 3;
/** Bytes of such a prompt: about 200,000 tokens. */
const HOPELESS_BYTES = 800_000;
/** Time in which a keyed request must be answered after the faults have ended, in milliseconds. */
const SETTLE_MS = 30_000;
const TEAMS = ['clerks', 'lawyers', 'loan-officers'];

interface ErrorBody {
  readonly error?: { readonly code: number; readonly notRun: boolean };
}

/** Callers and what they saw. */
export class Callers {
  /** Keys of receipts that were sent. */
  readonly receipts = new Set<string>();

  readonly #deployment: Deployment;

  readonly #ledger: InvariantRecorder;

  readonly #random: Random;

  /** Ids of requests of which a refusal said "not run". */
  readonly #notRun = new Set<string>();

  /** Keyed requests under way. */
  readonly #open = new Set<Promise<void>>();

  readonly #counts: Record<string, number> = {};

  /** Receipts whose every answer so far said "not run". */
  readonly #receiptsNotRun = new Set<string>();

  /** Attempts of keyed requests that wait for their answer. */
  readonly #waiting = new Map<string, { address: string; stream: OpenStream; since: number }>();

  #watch: NodeJS.Timeout | undefined;

  #sequence = 0;

  #settledBy = Infinity;

  constructor(deployment: Deployment, ledger: InvariantRecorder, random: Random) {
    this.#deployment = deployment;
    this.#ledger = ledger;
    this.#random = random;
  }

  get summary(): string {
    return `callers: ${JSON.stringify(this.#counts)}`;
  }

  async #tellStatus(address: string): Promise<void> {
    const headers = { authorization: `Bearer ${this.#deployment.spec.operatorToken}` };
    const { body } = await call(
      'GET',
      `${address.replace('8080', '8081')}/v1/status`,
      undefined,
      headers,
    );
    const { gateway, schedulers } = body as {
      gateway: { oldest: unknown };
      schedulers: { vm: string; detail: { cells: unknown; oldest: unknown } }[];
    };
    console.error(
      JSON.stringify([
        gateway.oldest,
        schedulers.map(({ vm, detail }) => [vm, detail?.cells, detail?.oldest]),
      ]),
    );
  }

  async run(end: number): Promise<void> {
    this.#watch = setInterval(() => this.#tellWaiting(), SETTLE_MS / 3);
    await Promise.all(Array.from({ length: CALLERS }, (_, i) => this.#caller(i, end)));
  }

  /** Lets keyed requests come to their end. */
  async settle(): Promise<void> {
    this.#settledBy = Date.now() + SETTLE_MS;
    await Promise.all(this.#open);
    clearInterval(this.#watch);
  }

  /** Tells on standard error what has been waiting for long, to find the cause. */
  #tellWaiting(): void {
    for (const [key, { address, stream, since }] of this.#waiting) {
      const age = Date.now() - since;
      if (age > SETTLE_MS / 3) {
        console.error(
          `${key} waits for ${age} ms at ${address}: ${stream.requestId}, ${stream.offsets.length} tokens`,
        );
      }
    }
  }

  checkNotRun(ran: ReadonlySet<string>): void {
    const requests = new Set([...ran].map((runId) => runId.slice(0, runId.lastIndexOf('.'))));
    for (const id of this.#notRun) {
      this.#ledger.check(
        'notRun',
        !requests.has(id),
        () => `${id} was refused as not run, but a runner had it`,
      );
    }
  }

  /** Receipts whose caller was only ever told "not run". */
  get neverRun(): ReadonlySet<string> {
    return this.#receiptsNotRun;
  }

  #count(what: string): void {
    this.#counts[what] = (this.#counts[what] ?? 0) + 1;
  }

  #address(): string {
    return `http://${this.#deployment.callers(1 + Math.floor(this.#random() * this.#deployment.spec.vms))}`;
  }

  #token(): string {
    return `${TEAMS[Math.floor(this.#random() * TEAMS.length)]}-token`;
  }

  async #caller(number: number, end: number): Promise<void> {
    while (Date.now() < end) {
      const kind = number % 4;
      if (kind === 0) await this.#receipt();
      else if (kind === 1) this.#keyed(this.#newKeyed());
      else if (kind === 2) await this.#stream(false);
      else if (number === HOPELESS_CALLER) await this.#hopeless();
      else await this.#stream(true);
      await pause(50 + this.#random() * 400);
    }
  }

  #prompt(): string {
    this.#sequence += 1;
    return `history ${this.#sequence} `.repeat(1 + Math.floor(this.#random() * 400));
  }

  /** A prompt so long that no first token can be in time: refused at once as not run. */
  async #hopeless(): Promise<void> {
    const prompt = this.#prompt().padEnd(HOPELESS_BYTES, 'x');
    const stream = openStream(this.#address(), prompt, 200, { token: this.#token() });
    await stream.ended;
    this.#judge(stream, prompt, 200, 'hopeless');
  }

  /** A request without a key; it may be cut by a fault, but what ends must be whole. */
  async #stream(hangsUp: boolean): Promise<void> {
    const prompt = this.#prompt();
    const address = this.#address();
    const stream = openStream(address, prompt, 200, { token: this.#token() });
    this.#waiting.set(prompt, { address, stream, since: Date.now() });
    if (hangsUp) setTimeout(() => stream.close(), this.#random() * 3000);
    await stream.ended;
    this.#waiting.delete(prompt);
    this.#judge(stream, prompt, 200, hangsUp ? 'hung up' : 'stream');
  }

  /** True if the answer is whole. */
  #judge(stream: OpenStream, prompt: string, maxTokens: number, what: string): boolean {
    const { error } = (stream.error ?? {}) as ErrorBody;
    if (error?.notRun && stream.requestId !== '') this.#notRun.add(stream.requestId);
    this.#count(`${what} ${stream.whole ? 'whole' : (error?.code ?? 'cut')}`);
    if (!stream.whole) return false;
    const expected = outputText(prompt, maxTokens);
    this.#ledger.check(
      'once',
      stream.text === expected,
      () =>
        `${stream.requestId}: found ${stream.text.length} characters, expected ${expected.length}`,
    );
    return true;
  }

  #newKeyed(): { key: string; prompt: string; token: string } {
    const prompt = this.#prompt();
    return { key: `key-${this.#sequence}`, prompt, token: this.#token() };
  }

  #keyed(request: { key: string; prompt: string; token: string }): void {
    const work = this.#untilWhole(request).finally(() => this.#open.delete(work));
    this.#open.add(work);
  }

  /** Asks again with the same key, at any gateway, until the answer is whole. */
  async #untilWhole({
    key,
    prompt,
    token,
  }: {
    key: string;
    prompt: string;
    token: string;
  }): Promise<void> {
    const began = Date.now();
    for (;;) {
      const address = this.#address();
      const stream = openStream(address, prompt, 200, { token, key });
      this.#waiting.set(key, { address, stream, since: Date.now() });
      // Some callers lose patience in mid-answer and come again.
      if (this.#random() < 0.1) setTimeout(() => stream.close(), this.#random() * 1000);
      await stream.ended;
      this.#waiting.delete(key);
      if (this.#judge(stream, prompt, 200, 'keyed')) {
        this.#ledger.check('lost', true, () => '');
        return;
      }
      if (Date.now() > Math.min(this.#settledBy, began + 10 * SETTLE_MS)) {
        this.#ledger.check(
          'lost',
          false,
          () =>
            `${key} without answer for ${Date.now() - began} ms; last ${JSON.stringify(stream.error)}`,
        );
        return;
      }
      await pause(100 + this.#random() * 400);
    }
  }

  /** A receipt, sent several times at once or one after another with the same key. */
  async #receipt(): Promise<void> {
    this.#sequence += 1;
    const key = `receipt-${this.#sequence}`;
    this.receipts.add(key);
    let notRun = 0;
    const tries = 1 + Math.floor(this.#random() * 3);
    for (let attempt = 0; attempt < tries; attempt += 1) {
      const headers = { authorization: 'Bearer clerks-token', 'idempotency-key': key };
      const answer = await call(
        'POST',
        `${this.#address()}/services/registry/receipts`,
        { key },
        headers,
      ).catch(() => undefined);
      const { error } = (answer?.body ?? {}) as ErrorBody;
      this.#count(`receipt ${answer === undefined ? 'cut' : (error?.code ?? 'done')}`);
      if (error?.notRun) notRun += 1;
    }
    if (notRun === tries) this.#receiptsNotRun.add(key);
  }
}
