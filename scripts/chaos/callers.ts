/** Simulated callers: keyed, unkeyed, disconnecting, unservable and non-idempotent requests until the run ends. */

import { setTimeout as pause } from 'node:timers/promises';

import type { Deployment } from '../../test/fakes/deployment';
import { outputText } from '../../test/fakes/engine/text';
import type { Random } from '../../test/fakes/virtual/workload';
import { call } from '../../test/fakes/http';
import type { OpenStream } from '../../test/fakes/caller';
import { openStream } from '../../test/fakes/caller';
import type { InvariantRecorder } from './invariants';

/** Concurrent callers. */
const CALLER_COUNT = 24;
/** Index of the caller whose prompts are too long to be served before their deadline. */
const UNSERVABLE_CALLER = 3;
/** Size of an unservable prompt: about 200,000 tokens. */
const UNSERVABLE_PROMPT_BYTES = 800_000;
/** Time limit for the answer to a keyed request after the last fault has ended. */
const SETTLE_MS = 30_000;
const TEAMS = ['clerks', 'lawyers', 'loan-officers'];

interface ErrorBody {
  readonly error?: { readonly code: number; readonly notRun: boolean };
}

/** Sends requests of all kinds and checks each answer against the invariants. */
export class Callers {
  /** Idempotency keys of all receipts that were sent. */
  readonly receipts = new Set<string>();

  readonly #deployment: Deployment;

  readonly #recorder: InvariantRecorder;

  readonly #random: Random;

  /** Ids of requests that were refused as not run. */
  readonly #notRun = new Set<string>();

  /** Keyed requests that are still being retried. */
  readonly #pending = new Set<Promise<void>>();

  readonly #counts: Record<string, number> = {};

  /** Receipts that were refused as not run on every attempt. */
  readonly #receiptsNotRun = new Set<string>();

  /** Attempts without a complete answer so far, by key, or by prompt for requests without a key. */
  readonly #unanswered = new Map<string, { address: string; stream: OpenStream; since: number }>();

  #reportTimer: NodeJS.Timeout | undefined;

  #sequence = 0;

  #settleDeadline = Infinity;

  constructor(deployment: Deployment, recorder: InvariantRecorder, random: Random) {
    this.#deployment = deployment;
    this.#recorder = recorder;
    this.#random = random;
  }

  /** Number of answers by kind of request and outcome, as one line of text. */
  get summary(): string {
    return `callers: ${JSON.stringify(this.#counts)}`;
  }

  /** Prints the oldest requests of the gateway and the state of all schedulers to standard error, for diagnosis. */
  async #printStatus(address: string): Promise<void> {
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

  /** Sends requests until the time `end`, in milliseconds since the epoch. */
  async run(end: number): Promise<void> {
    this.#reportTimer = setInterval(() => this.#reportUnanswered(), SETTLE_MS / 3);
    await Promise.all(Array.from({ length: CALLER_COUNT }, (_, i) => this.#runCaller(i, end)));
  }

  /** Waits until all keyed requests have ended; they stop retrying after `SETTLE_MS`. */
  async settle(): Promise<void> {
    this.#settleDeadline = Date.now() + SETTLE_MS;
    await Promise.all(this.#pending);
    clearInterval(this.#reportTimer);
  }

  /** Prints the attempts without an answer for a third of `SETTLE_MS` to standard error, for diagnosis. */
  #reportUnanswered(): void {
    for (const [key, { address, stream, since }] of this.#unanswered) {
      const age = Date.now() - since;
      if (age > SETTLE_MS / 3) {
        console.error(
          `${key} has waited for ${age} ms at ${address}: ${stream.requestId}, ${stream.offsets.length} tokens`,
        );
      }
    }
  }

  /** Checks that none of the run ids that engines executed belongs to a request refused as not run. */
  checkNotRun(ran: ReadonlySet<string>): void {
    const requests = new Set([...ran].map((runId) => runId.slice(0, runId.lastIndexOf('.'))));
    for (const id of this.#notRun) {
      this.#recorder.check(
        'notRun',
        !requests.has(id),
        () => `${id} was refused as not run, but a runner executed it`,
      );
    }
  }

  /** Receipts that were refused as not run on every attempt. */
  get neverRun(): ReadonlySet<string> {
    return this.#receiptsNotRun;
  }

  #increment(what: string): void {
    this.#counts[what] = (this.#counts[what] ?? 0) + 1;
  }

  #randomAddress(): string {
    return `http://${this.#deployment.callers(1 + Math.floor(this.#random() * this.#deployment.spec.vms))}`;
  }

