/**
 * Development run: starts stand-ins and daemons of both deployments as
 * processes, sends sample requests, prints what came back, and ends.
 * With `--stay` everything keeps running until it is interrupted.
 */

import { outputText } from '../test/fakes/engine/text';
import type { DeploymentSpec } from '../test/fakes/deployment';
import { Deployment, bagmati, dosel } from '../test/fakes/deployment';
import { call } from '../test/fakes/http';

interface Sample {
  readonly what: string;
  readonly ok: boolean;
  readonly seen: string;
}

async function sendModel(
  address: string,
  token: string,
  model: string,
  maxTokens: number,
): Promise<Sample> {
  const prompt = `${'City preamble. '.repeat(200)}Street notes of ${model}: ${token}`;
  const headers = { authorization: `Bearer ${token}` };
  const began = Date.now();
  const answer = await call(
    'POST',
    `http://${address}/v1/completions`,
    { model, prompt, max_tokens: maxTokens },
    headers,
  );
  const text = (answer.body as { choices?: { text: string }[] }).choices?.[0]?.text;
  const ok = text === outputText(prompt, maxTokens);
  const seen = ok
    ? `${text.split(' ').length - 1} tokens, whole, in ${Date.now() - began} ms`
    : JSON.stringify(answer.body);
  return { what: `POST /v1/completions ${model}`, ok, seen };
}

async function sendPlain(
  address: string,
  token: string,
  method: string,
  path: string,
  key?: string,
): Promise<Sample> {
  const headers = {
    authorization: `Bearer ${token}`,
    ...(key === undefined ? {} : { 'idempotency-key': key }),
  };
  const body = method === 'GET' ? undefined : { fee: 1200 };
  const answer = await call(method, `http://${address}${path}`, body, headers);
  const ok =
    answer.status === 200 && (key === undefined || (answer.body as { run: number }).run === 1);
  return { what: `${method} ${path}`, ok, seen: `${answer.status} ${JSON.stringify(answer.body)}` };
}

async function sample(
  deployment: Deployment,
  send: (address: string) => Promise<Sample[]>,
): Promise<boolean> {
  const { body } = await call('GET', `http://${deployment.callers(1)}/v1/addresses`);
  const { addresses } = body as { addresses: string[] };
  console.log(`${deployment.spec.name}: callers are told ${addresses.join(', ')}`);
  const samples = await send(addresses[0] as string);
  for (const { what, ok, seen } of samples) {
    console.log(`  ${ok ? 'ok  ' : 'FAIL'} ${what}: ${seen}`);
  }
  return samples.every(({ ok }) => ok);
}

const sendDosel = async (address: string): Promise<Sample[]> => [
  await sendModel(address, 'crew-norte-token', 'summaries', 200),
  await sendModel(address, 'crew-sur-token', 'summaries', 200),
  await sendPlain(address, 'crew-centro-token', 'GET', '/services/tiles/12/2201/1043'),
];

const sendBagmati = async (address: string): Promise<Sample[]> => [
  await sendModel(address, 'clerks-token', 'deeds', 200),
  await sendPlain(address, 'lawyers-token', 'GET', '/services/registry/parcels/77'),
  await sendPlain(address, 'clerks-token', 'POST', '/services/registry/receipts', 'receipt-1'),
  await sendPlain(address, 'clerks-token', 'POST', '/services/registry/receipts', 'receipt-1'),
];

async function main(): Promise<void> {
  const stay = process.argv.includes('--stay');
  const specs: readonly DeploymentSpec[] = [dosel, bagmati];
  const deployments = specs.map((spec) => new Deployment(spec));
  const stop = async (): Promise<void> => {
    await Promise.all(deployments.map((deployment) => deployment.stop()));
  };
  process.on('SIGINT', () => {
    stop().finally(() => process.exit(0));
  });
  try {
    await Promise.all(deployments.map((deployment) => deployment.start()));
    const [first, second] = deployments as [Deployment, Deployment];
    const results = [await sample(first, sendDosel), await sample(second, sendBagmati)];
    const whole = results.every(Boolean);
    console.log(whole ? 'Both deployments answered whole.' : 'Some answers were not whole.');
    if (!whole) process.exitCode = 1;
    if (stay) await new Promise(() => {});
  } finally {
    await stop();
  }
}

main().catch((error: Error) => {
  console.error(error.message);
  process.exitCode = 1;
});
