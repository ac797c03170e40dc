/** Translates between callers and the router: requests, refusals, readiness and the directory's answer. */

import type { IncomingMessage } from 'node:http';

import { Failure } from '../core/failure';
import type { CallRequest, ControlCodec, IngressCodec, Usage } from '../node/router/types';
import { credentialOf } from './credential';
import { connectionHeaders, header, path, routerHeaders } from './names';

/** Most addresses that one directory answer may hold. */
const ADDRESS_LIMIT = 64;
/** Most characters of a prompt's id that are kept. */
const PROMPT_ID_LENGTH = 64;
/** Retry-After is in seconds and may have a fraction. */
const RETRY_DIGITS = 1;

function numberOf(text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  return Number.isFinite(value) && value >= 0 ? value : undefined;
}

function single(message: IncomingMessage, name: string): string | undefined {
  const value = message.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Most tokens of a prompt or an output that a request may tell. */
const TOKENS_MOST = 1e9;

/** Not a number if it is no number of tokens. */
function tokensOf(text: string): number {
  const tokens = text.trim() === '' ? NaN : Number(text);
  return tokens >= 0 && tokens <= TOKENS_MOST ? tokens : NaN;
}

/** Of the parts `ID:TOKENS` of a prompt, in order, the last one is the request's own. */
function promptIdOf(parts: string | undefined): string | undefined {
  const id = parts?.split(',').at(-1)?.split(':')[0]?.trim();
  return id === '' ? undefined : id?.slice(0, PROMPT_ID_LENGTH);
}

/**
 * Rejects with `badRequest` by throwing if the header is there and no size: read as a
 * request without one, it would take less of its customer's quota than it uses.
 */
function usageOf(message: IncomingMessage): Usage | undefined {
  const text = single(message, header.usage);
  if (text === undefined) return undefined;
  const [prompt = NaN, output = NaN, ...rest] = text.split(',').map(tokensOf);
  if (Number.isNaN(prompt + output) || rest.length > 0) {
    throw new Failure('badRequest', `${header.usage}: found no two numbers of tokens`);
  }
  return {
    promptId: promptIdOf(single(message, header.promptParts)),
    promptTokens: prompt,
    maxOutputTokens: output,
    hintTokens: numberOf(single(message, header.lengthHint)),
  };
}

/** Raw headers without those that concern one connection, those it names, and a set of others. */
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

const droppedOfRequests: ReadonlySet<string> = new Set([
  ...routerHeaders,
  'content-length',
  'expect',
]);

/** Where requests carry keys, no runner may see them. */
const droppedOfKeyed: ReadonlySet<string> = new Set([...droppedOfRequests, header.authorization]);

/** Requests and refusals. */
export class PlatformIngress implements IngressCodec {
  idOf(message: IncomingMessage): string | undefined {
    return single(message, header.requestId);
  }

  decode(message: IncomingMessage, body: Buffer, keyed: boolean): CallRequest {
    const id = this.idOf(message);
    if (id === undefined || id === '') {
      throw new Failure('badRequest', 'found no request id, expected one');
    }
    return {
      id,
      host: (message.headers.host ?? '').replace(/:\d+$/, ''),
      method: message.method ?? 'GET',
      target: message.url ?? '/',
      headers: forwardableHeaders(
        message.rawHeaders,
        message.headers.connection,
        keyed ? droppedOfKeyed : droppedOfRequests,
      ),
      body,
      deadlineMs: numberOf(single(message, header.deadline)),
      usage: usageOf(message),
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
        : { [header.retryAfter]: (retryAfterMs / 1000).toFixed(RETRY_DIGITS) }),
    };
  }
}

/** Readiness and lookups. */
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
    return JSON.stringify({ addresses: addresses.slice(0, ADDRESS_LIMIT), 'ttl-s': ttlMs / 1000 });
  }
}

function pathOf({ url }: IncomingMessage): string {
  return (url ?? '').split('?')[0] ?? '';
}
