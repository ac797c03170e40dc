// Stand-in of the platform's store, in a process of its own: items with revisions, pages of a range,
// watches, transactions and leases. The process that starts it is the operator, the runners and the
// other writer: it writes with messages of the form { put: { key, value } } (base64) or { cutWatches: true }.

import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import process from 'node:process';
import { clearTimeout, setTimeout } from 'node:timers';
import { URL } from 'node:url';

/** Most items and bytes of one answer to a range or a watch. */
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const DEFAULT_TTL_MS = 3000;

let revision = 100;
let lastLease = 0;
/** Items by key, each with its text in answers. */
const items = new Map();
/** All changes, oldest first, each with its text in answers. */
const history = [];
const watches = new Set();
/** Changes up to this revision are not kept any more. */
let discardedTo = 0;
const leases = new Map();

function changed() {
  for (const waiting of [...watches]) waiting.look();
}

function put(key, value, lease = 0) {
  revision += 1;
  const created = items.get(key)?.created ?? revision;
  const text = JSON.stringify({ key, value, revision, created, lease });
  const item = { key, revision, created, lease, text };
  items.set(key, item);
  history.push(item);
}

function remove(key) {
  if (!items.delete(key)) return;
  revision += 1;
  const text = JSON.stringify({ key, revision, deleted: true });
  history.push({ key, revision, text });
}

function send(res, status, text) {
  res.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  res.end(text);
}

/** The first entries that fit into one answer. */
function pageOf(entries) {
  const page = [];
  let bytes = 0;
  for (const entry of entries) {
    bytes += entry.text.length;
    if (page.length > 0 && (page.length >= PAGE_ITEMS || bytes > PAGE_BYTES)) break;
    page.push(entry);
  }
  return page;
}

const textOf = (entries) => entries.map((entry) => entry.text).join(',');

function range(res, query) {
  const prefix = query.get('path-prefix') ?? '';
  const after = query.get('after') ?? '';
  const keys = [...items.keys()].filter((key) => key.startsWith(prefix) && key > after).sort();
  const page = pageOf(keys.map((key) => items.get(key)));
  const truncated = page.length < keys.length;
  send(res, 200, `{"items":[${textOf(page)}],"truncated":${truncated},"as-of":${revision}}`);
}

function watch(res, query) {
  const prefix = query.get('path-prefix') ?? '';
  const after = Number(query.get('after'));
  const waiting = {};
  if (after < discardedTo) {
    send(res, 410, '{}');
    return;
  }
  const answer = (isOver) => {
    const from = history.findIndex((change) => change.revision > after);
    const changes = from < 0 ? [] : history.slice(from);
    const events = pageOf(changes.filter(({ key }) => key.startsWith(prefix)));
    if (events.length === 0 && !isOver) return false;
    const isLast = events.length === 0 || events.at(-1) === history.at(-1);
    const asOf = isLast ? revision : events.at(-1).revision;
    send(res, 200, `{"events":[${textOf(events)}],"as-of":${asOf}}`);
    return true;
  };
  if (answer(false)) return;
  const end = () => {
    clearTimeout(waiting.timer);
    watches.delete(waiting);
  };
  waiting.look = () => {
    if (answer(false)) end();
  };
  waiting.timer = setTimeout(
    () => {
      end();
      answer(true);
    },
    Number(query.get('wait-ms')),
  );
  watches.add(waiting);
  res.on('close', end);
}

function endLease(lease) {
  const timer = leases.get(lease);
  if (timer === undefined) return false;
  clearTimeout(timer);
  leases.delete(lease);
  for (const item of [...items.values()]) if (item.lease === lease) remove(item.key);
  changed();
  return true;
}

function keepLease(lease, ttlMs) {
  clearTimeout(leases.get(lease));
  leases.set(
    lease,
    setTimeout(() => endLease(lease), ttlMs),
  );
}

function transact(res, { expected = [], writes = [], remove: removed = [] }) {
  const unmet = expected.filter(({ key, revision: at }) => (items.get(key)?.revision ?? 0) !== at);
  const isForbidden = [...writes.map(({ key }) => key), ...removed].some((key) =>
    /^(op|servers)\//.test(key),
  );
  if (isForbidden) send(res, 403, '{}');
  else if (unmet.length > 0) {
    const current = unmet.flatMap(({ key }) => items.get(key) ?? []);
    send(res, 412, `{"items":[${textOf(current)}]}`);
  } else if (writes.some(({ lease = 0 }) => lease !== 0 && !leases.has(lease))) {
    send(res, 404, '{}');
  } else {
    for (const { key, value, lease } of writes) put(key, value, lease);
    removed.forEach(remove);
    send(res, 200, JSON.stringify({ revision }));
    changed();
  }
}

function call(res, method, path, body) {
  const lease = Number(path.split('/').at(-1));
  if (path === '/v1/kv-txn') transact(res, body);
  else if (path === '/v1/kv-lease') {
    lastLease += 1;
    const ttlMs = body['ttl-ms'] ?? DEFAULT_TTL_MS;
    leases.set(lastLease, undefined);
    keepLease(lastLease, ttlMs);
    send(res, 200, JSON.stringify({ lease: lastLease, 'ttl-ms': ttlMs }));
  } else if (path.startsWith('/v1/kv-keep/') && leases.has(lease)) {
    keepLease(lease, 2 * DEFAULT_TTL_MS);
    send(res, 200, JSON.stringify({ 'ttl-ms': 2 * DEFAULT_TTL_MS }));
  } else if (method === 'DELETE') send(res, endLease(lease) ? 200 : 404, '{}');
  else send(res, 404, '{}');
}

const server = createServer((req, res) => {
  const { pathname, searchParams } = new URL(req.url, 'http://store');
  if (pathname === '/v1/kv-range') range(res, searchParams);
  else if (pathname === '/v1/kv-watch') watch(res, searchParams);
  else if (pathname === '/v1/kv-key') {
    const item = items.get(searchParams.get('key'));
    if (item) send(res, 200, `${item.text.slice(0, -1)},"as-of":${revision}}`);
    else send(res, 404, '{}');
  } else {
    const chunks = [];
    req.on('data', (chunk) => chunks.push(chunk));
    req.on('end', () => {
      const text = Buffer.concat(chunks).toString();
      call(res, req.method, pathname, text === '' ? {} : JSON.parse(text));
    });
  }
});

process.on('message', (message) => {
  if (message.put) {
    put(message.put.key, message.put.value);
    changed();
  }
  if (message.discardHistory) {
    discardedTo = revision;
    history.length = 0;
  }
});
process.on('disconnect', () => process.exit(0));
server.listen(0, process.argv[2], () => process.send({ port: server.address().port }));
