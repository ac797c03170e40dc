import { Failure } from '../../src/core/failure';
import { EventSink } from '../../src/node/gateway/sink';
import { sendFailure } from '../../src/utils/http';
import { outputText } from '../fakes/engine/text';
import { Cluster, waitUntil, tokens } from '../fakes/cluster';
import { call, closeServer, listen } from '../fakes/http';
import { requestCompletion, openStream } from '../fakes/caller';

describe('model requests', () => {
  const cluster = new Cluster();

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  test('are answered whole as json', async () => {
    const answer = await requestCompletion(cluster.callers(0), 'a short title history', 40);
    expect(answer.text).toBe(outputText('a short title history', 40));
  });

  test('are answered whole as a stream with offsets', async () => {
    const stream = openStream(cluster.callers(1), 'a streamed history', 40);
    await stream.ended;
    expect(stream.text).toBe(outputText('a streamed history', 40));
    expect(stream.offsets).toEqual(stream.offsets.map((_, i) => i));
    expect(stream.whole).toBe(true);
  });

  test('of many callers at once are each answered with their own text', async () => {
    const prompts = Array.from({ length: 30 }, (_, i) => `history of parcel ${i}`);
    const answers = await Promise.all(
      prompts.map((prompt, i) => requestCompletion(cluster.callers(i % 2), prompt, 30)),
    );
    expect(answers.map(({ text }) => text)).toEqual(
      prompts.map((prompt) => outputText(prompt, 30)),
    );
  });

  test('leave no engine memory held once they are done', async () => {
    await waitUntil('memory is free', () => cluster.heldRequests.length === 0);
    expect(cluster.heldRequests).toEqual([]);
  });

  test('with a key that was answered are answered again without a second run', async () => {
    const before = new Set(cluster.decodeRunners.flatMap(({ ran }) => [...ran])).size;
    const first = await requestCompletion(cluster.callers(0), 'keyed history', 40, { key: 'k1' });
    await waitUntil('the registry has the answer', async () => {
      const again = await requestCompletion(cluster.callers(1), 'keyed history', 40, { key: 'k1' });
      return again.text === first.text;
    });
    const after = new Set(cluster.decodeRunners.flatMap(({ ran }) => [...ran])).size;
    expect(after - before).toBe(1);
  });

  test('with a key that stood for another request are refused', async () => {
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
   * The caller's connection breaks and it asks again with the same key at another
   * gateway. The first run is still going. The second attempt must read that run
   * from its beginning; a second prefill would be wasted work.
   */
  test('with a key that run elsewhere are joined, and the older reader is told', async () => {
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
   * The caller closes its connection in mid-answer. The gateway cancels the run
   * on every runner it touched and gives the slot back, so that the engine's
   * memory serves somebody who still waits.
   */
  test.each([
    ['before the first token', 0],
    ['in mid-answer', 5],
  ])('whose caller leaves %s free all memory', async (_when, tokensSeen) => {
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
   * The decode runner's process is cut off in mid-answer. The gateway asks the
   * owner for another place with the prompt and the tokens that are out, and the
   * answer goes on behind them: the caller sees one whole answer.
   */
  test('whose runner is lost in mid-answer go on at their offset', async () => {
    const stream = openStream(cluster.callers(0), 'long deed with many parts', 900);
    await waitUntil('tokens came', () => stream.offsets.length > 5);
    await Promise.all(
      cluster.decodeRunners.map(({ url }) => call('POST', `${url}/fault`, { cut: true })),
    );
    await stream.ended;
    expect(stream.text).toBe(outputText('long deed with many parts', 900));
    expect(stream.whole).toBe(true);
  });

  test("of an unknown service, or of a pool that is not the team's, look alike", async () => {
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
 * A caller reads its answer through a second gateway from the first one. The
 * first gateway dies after some tokens, and meanwhile another attempt has taken
 * the key. The second gateway has sent a part already: it must end the answer
 * with an error event. Seen in a random run: the connection stayed open for ever.
 */
describe('an answer that breaks off after a part is out', () => {
  test('ends with an error event and never stays open', async () => {
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
