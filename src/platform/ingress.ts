/** Translates between callers and the router: requests, rejections, readiness checks and address look-ups. */

import type { IncomingMessage } from 'node:http';

import { Failure } from '../core/failure';
import type {
  CallRequest,
  Continuation,
  ControlCodec,
  IngressCodec,
  Usage,
} from '../node/router/types';
import { MAX_TIMER_MS } from '../utils/clock';
import { credentialOf } from './credential';
import { connectionHeaders, header, path, routerHeaders } from './names';

/** Maximum number of addresses in one look-up response. */
const MAX_ADDRESSES = 64;
/** Maximum length of the id of a stream, in characters; longer ones name none. */
const MAX_STREAM_ID_CHARS = 200;
/** Maximum length of a prompt part's id, in characters; the rest is cut off. */
const MAX_PART_ID_CHARS = 64;
/** Decimal digits of `retry-after`, which is in seconds and may have a fraction. */
const RETRY_AFTER_DIGITS = 1;

/** Parses a non-negative number, of which more than `most` means the same; undefined for other texts. */
function numberOf(text: string | undefined, most: number): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? Math.min(value, most) : undefined;
}

/** The first value of a header. */
function firstValueOf(message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Maximum number of prompt or output tokens that a request may declare. */
const MAX_TOKENS = 1e9;

/** NaN if the text is not a valid number of tokens. */
function tokensOf(text: string): number {
  const tokens = text.trim() === '' ? NaN : Number(text);
  return tokens >= 0 && tokens <= MAX_TOKENS ? tokens : NaN;
}

/** The ids of the parts `ID:TOKENS`, in order, without empty ones. Ids are hexadecimal, so their case does not matter. */
function promptPartsOf(message: IncomingMessage): readonly string[] {
  const text = firstValueOf(message, header.promptParts) ?? '';
  return text
    .split(',')
    .map((part) => (part.split(':')[0] ?? '').trim().toLowerCase().slice(0, MAX_PART_ID_CHARS))
    .filter((id) => id !== '');
}

/**
 * Declared size of a request; undefined if the header is missing. Throws `badRequest` if it
 * is malformed: treated as missing, the request would be charged less of its customer's
 * quota than it uses.
 * @param promptId id of the last part of the prompt
 */
function usageOf(message: IncomingMessage, promptId: string | undefined): Usage | undefined {
  const text = firstValueOf(message, header.usage);
  if (text === undefined) return undefined;
  const [prompt = NaN, output = NaN, ...rest] = text.split(',').map(tokensOf);
  if (Number.isNaN(prompt + output) || rest.length > 0) {
    throw new Failure(
      'badRequest',
      `${header.usage}: found no two token counts, expected PROMPT,OUTPUT`,
    );
  }
  return {
    promptId,
    promptTokens: prompt,
    maxOutputTokens: output,
    hintTokens: numberOf(firstValueOf(message, header.lengthHint), MAX_TOKENS),
  };
}

/** What a request continues for its caller; undefined if it is a new one. */
function continuationOf(message: IncomingMessage): Continuation | undefined {
  const named = firstValueOf(message, header.resumes);
  const last = firstValueOf(message, header.lastEvent);
  // An empty header is the same as none.
  if (!named && !last) return undefined;
  const stream = named && named.length <= MAX_STREAM_ID_CHARS ? named : undefined;
  return { stream, afterEvent: last === '' ? undefined : last };
}

/**
 * Raw headers that may be forwarded: without hop-by-hop headers, those listed in `connection`,
 * and those in `dropped`.
 */
export function forwardableHeaders(
  raw: readonly string[],
  connection: string | undefined,
  dropped: ReadonlySet<string>,
): readonly string[] {
  const named = new Set((connection ?? '').split(',').map((name) => name.trim().toLowerCase()));
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = (raw[index] ?? '').toLowerCase();
    if (!connectionHeaders.has(name) && !named.has(name) && !dropped.has(name)) {
      kept.push(raw[index] ?? '', raw[index + 1] ?? '');
    }
  }
  return kept;
}

/** Headers of requests that are not forwarded to runners. */
const droppedHeaders: ReadonlySet<string> = new Set([...routerHeaders, 'content-length', 'expect']);

/** The same where requests carry API keys, which runners must not see. */
const droppedKeyedHeaders: ReadonlySet<string> = new Set([...droppedHeaders, header.authorization]);

/** Decodes requests, and builds the headers of responses that the router itself makes. */
export class PlatformIngress implements IngressCodec {
  idOf(message: IncomingMessage): string | undefined {
    return firstValueOf(message, header.requestId);
  }

  decode(message: IncomingMessage, body: Buffer, keyed: boolean): CallRequest {
    const id = this.idOf(message);
    if (id === undefined || id === '') {
      throw new Failure('badRequest', 'found no request id, expected one');
    }
    const promptParts = promptPartsOf(message);
    return {
      id,
      host: (message.headers.host ?? '').replace(/:\d+$/, ''),
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers: forwardableHeaders(
        message.rawHeaders,
        message.headers.connection,
        keyed ? droppedKeyedHeaders : droppedHeaders,
      ),
      body,
      deadlineMs: numberOf(firstValueOf(message, header.deadline), MAX_TIMER_MS),
      usage: usageOf(message, promptParts.at(-1)),
      promptParts,
      model: firstValueOf(message, header.model) ?? '',
      continues: continuationOf(message),
      credential: keyed ? credentialOf(message) : { kind: 'none' },
      customer: undefined,
    };
  }

  refusalHeaders(
    { retryAfterMs }: Failure,
    id: string | undefined,
  ): Readonly<Record<string, string>> {
    return {
      ...(id === undefined ? {} : { [header.requestId]: id }),
      ...(retryAfterMs === undefined
        ? {}
        : { [header.retryAfter]: (retryAfterMs / 1000).toFixed(RETRY_AFTER_DIGITS) }),
    };
  }
}

/** Readiness checks and address look-ups. */
export class PlatformControl implements ControlCodec {
  isReadiness(message: IncomingMessage): boolean {
    return pathOf(message) === path.readiness;
  }

  isLookup(message: IncomingMessage): boolean {
    return pathOf(message) === path.lookup;
  }

  domainOf({ url }: IncomingMessage): string {
    return new URLSearchParams((url ?? '').split('?')[1] ?? '').get('zone') ?? '';
  }

  lookupBody(addresses: readonly string[], ttlMs: number): string {
    return JSON.stringify({ addresses: addresses.slice(0, MAX_ADDRESSES), 'ttl-s': ttlMs / 1000 });
  }
}

function pathOf({ url }: IncomingMessage): string {
  return (url ?? '').split('?')[0] ?? '';
}
