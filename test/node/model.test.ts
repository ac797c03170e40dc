import { setTimeout as pause } from 'node:timers/promises';

import { Failure } from '../../src/core/failure';
import { EventSink } from '../../src/node/gateway/sink';
import { sendFailure } from '../../src/utils/http';
import { outputText } from '../fakes/engine/text';
import { Cluster, waitUntil, tokens } from '../fakes/cluster';
import { call, closeServer, listen } from '../fakes/http';
import { requestCompletion, openStream } from '../fakes/caller';

/** Time after which a rejected caller asks again, in milliseconds. */
const REPEAT_MS = 200;

/** The answer to a caller that asks again after each 5xx, which a slow machine may bring: calls miss their time, and the retry budget is spent. */
async function completedText(
  gateway: string,
  prompt: string,
  maxTokens: number,
): Promise<string | undefined> {
  const { status, text } = await requestCompletion(gateway, prompt, maxTokens);
  if (status < 500) return text;
  await pause(REPEAT_MS);
  return completedText(gateway, prompt, maxTokens);
}

describe('model requests', () => {
  const cluster = new Cluster();

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  test('get a complete JSON response', async () => {
    const answer = await requestCompletion(cluster.callers(0), 'a short title history', 40);
    expect(answer.text).toBe(outputText('a short title history', 40));
  });

  test('get a complete stream with offsets', async () => {
    const stream = openStream(cluster.callers(1), 'a streamed history', 40);
    await stream.ended;
    expect(stream.text).toBe(outputText('a streamed history', 40));
    expect(stream.offsets).toEqual(stream.offsets.map((_, i) => i));
    expect(stream.whole).toBe(true);
  });

  test('of many concurrent callers each get their own text', async () => {
    const prompts = Array.from({ length: 30 }, (_, i) => `history of parcel ${i}`);
    const texts = await Promise.all(
      prompts.map((prompt, i) => completedText(cluster.callers(i % 2), prompt, 30)),
    );
    expect(texts).toEqual(prompts.map((prompt) => outputText(prompt, 30)));
  }, 30_000);

  test('hold no engine memory after they end', async () => {
    await waitUntil('memory is free', () => cluster.heldRequests.length === 0);
    expect(cluster.heldRequests).toEqual([]);
  });

  test('with the key of an answered request get the same answer without a second run', async () => {
    const before = new Set(cluster.decodeRunners.flatMap(({ ran }) => [...ran])).size;
    const first = await requestCompletion(cluster.callers(0), 'keyed history', 40, { key: 'k1' });
    await waitUntil('the registry has the answer', async () => {
      const again = await requestCompletion(cluster.callers(1), 'keyed history', 40, { key: 'k1' });
      return again.text === first.text;
    });
    const after = new Set(cluster.decodeRunners.flatMap(({ ran }) => [...ran])).size;
    expect(after - before).toBe(1);
  });

  test('with a key used for a different request are refused', async () => {
    await requestCompletion(cluster.callers(0), 'first use', 20, { key: 'k2' });
    const { status, body } = await requestCompletion(cluster.callers(0), 'second use', 20, {
      key: 'k2',
    });
    expect({ status, body }).toMatchInlineSnapshot(`
     {
       "body": {
         "error": {
           "code": 208,
           "message": "this key was used with another request",
           "name": "keyReused",
           "notRun": true,
           "remedy": "Use a fresh key for a different request.",
         },
       },
       "status": 422,
     }
    `);
  });

  /*
   * The caller's connection fails, and the caller retries with the same key at
   * another gateway while the first run is still active. The second attempt must
   * read that run from its first token; a second prefill would be wasted work.
   */
  test('with the key of an active run on another gateway join it, and the older reader gets an error', async () => {
    const prompt = 'joined history '.repeat(10);
    const prefills = (): number =>
      cluster.prefillRunners.reduce((sum, { ran }) => sum + ran.size, 0);
    const before = prefills();
    const first = openStream(cluster.callers(0), prompt, 900, { key: 'k3' });
    await waitUntil('the first run streams', () => first.offsets.length > 3);
    const second = openStream(cluster.callers(1), prompt, 900, { key: 'k3' });
    await Promise.all([first.ended, second.ended]);
    expect(second.text).toBe(outputText(prompt, 900));
    expect(first.whole).toBe(false);
    expect(first.error).toMatchInlineSnapshot(`
     {
       "error": {
         "code": 403,
         "message": "a newer attempt with this key reads the answer now",
         "name": "superseded",
         "notRun": false,
         "remedy": "Read the answer on the newer connection.",
       },
     }
    `);
    expect(prefills() - before).toBe(1);
  });

  /*
   * The caller disconnects during the answer. The gateway must cancel the run on
   * every runner it used and release the slot, so that the engine's memory is
   * available to waiting requests.
   */
  test.each([
    ['before the first token', 0],
    ['during the answer', 5],
  ])('whose caller disconnects %s release all memory', async (_when, tokensSeen) => {
    const stream = openStream(cluster.callers(0), `abandoned ${tokensSeen}`.repeat(20), 1000);
    await waitUntil(
      'tokens came',
      () => cluster.heldRequests.length > 0 && stream.offsets.length >= tokensSeen,
    );
    stream.close();
    await waitUntil('memory is free', () => cluster.heldRequests.length === 0);
    expect(cluster.heldRequests).toEqual([]);
  });

  /*
   * The decode runner's connection fails during the answer. The gateway requests
   * another placement with the prompt and the tokens received so far, and the answer
   * continues after them: the caller receives one complete answer.
   */
  test('whose runner is lost during the answer continue at their offset', async () => {
    const stream = openStream(cluster.callers(0), 'long deed with many parts', 900);
    await waitUntil('tokens came', () => stream.offsets.length > 5);
    await Promise.all(
      cluster.decodeRunners.map(({ url }) => call('POST', `${url}/fault`, { cut: true })),
    );
    await stream.ended;
    expect(stream.text).toBe(outputText('long deed with many parts', 900));
    expect(stream.whole).toBe(true);
  });

  test("of an unknown service and of another team's pool get the same error", async () => {
    const unknown = await call('GET', `${cluster.callers(0)}/services/nothing/x`, undefined, {
      authorization: `Bearer ${tokens.clerks}`,
    });
    const foreign = await call('GET', `${cluster.callers(0)}/services/stolen/x`, undefined, {
      authorization: `Bearer ${tokens.clerks}`,
    });
    expect(unknown.status).toBe(404);
    expect(JSON.stringify(foreign.body)).toBe(
      JSON.stringify(unknown.body).replace('nothing', 'stolen'),
    );
  });
});

/*
 * A caller reads its answer through a second gateway, which relays it from the first.
 * The first gateway crashes after some tokens, and meanwhile another attempt has
 * claimed the key. As the second gateway has already sent a part, it must end the
 * response. Guards against a connection that stays open forever.
 */
describe('an answer that fails after its first part was sent', () => {
  test('is ended and does not stay open', async () => {
    const { server, port } = await listen((_req, res) => {
      res.writeHead(200);
      new EventSink(res, { id: 'x', model: 'm' }).token(0, ' part');
      sendFailure(res, new Failure('alreadyRunning', 'gone'));
    });
    const cut = await call('GET', `http://127.0.0.1:${port}/`).catch(
      (error: Error) => error.message,
    );
    await closeServer(server);
    expect(cut).toMatchInlineSnapshot(`"socket hang up"`);
  });
});
