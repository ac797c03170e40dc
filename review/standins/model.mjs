/** A model service of the stand-ins: its configuration, its runners and requests to it. */

import { ask } from './deployment.mjs';

const SERVICE = 'deed-reader';
const HOST = 'desk.example';

/** Shape of the streams: events, and the pause before each in milliseconds. */
export const EVENTS = 24;
export const GAP_MS = 250;
/** Time budget of a client, in milliseconds. */
const BUDGET_MS = 14_000;

/** A configuration with one streaming route, whose streams may not be resumed. */
export const config = {
  version: 7,
  routes: [
    {
      name: 'r-title',
      host: HOST,
      'path-prefix': '/title/',
      kind: 'streaming',
      'timeout-ms': BUDGET_MS,
      'target-latency-ms': 900,
      priority: 1,
      service: SERVICE,
      'max-attempts': 1,
      sticky: true,
      'gap-target-ms': 300,
    },
  ],
  services: [
    {
      name: SERVICE,
      'max-connections': 360,
      engine: { slots: 64, 'kv-capacity-tokens': 65_205, stride: 7, 'kv-hold-s': 3 },
    },
  ],
  limits: {
    'max-header-bytes': 16_384,
    'max-body-bytes': 1_048_576,
    'header-timeout-ms': 10_000,
    'idle-timeout-ms': 15_000,
  },
};

/** A runner of the service, in a process of its own. */
export class ModelRunner {
  messages = [];

  #deployment;

  #options;

  /**
   * @param number last part of its address
   * @param stage `prefill` or `decode`
   */
  constructor(deployment, id, number, stage, options = {}) {
    this.#deployment = deployment;
    this.id = id;
    this.host = deployment.ip(number);
    this.stage = stage;
    this.#options = { id, host: this.host, stage, events: EVENTS, gapMs: GAP_MS, ...options };
  }

  /** Starts it and writes its entry. */
  async start() {
    this.child = await this.#deployment.fork('./runner.mjs', this.#options, (message) => {
      this.#heard(message);
    });
    this.report('ready');
  }

  /** Writes its entry in the store. */
  report(state) {
    this.#deployment.store.put(`servers/${this.id}`, {
      service: SERVICE,
      address: `${this.host}:${this.port}`,
      zone: 'a',
      version: 'v1',
      slots: 64,
      state,
      'cold-remaining-ms': 0,
      stage: this.stage,
      models: [{ name: 'm', version: 1, adapters: [] }],
      sequence: 0,
    });
  }

  /** The first message of a kind about a request; undefined if there is none. */
  told(kind, request) {
    return this.messages.find((one) => one.kind === kind && one.request === request);
  }

  #heard(message) {
    this.messages.push(message);
    const { kind, request = '', sent, port } = message;
    if (kind === 'listens') this.port = port;
    else if (kind !== 'channel') {
      const events = sent === undefined ? '' : `, ${sent} of ${EVENTS} events made`;
      this.#deployment.note(`${this.id}: ${kind} ${request}${events}`);
    }
  }
}

/** Sends a request for a stream, with an API key if one is given; resolves to the answer with the number of its events. */
export async function askForStream(deployment, machine, id, key) {
  deployment.note(`client: sends ${id} to ${machine.name}`);
  const answer = await ask(machine.front, {
    id,
    host: HOST,
    path: '/title/2f',
    headers: {
      model: 'm',
      'token-usage': '1460,168',
      'prompt-prefix': `${id}:1460`,
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
    },
    body: 'x'.repeat(500),
    waitMs: BUDGET_MS,
  });
  const events = (answer.body.match(/^data:/gm) ?? []).length;
  const isComplete = answer.whole && answer.status === 200;
  const look = isComplete ? 'complete' : `not complete (${answer.end})`;
  deployment.note(
    `client: ${id} got ${answer.status}, ${events} of ${EVENTS} events, the answer looks ${look}`,
  );
  return { ...answer, events, isComplete };
}
