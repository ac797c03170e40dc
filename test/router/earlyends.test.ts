import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';

import type { Framing } from '../../src/core/stream/answer';
import { Partition } from '../fakes/partition';
import { RouterCluster } from '../fakes/routers';

const FRAMINGS: readonly Framing[] = ['length', 'chunked', 'close'];
const CONCURRENCY = 16;

const PLAIN_BODY = 'bytes of a body';
const eventsFrom = (first: number): string =>
  [1, 2, 3]
    .filter((id) => id >= first)
    .map((id) => `id: ${id}\ndata: x\n\n`)
    .join('');

/** A request's path is `/ROUTE/KIND/FRAMING/CUT`: the first `CUT` bytes of its answer are sent. */
const partsOf = (url = ''): readonly string[] => url.split('/').slice(1);

function headOf(req: IncomingMessage, framing: Framing, length: number, type: string): string {
  const fields: Readonly<Record<Framing, readonly string[]>> = {
    length: [`Content-Length: ${length}`],
    chunked: ['Transfer-Encoding: chunked'],
    close: [],
  };
  const signed = [`Request-Id: ${req.headers['request-id']}`, 'Server-Signature: s'];
  const lines = ['HTTP/1.1 200 OK', ...fields[framing], `Content-Type: ${type}`, ...signed];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

function chunksOf(body: string): string {
  const last = '0\r\n\r\n';
  return body === '' ? last : `${body.length.toString(16)}\r\n${body}\r\n${last}`;
}

/** Type and body of the whole answer to a call. */
function contentOf({ headers, url }: IncomingMessage): readonly [string, string] {
  if (headers['serving-stage'] === 'prefill') return ['application/json', '{"kv-handle":"h"}'];
  const isPlain = ['plain', 'once'].includes(partsOf(url)[0] ?? '');
  if (isPlain) return ['text/plain', PLAIN_BODY];
  return ['text/event-stream', eventsFrom(Number(headers['last-event-id'] ?? 0) + 1)];
}

/** Runners that cut one answer to each request; their processes go on. */
class CuttingRunners {
  /** Paths of the requests that ran. */
  readonly ran = new Set<string>();

  readonly #calls = new Map<string, number>();

  answer(socket: Socket, req: IncomingMessage): boolean {
    const [, kind, framingText, cutText] = partsOf(req.url);
    if (cutText === undefined) return false;
    const framing = framingText as Framing;
    const [type, body] = contentOf(req);
    const head = headOf(req, framing, body.length, type);
    const whole = Buffer.from(head + (framing === 'chunked' ? chunksOf(body) : body));
    const isPrefill = req.headers['serving-stage'] === 'prefill';
    if (!isPrefill) this.ran.add(req.url ?? '');
    if (isPrefill !== (kind === 'prefill')) {
      socket.end(whole);
      return true;
    }
    const call = (this.#calls.get(req.url ?? '') ?? 0) + 1;
    this.#calls.set(req.url ?? '', call);
    if (kind === 'resumed' && call === 1) {
      // Breaks off within the second event.
      socket.end(`${headOf(req, 'chunked', 0, type)}${chunksOf(body).slice(0, -12)}`);
      return true;
    }
    const isCut = call === (kind === 'resumed' ? 2 : 1);
    const sent = isCut ? whole.subarray(0, Number(cutText)) : whole;
    const isReset = framing === 'close' && sent.length > head.length && sent.length < whole.length;
    // Without a length and chunks, an end in order within the body is that of a whole answer.
    if (isReset) socket.write(sent, () => socket.resetAndDestroy());
    else socket.end(sent);
    return true;
  }
}

/** Route and kind of a request. */
const rows = [
  ['plain', 'run'],
  ['once', 'run'],
  ['model', 'run'],
  ['model', 'prefill'],
  ['long', 'run'],
  ['long', 'resumed'],
] as const;
/** Longest whole answer, in bytes. */
const MAX_BYTES = 208;

describe('an answer that is cut', () => {
  const partition = new Partition();
  const routers = new RouterCluster({
    vms: 2,
    runners: 3,
    prefillRunners: 2,
    partition,
    retries: { ratio: 1, extra: 10_000, windowMs: 10_000 },
  });

  const runners = new CuttingRunners();

  beforeAll(async () => {
    await routers.start();
    for (const role of ['plain', 'decode', 'prefill'] as const) {
      for (const runner of routers.runnersOf(role)) {
        runner.answerOn = (socket, req) => runners.answer(socket, req);
      }
    }
  }, 30_000);
  afterAll(() => routers.stop(), 30_000);

  /** How callers got the answers to requests, each with the paths of the requests. */
  async function outcomesOf(
    paths: readonly string[],
  ): Promise<ReadonlyMap<string, readonly string[]>> {
    const outcomes = new Map<string, string[]>();
    const left = [...paths];
    const next = async (): Promise<void> => {
      for (let path = left.shift(); path !== undefined; path = left.shift()) {
        // Prompts without a common part: one under which several runners fail is held back.
        const prompt = { 'prompt-prefix': `${Buffer.from(path).toString('hex')}:100` };
        const { status, whole, body } = await routers.sendRequest(0, path, path, prompt);
        const full = /^\/(plain|once)/.test(path) ? PLAIN_BODY : eventsFrom(1);
        const part = body === full ? 'all' : 'a part';
        const outcome = status === 200 ? `${whole ? 'complete' : 'cut'}, ${part}` : `${status}`;
        outcomes.set(outcome, [...(outcomes.get(outcome) ?? []), path]);
      }
    };
    await Promise.all(Array.from({ length: CONCURRENCY }, next));
    return outcomes;
  }

  /*
   * Guards against an answer that looks complete although its runner stopped within its head or body.
   * Each byte of each framing is cut once, at the rows in turn.
   */
  test.each([
    ['directly', 0],
    ['through another VM', 1],
  ])(
    'never looks complete, nor refused if it ran, to its caller: %s',
    async (_, way) => {
      if (way === 1) partition.cut(['vm1'], 'live');
      const paths = FRAMINGS.flatMap((framing, shift) =>
        Array.from({ length: MAX_BYTES }, (__, cut) => {
          const [route, kind] = rows[(cut + shift) % rows.length] ?? [];
          return `/${route}/${kind}/${framing}/${cut}`;
        }).filter((__, cut) => Math.floor(cut / rows.length) % 2 === way),
      );
      const outcomes = await outcomesOf(paths);
      const isAllowed = new Set(['complete, all', 'cut, all', 'cut, a part', '502', '503']);
      expect([...outcomes].filter(([outcome]) => !isAllowed.has(outcome))).toEqual([]);
      expect(outcomes.get('503')?.filter((path) => runners.ran.has(path)) ?? []).toEqual([]);
      expect(outcomes.get('502')?.length).toBeGreaterThan(0);
    },
    60_000,
  );
});
