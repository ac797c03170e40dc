/** Client for server-sent events over Node's http. */

import type { Agent, IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { request } from 'node:http';

import { limitResponsePieces } from './pieces';

/** A request for an event stream. */
export interface EventRequest {
  readonly method: string;
  readonly url: string;
  readonly body?: string | undefined;
  readonly headers?: OutgoingHttpHeaders;
  readonly agent?: Agent;
  readonly signal: AbortSignal;
}

/** Data of the event that marks the end of a complete stream. */
export const END_OF_EVENTS = '[DONE]';

const DATA_PREFIX = 'data: ';

/** Sends a request and resolves with the response once its headers have arrived. */
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
    limitResponsePieces(req);
    req.on('error', reject);
    req.on('upgrade', (_message, socket) => {
      socket.destroy();
      reject(new Error('found a switch of protocols, which the request did not ask for'));
    });
    req.end(body);
  });
}

/** Yields the data of each event of a stream; throws on an `event: error`, with that event as the message. */
export async function* readEvents(stream: IncomingMessage): AsyncGenerator<string> {
  stream.setEncoding('utf8');
  let pending = '';
  for await (const chunk of stream) {
    const events = (pending + String(chunk)).split('\n\n');
    pending = events.pop() ?? '';
    for (const event of events) {
      if (event.startsWith('event: error')) throw new Error(event);
      if (event.startsWith(DATA_PREFIX)) yield event.slice(DATA_PREFIX.length);
    }
  }
}
