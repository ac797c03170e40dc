/** Server-sent events over Node's http. */

import type { Agent, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request } from 'node:http';

/** What to ask for. */
export interface EventRequest {
  readonly method: string;
  readonly url: string;
  readonly body?: string | undefined;
  readonly headers?: OutgoingHttpHeaders;
  readonly agent?: Agent;
  readonly signal: AbortSignal;
}

/** Data of the line that ends a whole answer. */
export const END_OF_EVENTS = '[DONE]';

const DATA = 'data: ';

/** Sends a request and gives the answer as soon as its header is there. */
export function openStream({
  method,
  url,
  body,
  headers,
  agent,
  signal,
}: EventRequest): Promise<IncomingMessage> {
  return new Promise((resolve, reject) => {
    const req = request(url, { method, headers: headers ?? {}, agent, signal }, resolve);
    req.on('error', reject);
    req.end(body);
  });
}

/** Data lines of a stream; an `event: error` ends it with that event as the error. */
export async function* readEvents(stream: IncomingMessage): AsyncGenerator<string> {
  stream.setEncoding('utf8');
  let rest = '';
  for await (const chunk of stream) {
    const events = (rest + String(chunk)).split('\n\n');
    rest = events.pop() ?? '';
    for (const event of events) {
      if (event.startsWith('event: error')) throw new Error(event);
      if (event.startsWith(DATA)) yield event.slice(DATA.length);
    }
  }
}
