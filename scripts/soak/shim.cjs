// Preloaded into a VM's process to inject clock and network faults. Reads the file named by
// GOLDCRESTDOCK_SOAK at the start and on each SIGUSR2. The file sets the offset of the wall clock,
// redirects connections to proxies, and lists hosts to which datagrams are dropped:
// `{"stepMs": 0, "routes": {"HOST:PORT": "HOST:PORT"}, "lost": ["HOST"]}`.
const dgram = require('node:dgram');
const { readFileSync } = require('node:fs');
const net = require('node:net');

let { stepMs, routes, lost } = { stepMs: 0, routes: {}, lost: [] };

function readSettings() {
  ({ stepMs, routes, lost } = JSON.parse(readFileSync(process.env.GOLDCRESTDOCK_SOAK, 'utf8')));
}

readSettings();
process.on('SIGUSR2', readSettings);

const realNow = Date.now;
Date.now = () => realNow() + stepMs;

const realConnect = net.Socket.prototype.connect;
net.Socket.prototype.connect = function connect(...args) {
  const [first] = Array.isArray(args[0]) ? args[0] : args;
  const route =
    first && typeof first === 'object' ? routes[`${first.host}:${first.port}`] : undefined;
  if (route !== undefined) {
    const [host, port] = route.split(':');
    Object.assign(first, { host, port: Number(port) });
  }
  return realConnect.apply(this, args);
};

const realSend = dgram.Socket.prototype.send;
dgram.Socket.prototype.send = function send(...args) {
  const host = args.findLast((arg) => typeof arg === 'string');
  if (lost.includes(host)) return undefined;
  return realSend.apply(this, args);
};
