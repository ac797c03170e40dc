/** A caller: sends model requests and keeps what comes back. */

import type { IncomingMessage } from 'node:http';
import { request } from 'node:http';

import { tokens } from './cluster';
import { call } from './http';

/** How to ask. */
export interface CompletionOptions {
  /** Default: none. */
  readonly key?: string;
  /** Default: the clerks'. */
  readonly token?: string;
  /** Default: `deeds`. */
  readonly model?: string;
}

function headersOf({ key, token = tokens.clerks }: CompletionOptions): Record<string, string> {
  return {
    authorization: `Bearer ${token}`,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  };
}

/** Asks for a whole answer. */
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

/** A stream being read. */
export interface OpenStream {
  readonly offsets: number[];
  /** Text so far. */
  text: string;
  id: string;
  /** Id in the answer's header, of refusals too. */
  requestId: string;
  /** Whether the end mark came. */
  whole: boolean;
  error: unknown;
  status: number;
  readonly ended: Promise<void>;
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

/** Opens a stream. */
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
