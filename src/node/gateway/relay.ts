/** Reads an answer from another gateway that works on the same request. */

import type { ServerResponse } from 'node:http';

import { z } from 'zod';

import { END_OF_EVENTS, openStream, readEvents } from '../../utils/events';
import type { Sink } from './sink';

/** Path under which gateways let each other read a run. */
export const RELAY_PATH = '/internal/streams/';

/** How reading ended: with the whole answer, or broken off anywhere before. */
export type RelayResult = 'whole' | 'broken';

const tokenSchema = z.object({
  offset: z.int(),
  choices: z.tuple([z.object({ text: z.string() })]),
});

/** Time in which the other gateway must begin to answer, in milliseconds. */
const BEGIN_LIMIT_MS = 1000;
/** Time without any token after which the other gateway is given up, in milliseconds. */
const SILENCE_LIMIT_MS = 5000;

/** Reads runs of other gateways over HTTP. */
export class RelayClient {
  readonly #key: string;

  constructor(key: string) {
    this.#key = key;
  }

  /** Feeds the sink until the end. What it was fed before a break stays with it. */
  async read(gateway: string, id: string, sink: Sink, res: ServerResponse): Promise<RelayResult> {
    const stop = new AbortController();
    res.on('close', () => stop.abort());
    // A frozen gateway accepts the connection and says nothing: the reader must not wait with it.
    let silence = setTimeout(() => stop.abort(), BEGIN_LIMIT_MS);
    try {
      const url = `http://${gateway}${RELAY_PATH}${encodeURIComponent(id)}`;
      const headers = { authorization: `Bearer ${this.#key}` };
      const stream = await openStream({ method: 'GET', url, headers, signal: stop.signal });
      if (stream.statusCode !== 200) return 'broken';
      let tokens = 0;
      for await (const line of readEvents(stream)) {
        clearTimeout(silence);
        silence = setTimeout(() => stop.abort(), SILENCE_LIMIT_MS);
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
      clearTimeout(silence);
    }
  }
}
