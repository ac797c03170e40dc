/**
 * Stand-in for a runner, a process of its own. It answers as the users' pages say: prefills at once,
 * streams with a pause between events, plain requests after some work. It tells its parent what it
 * got and what it ran.
 */

import { createServer } from 'node:http';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

/**
 * `stage` is `prefill`, `decode` or `plain`; `events` and `gapMs` shape a stream; answers to requests
 * whose ids begin with `unframed` have no length and end with their channel; `load` is sent in `Server-Load`; `backlog` is the length of the queue
 * of new channels.
 */
const options = JSON.parse(process.argv[2]);
const {
  id,
  host,
  port = 0,
  stage,
  events = 24,
  gapMs = 250,
  workMs = 30,
  unframed,
  backlog,
} = options;

let handles = 0;

function tell(message) {
  process.send?.({ at: Date.now(), ...message });
}

function sendJson(res, status, body, headers = {}) {
  res.writeHead(status, { 'content-type': 'application/json', ...headers });
  res.end(JSON.stringify(body));
}

function report(res) {
  sendJson(res, 200, {
    stage,
    models: [{ name: 'm', version: 1, adapters: [] }],
    busy: false,
    sequence: 0,
    queued: 0,
    running: 0,
    'kv-used': 0,
    'kv-total': 65_205,
    'kv-handles': 0,
    runs: [],
  });
}

function headersOf(req, extra = {}) {
  return {
    'request-id': req.headers['request-id'],
    'server-signature': `${id}.${req.headers['request-id']}`,
    ...(options.load ? { 'server-load': options.load } : {}),
    ...extra,
  };
}

function stream(req, res) {
  const request = req.headers['request-id'];
  if (unframed !== undefined && request.startsWith(unframed)) {
    res.removeHeader('transfer-encoding');
  }
  res.writeHead(200, headersOf(req, { 'content-type': 'text/event-stream', connection: 'close' }));
  tell({ kind: 'runs', request });
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    res.write(`id: ${sent}\ndata: piece ${sent} of ${events}\n\n`);
    if (sent < events) return;
    clearInterval(timer);
    res.end();
    tell({ kind: 'completed', request, sent });
  }, gapMs);
  res.on('close', () => {
    clearInterval(timer);
    if (sent < events) tell({ kind: 'dropped', request, sent });
  });
}

function plain(req, res) {
  const request = req.headers['request-id'];
  tell({ kind: 'runs', request });
  setTimeout(() => {
    const body = `answer to ${request}`.padEnd(800, '.');
    res.writeHead(200, headersOf(req, { 'content-length': body.length }));
    res.end(body);
    tell({ kind: 'completed', request });
  }, workMs);
}

const server = createServer((req, res) => {
  const expected = req.headers['expected-instance'];
  req.resume();
  req.on('end', () => {
    if (expected !== undefined && expected !== id) {
      res.writeHead(421, { 'instance-id': id });
      res.end();
    } else if (req.url === '/v1/report') report(res);
    else if (req.url.startsWith('/v1/kv-handle/')) sendJson(res, 200, {});
    else if (stage === 'prefill') {
      handles += 1;
      sendJson(res, 200, { 'kv-handle': `${id}${handles}`, tokens: 1460, version: 1 });
    } else if (stage === 'decode') stream(req, res);
    else plain(req, res);
  });
});

server.on('connection', () => tell({ kind: 'channel' }));
server.listen({ host, port, ...(backlog === undefined ? {} : { backlog }) }, () => {
  tell({ kind: 'listens', port: server.address().port });
});

// Accepts no new channels for a time: a full queue of them drops opening packets, which are lost.
process.on('message', ({ holdMs }) => {
  tell({ kind: 'holding' });
  setTimeout(() => {
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, holdMs);
    tell({ kind: 'accepting' });
  }, 2);
});
