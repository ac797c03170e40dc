/** Client that sends completion requests to a gateway and collects the responses. */

import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';

import { tokens } from './cluster';
import { call } from './http';

/** Options of a completion request. */
export interface CompletionOptions {
  /** Idempotency key. Default: none. */
  readonly key?: string;
  /** Bearer token. Default: the token of customer `clerks`. */
  readonly token?: string;
  /** Model service. Default: `deeds`. */
  readonly model?: string;
}

function headersOf({ key, token = tokens.clerks }: CompletionOptions): Record<string, string> {
  return {
    authorization: `Bearer ${token}`,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  };
}

/** Sends a non-streaming completion request; `text` is undefined if the response has no choices. */
export async function requestCompletion(
  gateway: string,
  prompt: string,
  maxTokens: number,
  options: CompletionOptions = {},
): Promise<{ status: number; text: string | undefined; body: unknown }> {
  const body = { model: options.model ?? 'deeds', prompt, max_tokens: maxTokens };
  const answer = await call('POST', `${gateway}/v1/completions`, body, headersOf(options));
  const text = (answer.body as { choices?: { text: string }[] }).choices?.[0]?.text;
  return { status: answer.status, text, body: answer.body };
}

/** A streaming response that is being received. */
export interface OpenStream {
  /** Offsets of the events received, in order. */
  readonly offsets: number[];
  /** Text received so far. */
  text: string;
  /** Completion id in the latest event. */
  id: string;
  /** Request id from the response header, which refusals carry as well. */
  requestId: string;
  /** Whether the `[DONE]` event was received. */
  whole: boolean;
  /** Body of the error event, or of a response whose status is not 200. */
  error: unknown;
  /** HTTP status; 0 before the response headers. */
  status: number;
  /** Resolves when the response has ended or failed. */
  readonly ended: Promise<void>;
  /** Closes the connection. */
  close(): void;
}

function readEvent(stream: OpenStream, event: string): void {
  if (event === 'data: [DONE]') {
    Object.assign(stream, { whole: true });
  } else if (event.startsWith('event: error')) {
    Object.assign(stream, { error: JSON.parse(event.slice(event.indexOf('data: ') + 6)) });
  } else {
    const { id, offset, choices } = JSON.parse(event.slice('data: '.length)) as {
      id: string;
      offset: number;
      choices: [{ text: string }];
    };
    stream.offsets.push(offset);
    Object.assign(stream, { id, text: stream.text + choices[0].text });
  }
}

async function readAll(stream: OpenStream, res: IncomingMessage): Promise<void> {
  const requestId = String(res.headers['goldcrestdock-request'] ?? '');
  Object.assign(stream, { status: res.statusCode ?? 0, requestId });
  res.setEncoding('utf8');
  let rest = '';
  for await (const chunk of res) {
    const events = (rest + String(chunk)).split('\n\n');
    rest = events.pop() ?? '';
    for (const event of events) readEvent(stream, event);
  }
  if (stream.status !== 200) Object.assign(stream, { error: JSON.parse(rest) });
}

/** Sends a streaming completion request. */
export function openStream(
  gateway: string,
  prompt: string,
  maxTokens: number,
  options: CompletionOptions = {},
): OpenStream {
  const req = request(`${gateway}/v1/completions`, {
    method: 'POST',
    headers: headersOf(options),
    agent: false,
  });
  let end = (): void => {};
  const stream: OpenStream = {
    offsets: [],
    text: '',
    id: '',
    requestId: '',
    whole: false,
    error: undefined,
    status: 0,
    ended: new Promise((resolve) => {
      end = resolve;
    }),
    close: () => req.destroy(),
  };
  req.on('response', (res) => {
    readAll(stream, res)
      .catch(() => {})
      .finally(end);
  });
  req.on('error', end);
  req.end(
    JSON.stringify({
      model: options.model ?? 'deeds',
      prompt,
      max_tokens: maxTokens,
      stream: true,
    }),
  );
  return stream;
}
