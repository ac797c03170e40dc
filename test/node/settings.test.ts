import { Cluster, waitUntil, tokens } from '../fakes/cluster';
import { call } from '../fakes/http';

describe("operators' settings", () => {
  const cluster = new Cluster({ vms: 3 });

  beforeAll(() => cluster.start(), 30_000);
  afterAll(() => cluster.stop());

  const bearer = (token: string): Record<string, string> => ({ authorization: `Bearer ${token}` });
  const get = (path: string, token: string, vm = 0): ReturnType<typeof call> =>
    call('GET', `${cluster.operators(vm)}/v1/settings/${path}`, undefined, bearer(token));
  const put = (
    path: string,
    value: unknown,
    revision: number,
    token: string,
    vm = 0,
  ): ReturnType<typeof call> =>
    call('PUT', `${cluster.operators(vm)}/v1/settings/${path}?wait=1`, value, {
      ...bearer(token),
      'if-match': String(revision),
    });
  const revisionOf = async (path: string, token: string): Promise<number> =>
    ((await get(path, token)).body as { revision: number }).revision;
  const errorOf = (body: unknown): unknown => {
    const { code, message } = (body as { error: { code: number; message: string } }).error;
    return `${code}: ${message}`;
  };

  test('are in force on every VM once a write with wait is answered', async () => {
    const revision = await revisionOf('teams/clerks', tokens.clerks);
    const { body } = await put(
      'teams/clerks/services/deeds/maxTokens',
      500,
      revision,
      tokens.clerks,
    );
    expect(body).toMatchObject({ inForce: true, missing: [] });
    expect(
      (await get('teams/clerks/services/deeds/maxTokens', tokens.clerks, 2)).body,
    ).toMatchObject({ text: '500' });
  });

  test('written by two operators at once give one a conflict', async () => {
    const revision = await revisionOf('teams/clerks', tokens.clerks);
    const writes = await Promise.all(
      [0, 1, 2].map((vm) =>
        put('teams/clerks/services/deeds/maxTokens', 600 + vm, revision, tokens.clerks, vm),
      ),
    );
    expect(writes.map(({ status }) => status).sort()).toEqual([200, 409, 409]);
  });

  test('that do not fit the schema are refused and change nothing', async () => {
    const revision = await revisionOf('teams/clerks', tokens.clerks);
    const wrong = await put(
      'teams/clerks/services/deeds/maxTokens',
      '"many"',
      revision,
      tokens.clerks,
    );
    const unknown = await put(
      'teams/clerks/services/deeds/colour',
      '"red"',
      revision,
      tokens.clerks,
    );
    const truncated = await put('teams/clerks', '{ "services": ', revision, tokens.clerks);
    expect([wrong, unknown, truncated].map(({ body }) => errorOf(body))).toMatchInlineSnapshot(`
     [
       "104: teams/clerks: at services.deeds.maxTokens: Invalid input: expected number, received string",
       "104: teams/clerks: at services.deeds: Unrecognized key: "colour"",
       "103: teams/clerks: found ValueExpected at line 1, column 15, expected JSON with comments",
     ]
    `);
    expect(await revisionOf('teams/clerks', tokens.clerks)).toBe(revision);
  });

  test('of a team are closed to all others, whether they exist or not', async () => {
    const tries = await Promise.all([
      get('teams/lawyers', tokens.clerks),
      get('teams/nobody', tokens.clerks),
      get('consortium', tokens.clerks),
      get('teams/clerks', tokens.operator),
      put('teams/lawyers/services/deeds/maxTokens', 1, 1, tokens.clerks),
      get('teams/clerks', 'unknown-token'),
    ]);
    expect(tries.map(({ status, body }) => `${status} ${errorOf(body)}`)).toMatchInlineSnapshot(`
     [
       "403 203: the token does not cover teams/lawyers",
       "403 203: the token does not cover teams/nobody",
       "403 203: the token does not cover consortium",
       "403 203: the token does not cover teams/clerks",
       "403 203: the token does not cover teams/lawyers/services/deeds/maxTokens",
       "401 202: found an unknown bearer token",
     ]
    `);
  });

  /*
   * The write takes effect and its answer is lost. Reading back finds our nonce,
   * so the operator is told that it was accepted, and it is not written twice.
   */
  test('are confirmed when the store loses the answer', async () => {
    const revision = await revisionOf('teams/lawyers', tokens.lawyers);
    cluster.platform.faults.loseWriteAnswers = 1;
    const { status, body } = await put(
      'teams/lawyers/services/deeds/maxTokens',
      321,
      revision,
      tokens.lawyers,
    );
    expect({ status, body }).toMatchObject({
      status: 200,
      body: { revision: revision + 1, inForce: true },
    });
  });

  /*
   * The store comes back with an older state. What was accepted stays in force
   * everywhere, and the next write is based on it and not on the older state.
   */
  test('never revert when the store comes back older', async () => {
    const older = cluster.platform.snapshot();
    const revision = await revisionOf('teams/lawyers', tokens.lawyers);
    await put('teams/lawyers/services/deeds/maxTokens', 777, revision, tokens.lawyers);
    cluster.platform.restore(older);
    await new Promise((resolve) => {
      setTimeout(resolve, 500);
    });
    const inForce = await get('teams/lawyers/services/deeds/maxTokens', tokens.lawyers, 1);
    expect(inForce.body).toMatchObject({ revision: revision + 1, text: '777' });
    const next = await put(
      'teams/lawyers/services/deeds/maxTokens',
      778,
      revision + 1,
      tokens.lawyers,
    );
    expect(next.body).toMatchObject({ revision: revision + 2, inForce: true });
  });

  /* Somebody writes garbage into the store past the checks: the last good document stays in force. */
  test('that are malformed in the store leave the last good ones in force', async () => {
    const revision = await revisionOf('teams/lawyers', tokens.lawyers);
    const bad = JSON.stringify({ revision: revision + 1, nonce: 'x', text: '{ "services": 7 }' });
    cluster.platform.writeDirectly('settings/teams/lawyers', bad);
    await waitUntil('the alarm is raised', async () => {
      const { body } = await call(
        'GET',
        `${cluster.operators(0)}/v1/status`,
        undefined,
        bearer(tokens.operator),
      );
      return JSON.stringify(body).includes('settings.malformed');
    });
    const { body } = await call(
      'POST',
      `${cluster.callers(0)}/v1/completions`,
      { model: 'deeds', prompt: 'x', max_tokens: 3 },
      bearer(tokens.lawyers),
    );
    expect(body).toHaveProperty('choices');
  });

  /* A VM starts while the store is down: it takes the settings from its peers. */
  test('reach a VM that starts during an outage', async () => {
    await cluster.gateways[2]?.close();
    await cluster.schedulers[2]?.close();
    cluster.platform.faults.outage = true;
    await cluster.startScheduler(2);
    await cluster.startGateway(2);
    await waitUntil(
      'the new VM serves',
      async () => (await call('GET', `${cluster.callers(2)}/readyz`)).status === 200,
      15_000,
    );
    cluster.platform.faults.outage = false;
  }, 30_000);
});
