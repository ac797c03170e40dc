/** How single answers of runners end: in order, within their heads, or within a body that has no length. */

import { STATUS_CODES } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';

import type { RunnerBehaviour } from './work';

/** How a connection ends: closed in order in both directions or in that of the answer, or reset. */
export type Ending = 'close' | 'half-close' | 'reset';

/** What becomes of an answer. */
export type Fate =
  | { readonly kind: 'whole' }
  /** Has no length: the close of its connection marks its end. */
  | { readonly kind: 'unsized' }
  /** Only a part of its head is sent, from 0 to 1 of it. */
  | {
      readonly kind: 'head';
      readonly part: number;
      readonly ending: Ending;
      readonly framing: string;
    }
  /** Has no length, and its connection is closed in order within the body, as the process of the runner ends. */
  | { readonly kind: 'stop'; readonly part: number };

const endings: readonly Ending[] = ['close', 'half-close', 'reset'];
/** Headers that say how the body ends. */
const framings = ['content-length: 460', 'transfer-encoding: chunked', 'connection: close'];
/** Time after which a connection is reset, so that the bytes before are read. */
const RESET_DELAY_MS = 5;

/**
 * Draws what becomes of an answer.
 * @param unsizedRatio fraction of answers without a length
 */
export function drawFate(
  random: () => number,
  { headCutRatio, stopRatio }: Pick<RunnerBehaviour, 'headCutRatio' | 'stopRatio'>,
  unsizedRatio: number,
): Fate {
  if (random() < headCutRatio) {
    const ending = endings[Math.floor(random() * endings.length)] ?? 'close';
    const framing = framings[Math.floor(random() * framings.length)] ?? '';
    return { kind: 'head', part: random(), ending, framing };
  }
  if (random() < stopRatio) return { kind: 'stop', part: random() };
  return { kind: random() < unsizedRatio ? 'unsized' : 'whole' };
}

/** The first bytes of an answer whose head is cut; never its whole head. */
export function cutHeadOf(
  status: number,
  headers: Readonly<Record<string, string>>,
  { part, framing }: Extract<Fate, { kind: 'head' }>,
): string {
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}`);
  const first = `HTTP/1.1 ${status} ${STATUS_CODES[status]}`;
  const head = `${[first, ...lines, framing].join('\r\n')}\r\n\r\n`;
  return head.slice(0, Math.floor(part * head.length));
}

/** Sends the last bytes on a connection and ends it. */
export async function endConnection(socket: Socket, bytes: string, ending: Ending): Promise<void> {
  if (ending === 'reset') {
    socket.write(bytes);
    await pause(RESET_DELAY_MS);
    socket.resetAndDestroy();
  } else socket.end(bytes, () => ending === 'close' && socket.destroy());
}
