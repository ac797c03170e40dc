/** Reads the answer of a run that another gateway processes. */

import type { ServerResponse } from 'node:http';

import { z } from 'zod';

import { END_OF_EVENTS, openStream, readEvents } from '../../utils/events';
import type { Sink } from './sink';

/** Path prefix under which gateways stream runs to each other. */
export const RELAY_PATH = '/internal/streams/';

/** How reading ended: `whole` after the complete answer, `broken` at any point before. */
export type RelayResult = 'whole' | 'broken';

const tokenSchema = z.object({
  offset: z.int(),
  choices: z.tuple([z.object({ text: z.string() })]),
});

/** Timeout until the first token of the other gateway, in milliseconds. */
const FIRST_TOKEN_TIMEOUT_MS = 1000;
/** Reading is aborted if no token arrives for this time, in milliseconds. */
const IDLE_TIMEOUT_MS = 5000;

/** Reads runs of other gateways over HTTP. */
export class RelayClient {
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  /**
   * Forwards the answer to the sink. Does not throw: errors and timeouts give
   * `broken`, and the sink keeps the tokens it received before.
   */
  async read(gateway: string, id: string, sink: Sink, res: ServerResponse): Promise<RelayResult> {
    const controller = new AbortController();
    res.on('close', () => controller.abort());
    // A suspended gateway accepts the connection but sends nothing; the timeout ends the wait.
    let idleTimer = setTimeout(() => controller.abort(), FIRST_TOKEN_TIMEOUT_MS);
    try {
      const url = `http://${gateway}${RELAY_PATH}${encodeURIComponent(id)}`;
      const headers = { authorization: `Bearer ${this.#key}` };
      const stream = await openStream({ method: 'GET', url, headers, signal: controller.signal });
      if (stream.statusCode !== 200) return 'broken';
      let tokens = 0;
      for await (const line of readEvents(stream)) {
        clearTimeout(idleTimer);
        idleTimer = setTimeout(() => controller.abort(), IDLE_TIMEOUT_MS);
        if (line === END_OF_EVENTS) {
          sink.end(tokens);
          return 'whole';
        }
        const { offset, choices } = tokenSchema.parse(JSON.parse(line));
        sink.token(offset, choices[0].text);
        tokens = offset + 1;
      }
      return 'broken';
    } catch {
      return 'broken';
    } finally {
      clearTimeout(idleTimer);
    }
  }
}
