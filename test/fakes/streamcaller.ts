/** Callers of streams that may be resumed: each takes its stream up again, at any VM, until it is complete. */

import { randomUUID } from 'node:crypto';
import { request } from 'node:http';

import { LONG_PATH } from './routers';

/** An event as a caller received it. */
export interface StreamEvent {
  readonly id: string;
  /** Software version of the runner that made it. */
  readonly version: string;
}

/** How one attempt of a caller ended. */
export interface StreamAttempt {
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  readonly retryAfter: string | undefined;
  /** Whether the answer was received completely. */
  readonly whole: boolean;
  /** Number of events that it brought. */
  readonly events: number;
  readonly ms: number;
}

/** Time that a caller waits for one attempt, in milliseconds. */
const DEADLINE_MS = 25_000;

/** Events of the complete part of a stream. */
function eventsOf(text: string): readonly StreamEvent[] {
  return text
    .split('\n\n')
    .slice(0, -1)
    .map((event) => {
      const [, id = '', version = ''] = /^id: (\S+)\ndata: (\S+)$/.exec(event) ?? [];
      return { id, version };
    });
}

/** One caller and the stream that it holds. */
export class StreamCaller {
  readonly events: StreamEvent[] = [];

  /** Id of the attempt that brought the first event. */
  #firstAttempt: string | undefined;

  readonly #path: string;

  constructor(name: string) {
    this.#path = `${LONG_PATH}${name}`;
  }

  /** The software versions whose events it holds. */
  get versions(): readonly string[] {
    return [...new Set(this.events.map(({ version }) => version))];
  }

  /** Whether its events are numbered from one without a gap. */
  get isInOrder(): boolean {
    return this.events.every(({ id }, index) => id === String(index + 1));
  }

  /**
   * Asks a VM for the stream, or for the rest of it.
   * @param leaveAfter number of events after which it leaves. Default: it does not
   */
  async ask(
    address: string,
    { leaveAfter = Infinity, headers = this.#resumeHeaders }: AskOptions = {},
  ): Promise<StreamAttempt> {
    const id = randomUUID();
    const heldBefore = this.events.length;
    const startedAt = performance.now();
    const { status, retryAfter, whole } = await this.#exchange(address, id, headers, (text) => {
      const events = eventsOf(text);
      this.events.splice(heldBefore, Infinity, ...events);
      if (events.length > 0) this.#firstAttempt ??= id;
      return events.length >= leaveAfter;
    });
    const events = this.events.length - heldBefore;
    return { status, retryAfter, whole, events, ms: performance.now() - startedAt };
  }

  get #resumeHeaders(): Readonly<Record<string, string>> {
    const last = this.events.at(-1)?.id;
    if (last === undefined || this.#firstAttempt === undefined) return {};
    return { resumes: this.#firstAttempt, 'last-event-id': last };
  }

  /** @param onText called with all that was received so far; the caller leaves if it returns true */
  #exchange(
    address: string,
    id: string,
    headers: Readonly<Record<string, string>>,
    onText: (text: string) => boolean,
  ): Promise<Pick<StreamAttempt, 'status' | 'retryAfter' | 'whole'>> {
    const [host = '', port = ''] = address.split(':');
    return new Promise((resolve) => {
      const req = request({
        host,
        port,
        path: this.#path,
        method: 'POST',
        agent: false,
        headers: {
          host: 'h.example',
          'request-id': id,
          'request-deadline-ms': String(DEADLINE_MS),
          'token-usage': '100,50',
          'prompt-prefix': `${this.#path}:100`,
          connection: 'close',
          ...headers,
        },
      });
      req.on('response', (res) => {
        const { statusCode: status = 0 } = res;
        const retryAfter = res.headers['retry-after'];
        const end = (whole: boolean): void => resolve({ status, retryAfter, whole });
        let text = '';
        res.setEncoding('utf8');
        res.on('data', (chunk: string) => {
          text += chunk;
          if (status !== 200 || !onText(text)) return;
          req.destroy();
          end(false);
        });
        res.on('end', () => end(res.complete));
        res.on('error', () => end(false));
      });
      req.on('error', () => resolve({ status: 0, retryAfter: undefined, whole: false }));
      req.end(this.#path);
    });
  }
}

/** Options of one attempt. */
interface AskOptions {
  readonly leaveAfter?: number;
  /** Headers by which it says what it continues. Default: those of the stream that it holds. */
  readonly headers?: Readonly<Record<string, string>>;
}