  #randomToken(): string {
    return `${TEAMS[Math.floor(this.#random() * TEAMS.length)]}-token`;
  }

  async #runCaller(number: number, end: number): Promise<void> {
    while (Date.now() < end) {
      const kind = number % 4;
      if (kind === 0) await this.#sendReceipt();
      else if (kind === 1) this.#startKeyed(this.#drawKeyed());
      else if (kind === 2) await this.#sendStream(false);
      else if (number === UNSERVABLE_CALLER) await this.#sendUnservable();
      else await this.#sendStream(true);
      await pause(50 + this.#random() * 400);
    }
  }

  #drawPrompt(): string {
    this.#sequence += 1;
    return `history ${this.#sequence} `.repeat(1 + Math.floor(this.#random() * 400));
  }

  /** Sends a prompt so long that its first token cannot meet the deadline; it should be refused at once as not run. */
  async #sendUnservable(): Promise<void> {
    const prompt = this.#drawPrompt().padEnd(UNSERVABLE_PROMPT_BYTES, 'x');
    const stream = openStream(this.#randomAddress(), prompt, 200, { token: this.#randomToken() });
    await stream.ended;
    this.#checkAnswer(stream, prompt, 200, 'unservable');
  }

  /** Sends a request without a key. A fault may cut its stream, but a finished answer must be complete. */
  async #sendStream(disconnecting: boolean): Promise<void> {
    const prompt = this.#drawPrompt();
    const address = this.#randomAddress();
    const stream = openStream(address, prompt, 200, { token: this.#randomToken() });
    this.#unanswered.set(prompt, { address, stream, since: Date.now() });
    if (disconnecting) setTimeout(() => stream.close(), this.#random() * 3000);
    await stream.ended;
    this.#unanswered.delete(prompt);
    this.#checkAnswer(stream, prompt, 200, disconnecting ? 'disconnected' : 'stream');
  }

  /** Checks the answer against the invariants and returns whether it is complete. */
  #checkAnswer(stream: OpenStream, prompt: string, maxTokens: number, what: string): boolean {
    const { error } = (stream.error ?? {}) as ErrorBody;
    if (error?.notRun && stream.requestId !== '') this.#notRun.add(stream.requestId);
    this.#increment(`${what} ${stream.whole ? 'whole' : (error?.code ?? 'cut')}`);
    if (!stream.whole) return false;
    const expected = outputText(prompt, maxTokens);
    this.#recorder.check(
      'once',
      stream.text === expected,
      () =>
        `${stream.requestId}: found ${stream.text.length} characters, expected ${expected.length}`,
    );
    return true;
  }

  #drawKeyed(): { key: string; prompt: string; token: string } {
    const prompt = this.#drawPrompt();
    return { key: `key-${this.#sequence}`, prompt, token: this.#randomToken() };
  }

  #startKeyed(request: { key: string; prompt: string; token: string }): void {
    const work = this.#retryUntilComplete(request).finally(() => this.#pending.delete(work));
    this.#pending.add(work);
  }

  /** Retries with the same key, at a random gateway each time, until the answer is complete. */
  async #retryUntilComplete({
    key,
    prompt,
    token,
  }: {
    key: string;
    prompt: string;
    token: string;
  }): Promise<void> {
    const startedAt = Date.now();
    for (;;) {
      const address = this.#randomAddress();
      const stream = openStream(address, prompt, 200, { token, key });
      this.#unanswered.set(key, { address, stream, since: Date.now() });
      // One in ten attempts disconnects before its answer is complete and is retried.
      if (this.#random() < 0.1) setTimeout(() => stream.close(), this.#random() * 1000);
      await stream.ended;
      this.#unanswered.delete(key);
      if (this.#checkAnswer(stream, prompt, 200, 'keyed')) {
        this.#recorder.check('lost', true, () => '');
        return;
      }
      if (Date.now() > Math.min(this.#settleDeadline, startedAt + 10 * SETTLE_MS)) {
        this.#recorder.check(
          'lost',
          false,
          () =>
            `${key} had no complete answer for ${Date.now() - startedAt} ms; last ${JSON.stringify(stream.error)}`,
        );
        return;
      }
      await pause(100 + this.#random() * 400);
    }
  }

  /** Sends a receipt up to three times in sequence with the same key. */
  async #sendReceipt(): Promise<void> {
    this.#sequence += 1;
    const key = `receipt-${this.#sequence}`;
    this.receipts.add(key);
    let notRun = 0;
    const attemptCount = 1 + Math.floor(this.#random() * 3);
    for (let attempt = 0; attempt < attemptCount; attempt += 1) {
      const headers = { authorization: 'Bearer clerks-token', 'idempotency-key': key };
      const answer = await call(
        'POST',
        `${this.#randomAddress()}/services/registry/receipts`,
        { key },
        headers,
      ).catch(() => undefined);
      const { error } = (answer?.body ?? {}) as ErrorBody;
      this.#increment(`receipt ${answer === undefined ? 'cut' : (error?.code ?? 'done')}`);
      if (error?.notRun) notRun += 1;
    }
    if (notRun === attemptCount) this.#receiptsNotRun.add(key);
  }
}
