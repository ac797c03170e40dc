/** Decides whether the answers of plain runners are complete, and whether they are refusals. */

import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import { confirmListening, connected, TcpDialer } from '../../utils/dialer';
import { framingOf, isStatus, readBody } from '../../utils/http';

/** An answer of a plain runner. */
export interface RunnerAnswer {
  readonly answer: IncomingMessage;
  /** Method of the call. */
  readonly method: string;
  /** Base URL of the runner. */
  readonly url: string;
  /** The whole body if it was read. */
  readonly body?: Buffer;
}

/** What an answer shows about its call. */
export type AnswerVerdict =
  | { readonly kind: 'answered'; readonly body?: Buffer }
  | { readonly kind: 'refused'; readonly leaving: true }
  | { readonly kind: 'lost'; readonly error: Error; readonly isBrokenOff: true };

const HTTP_UNAVAILABLE = 503;
/** Largest body of a refusal, in bytes. */
const MAX_REFUSAL_BYTES = 256 * 1024;
/** Time that a runner has to accept a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1000;

/** The error of an answer whose status is none; undefined if it is one. */
export function statusErrorOf({ statusCode = 0 }: IncomingMessage): Error | undefined {
  if (isStatus(statusCode)) return undefined;
  return new Error(`found status ${statusCode}, expected one from 100 to 599`);
}

/**
 * Whether an answer is complete whose body has arrived without an error. A process that is killed
 * closes its connections as one that has sent everything; if nothing else marks the end, its runner
 * must go on accepting connections.
 */
export async function isWholeAnswer({ answer, method, url }: RunnerAnswer): Promise<boolean> {
  if (framingOf(answer, method) !== 'close') return true;
  const { hostname, port } = new URL(url);
  const dialer = new TcpDialer();
  const open = async (): Promise<Socket> => {
    const socket = dialer.dial(`${hostname}:${port || '80'}`);
    await connected(socket, CONNECT_TIMEOUT_MS).catch((error: Error) => {
      socket.destroy();
      throw error;
    });
    return socket;
  };
  return confirmListening(open).then(
    () => true,
    () => false,
  );
}

/** Reads an answer that may be a refusal: a whole one says whether the call ran, and a part says nothing. */
export async function verdictOf(received: RunnerAnswer): Promise<AnswerVerdict> {
  const { answer } = received;
  const isJson = answer.headers['content-type'] === 'application/json';
  if (answer.statusCode !== HTTP_UNAVAILABLE || !isJson) return { kind: 'answered' };
  try {
    const body = await readBody(answer, MAX_REFUSAL_BYTES);
    if (!(await isWholeAnswer(received))) throw new Error('the runner was lost within its answer');
    return statesNotRun(body) ? { kind: 'refused', leaving: true } : { kind: 'answered', body };
  } catch (error) {
    return { kind: 'lost', error: error as Error, isBrokenOff: true };
  }
}

/** Whether a body states that the call did not run; without it, the call may have run. */
function statesNotRun(body: Buffer): boolean {
  try {
    return (JSON.parse(body.toString()) as { not_run?: boolean }).not_run === true;
  } catch {
    return false;
  }
}
