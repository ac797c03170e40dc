// Preloaded into a process: sends it the signals that SIGNAL_SELF names, at a moment of its start.
// `{"signals": ["SIGTERM"], "at": "40 modules"}` sends them when it requires its 40th module, `"settings"`
// when it reads its settings, and `"10 ms"` 10 ms after it was loaded.
const fs = require('node:fs');
const Module = require('node:module');

const { signals, at } = JSON.parse(process.env.SIGNAL_SELF ?? '{"signals":[],"at":""}');
const [count, unit] = at.split(' ');
const { _load: load } = Module;
const { readFileSync } = fs;
let moduleCount = 0;

function send() {
  signals.forEach((signal) => process.kill(process.pid, signal));
}

if (unit === 'ms') setTimeout(send, Number(count));

Object.assign(Module, {
  _load: (...args) => {
    moduleCount += 1;
    if (unit === 'modules' && moduleCount === Number(count)) send();
    return load.apply(Module, args);
  },
});

fs.readFileSync = (path, ...rest) => {
  if (at === 'settings' && path === process.env.GOLDCRESTDOCK_CONFIG) {
    fs.readFileSync = readFileSync;
    send();
  }
  return readFileSync(path, ...rest);
};
