/**
 * Measures the latency and CPU time that gateway and scheduler add to a request,
 * compared with direct calls to the simulated runners in the same run.
 *
 *     node build/load.cjs [REQUESTS] [CALLERS] [MAX-TOKENS]
 */

import { readFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

import { build } from 'hdr-histogram-js';
import type { Histogram } from 'hdr-histogram-js';

import { Deployment, bagmati } from '../test/fakes/deployment';
import { call } from '../test/fakes/http';

const PROMPT = 'a title history of some length. '.repeat(60);
const MAX_TOKENS = Number(process.argv[4] ?? 24);
/** Unit of the CPU times in /proc/PID/stat; 100 on Linux. */
const CLOCK_TICKS_PER_SECOND = 100;
const MICROSECONDS_PER_MS = 1000;

/** Sends the request with this number and returns its HTTP status. */
type Send = (index: number) => Promise<number>;

/** CPU time that a process has used so far, in milliseconds. */
function cpuMs(pid: number | undefined): number {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? [];
  return ((Number(fields[11]) + Number(fields[12])) * 1000) / CLOCK_TICKS_PER_SECOND;
}

/** Measures the latency of `requests` calls from concurrent callers, in microseconds; throws on a status other than 200. */
async function measure(requests: number, callers: number, send: Send): Promise<Histogram> {
  const histogram = build({ highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3 });
  let next = 0;
  const caller = async (): Promise<void> => {
    while (next < requests) {
      next += 1;
      const startedAt = performance.now();
      const status = await send(next);
      if (status !== 200) throw new Error(`found status ${status}, expected 200`);
      histogram.recordValue(Math.round((performance.now() - startedAt) * MICROSECONDS_PER_MS));
    }
  };
  await Promise.all(Array.from({ length: callers }, caller));
  return histogram;
}

function row(name: string, histogram: Histogram): string {
  const at = (percentile: number): string =>
    (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(2);
  return `| ${name} | ${at(50)} | ${at(95)} | ${at(99)} |`;
}

/** Sends prefill to one engine and decode to another without the gateway, with the same calls as the gateway. */
function directModel(deployment: Deployment): Send {
  const runners = deployment.consortium.pools.deeds?.runners ?? [];
  const prefills = runners.filter(({ role }) => role === 'prefill');
  const decodes = runners.filter(({ role }) => role === 'decode');
  return async (index) => {
    const source = prefills[index % prefills.length]?.url;
    const target = decodes[index % decodes.length]?.url;
    const request = { prompt: `${index} ${PROMPT}`, max_tokens: MAX_TOKENS, stream: true };
    const id = `direct-${index}`;
    await call('POST', `${source}/v1/completions`, {
      ...request,
      request_id: `${id}.1`,
      kv_transfer_params: { do_remote_decode: true },
    });
    const transfer = { do_remote_prefill: true, remote_url: source, remote_request_id: `${id}.1` };
    const { status } = await call('POST', `${target}/v1/completions`, {
      ...request,
      request_id: `${id}.2`,
      kv_transfer_params: transfer,
    });
    return status;
  };
}

function routedModel(deployment: Deployment): Send {
  const headers = { authorization: 'Bearer clerks-token' };
  return async (index) => {
    const body = {
      model: 'deeds',
      prompt: `${index} ${PROMPT}`,
      max_tokens: MAX_TOKENS,
      stream: true,
    };
    return (await call('POST', `http://${deployment.callers(1)}/v1/completions`, body, headers))
      .status;
  };
}

function directService(deployment: Deployment): Send {
  const runners = deployment.consortium.pools.registry?.runners ?? [];
  return async (index) =>
    (await call('GET', `${runners[index % runners.length]?.url}/parcels/${index}`)).status;
}

function routedService(deployment: Deployment): Send {
  const headers = { authorization: 'Bearer clerks-token' };
  return async (index) =>
    (
      await call(
        'GET',
        `http://${deployment.callers(1)}/services/registry/parcels/${index}`,
        undefined,
        headers,
      )
    ).status;
}

/** CPU time in milliseconds. */
interface Usage {
  readonly gateway: number;
  readonly schedulers: number;
}

function usage(deployment: Deployment): Usage {
  const of = (role: string): number =>
    deployment.names
      .filter((name) => name.startsWith(role))
      .reduce((sum, name) => sum + cpuMs(deployment.process(name)?.pid), 0);
  return { gateway: of('gateway'), schedulers: of('scheduler') };
}

/** Measures direct and routed requests after a warm-up and prints a row for each, and the CPU time for each routed request. */
async function compare(
  deployment: Deployment,
  what: string,
  direct: Send,
  through: Send,
  requests: number,
  callers: number,
): Promise<void> {
  await measure(Math.ceil(requests / 5), callers, through);
  const plain = await measure(requests, callers, direct);
  const before = usage(deployment);
  const routed = await measure(requests, callers, through);
  const after = usage(deployment);
  console.log(row(`${what}, direct`, plain));
  console.log(row(`${what}, through goldcrestdock`, routed));
  const gateway = (after.gateway - before.gateway) / requests;
  const schedulers = (after.schedulers - before.schedulers) / requests;
  console.log(
    `| ${what}, CPU for each request | gateway ${gateway.toFixed(2)} | schedulers ${schedulers.toFixed(2)} | |`,
  );
}

async function main(): Promise<void> {
  const requests = Number(process.argv[2] ?? 600);
  const callers = Number(process.argv[3] ?? 8);
  const deployment = new Deployment(bagmati);
  try {
    await deployment.start();
    console.log(`${requests} requests, ${callers} callers, one gateway; milliseconds\n`);
    console.log('| what | p50 | p95 | p99 |\n| --- | --- | --- | --- |');
    await compare(
      deployment,
      'model',
      directModel(deployment),
      routedModel(deployment),
      requests,
      callers,
    );
    await compare(
      deployment,
      'plain',
      directService(deployment),
      routedService(deployment),
      requests * 5,
      callers,
    );
  } finally {
    await deployment.stop();
  }
}

main().catch((error: Error) => {
  console.error(error);
  process.exitCode = 1;
});
