// Preloaded into a VM's process to inject clock and network faults. Reads the file named by
// GOLDCRESTDOCK_SOAK at the start and on each SIGUSR2. The file sets the offset of the wall clock,
// redirects connections to proxies, lists hosts to which datagrams are dropped, and cuts connections to
// a port: open ones go on, or are reset, and new ones hang, or are refused. It also blocks the event loop
// in slices, without using the processor:
// `{"stepMs": 0, "routes": {"HOST:PORT": "HOST:PORT"}, "lost": ["HOST"], "cut": {"port": 1, "how": "silent"},
// "block": {"everyMs": 250, "forMs": 0}}`.
const dgram = require('node:dgram');
const { readFileSync } = require('node:fs');
const net = require('node:net');
const { clearInterval, setInterval } = require('node:timers');

let { stepMs, routes, lost, cut } = { stepMs: 0, routes: {}, lost: [], cut: undefined };
let blocking;
const never = new Int32Array(new SharedArrayBuffer(4));

/** Open connections by their port. */
const open = new Map();

function fault(code) {
  return Object.assign(new Error(code), { code });
}

function setBlock({ everyMs, forMs }) {
  clearInterval(blocking);
  if (forMs === 0) return;
  blocking = setInterval(() => Atomics.wait(never, 0, 0, forMs), everyMs).unref();
}

function readSettings() {
  let block;
  ({ stepMs, routes, lost, cut, block } = JSON.parse(
    readFileSync(process.env.GOLDCRESTDOCK_SOAK, 'utf8'),
  ));
  setBlock(block);
  const reset = cut?.how === 'refuse' ? (open.get(cut.port) ?? []) : [];
  for (const socket of reset) socket.destroy(fault('ECONNRESET'));
}

function track(socket, port) {
  if (!open.has(port)) open.set(port, new Set());
  open.get(port).add(socket);
  socket.once('close', () => open.get(port).delete(socket));
}

readSettings();
process.on('SIGUSR2', readSettings);

const realNow = Date.now;
Date.now = () => realNow() + stepMs;

const realConnect = net.Socket.prototype.connect;
net.Socket.prototype.connect = function connect(...args) {
  const [first] = Array.isArray(args[0]) ? args[0] : args;
  const target = Number(first?.port);
  if (cut !== undefined && target === cut.port) {
    // Node holds back what is written to a socket until it is connected.
    this.connecting = true;
    if (cut.how === 'refuse') process.nextTick(() => this.destroy(fault('ECONNREFUSED')));
    return this;
  }
  track(this, target);
  const route =
    first && typeof first === 'object' ? routes[`${first.host}:${first.port}`] : undefined;
  if (route === undefined) return realConnect.apply(this, args);
  const [host, port] = route.split(':');
  // A copy: agents of HTTP find the socket again by these options, and would keep it for ever.
  const redirected = { ...first, host, port: Number(port) };
  if (!Array.isArray(args[0])) return realConnect.call(this, redirected, ...args.slice(1));
  const normalized = Object.assign([...args[0]], { 0: redirected });
  // Node marks arguments that it has normalized with a symbol.
  for (const mark of Object.getOwnPropertySymbols(args[0])) normalized[mark] = args[0][mark];
  return realConnect.call(this, normalized);
};

const realSend = dgram.Socket.prototype.send;
dgram.Socket.prototype.send = function send(...args) {
  const host = args.findLast((arg) => typeof arg === 'string');
  if (lost.includes(host)) return undefined;
  return realSend.apply(this, args);
};
