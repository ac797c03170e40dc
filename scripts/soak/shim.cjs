// Loaded into a VM's process before its program. By the file that GOLDCRESTDOCK_SOAK names, read at
// the start and at each SIGUSR2, it steps the time of day, has connections go by proxies, and loses
// datagrams: `{"stepMs": 0, "routes": {"HOST:PORT": "HOST:PORT"}, "lost": ["HOST"]}`.
const dgram = require('node:dgram');
const { readFileSync } = require('node:fs');
const net = require('node:net');

let { stepMs, routes, lost } = { stepMs: 0, routes: {}, lost: [] };

function read() {
  ({ stepMs, routes, lost } = JSON.parse(readFileSync(process.env.GOLDCRESTDOCK_SOAK, 'utf8')));
}

read();
process.on('SIGUSR2', read);

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
