/** Request-reply calls over a peer link, matched by sequence number. */

import { codes } from '../../core/codes';
import { Failure, toFailure } from '../../core/failure';
import type { Message } from './messages';

interface Pending {
  readonly resolve: (result: unknown) => void;
  readonly reject: (failure: Failure) => void;
  readonly timer: NodeJS.Timeout;
}

/** Calls on one link that wait for their reply. */
export class PendingCalls {
  readonly #pending = new Map<number, Pending>();

  #seq = 0;

  /** Sends a call. Rejects with the failure in the reply, or with `noOwner` after `limitMs` milliseconds or when the link is lost. */
  start(
    send: (message: Message<'call'>) => void,
    method: string,
    params: unknown,
    limitMs: number,
  ): Promise<unknown> {
    this.#seq += 1;
    const seq = this.#seq;
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.#pending.delete(seq);
        reject(new Failure('noOwner', `${method}: no answer within ${limitMs} ms`));
      }, limitMs);
      this.#pending.set(seq, { resolve, reject, timer });
      send({ kind: 'call', seq, method, params });
    });
  }

  /** Settles the call that the reply belongs to; ignores replies to unknown or timed-out calls. */
  settle(reply: Message<'reply'>): void {
    const pending = this.#pending.get(reply.seq);
    if (!pending) return;
    this.#pending.delete(reply.seq);
    clearTimeout(pending.timer);
    if (reply.code === undefined) {
      pending.resolve(reply.result);
      return;
    }
    const options = reply.retryAfterMs === undefined ? {} : { retryAfterMs: reply.retryAfterMs };
    pending.reject(new Failure(reply.code, reply.detail ?? codes[reply.code].meaning, options));
  }

  /** Rejects all pending calls with `noOwner`. */
  failAll(reason: string): void {
    for (const { reject, timer } of this.#pending.values()) {
      clearTimeout(timer);
      reject(new Failure('noOwner', reason));
    }
    this.#pending.clear();
  }
}

/** Runs the handler of a call and builds the reply from its result or its error. Never rejects. */
export async function answerCall(
  { seq, method, params }: Message<'call'>,
  handle: (method: string, params: unknown) => Promise<unknown>,
): Promise<Message<'reply'>> {
  try {
    return { kind: 'reply', seq, result: await handle(method, params) };
  } catch (error) {
    const { codeName, message, retryAfterMs } = toFailure(error);
    const retry = retryAfterMs === undefined ? {} : { retryAfterMs };
    return { kind: 'reply', seq, result: null, code: codeName, detail: message, ...retry };
  }
}
