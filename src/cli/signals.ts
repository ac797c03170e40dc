/** Handling of the signals that stop a daemon or reload its settings. */

import { setImmediate as nextTurn } from 'node:timers/promises';
import { isatty } from 'node:tty';

/** File descriptor of the standard input. */
const STDIN = 0;

/** What a running daemon does on signals. */
export interface Daemon {
  /** Shuts down gracefully. */
  readonly stop: () => Promise<void>;
  /** Reads the settings again. Default: SIGHUP is ignored. */
  readonly reload?: () => void;
}

/**
 * Signals to this process. SIGTERM and SIGINT shut the daemon down; while it does, further signals
 * change nothing, except that SIGINT from a terminal exits immediately with code 1. SIGHUP reloads
 * the settings. Signals that arrive before the daemon runs are remembered until it does.
 */
export class DaemonSignals {
  #daemon: Daemon | undefined;

  #isStopping = false;

  #isReloadRequested = false;

  /** Handles signals from now on. */
  constructor() {
    process.on('SIGTERM', () => this.#requestStop());
    process.on('SIGINT', () => {
      if (this.#isStopping && isatty(STDIN)) process.exit(1);
      this.#requestStop();
    });
    process.on('SIGHUP', () => {
      this.#isReloadRequested = true;
      this.#handle();
    });
  }

  /** Starts a daemon, unless a signal stopped it while the program was loaded. */
  async run(start: () => Promise<Daemon>): Promise<void> {
    // The program is loaded in one turn of the event loop; signals are delivered at its end.
    await nextTurn();
    if (this.#isStopping) process.exit(0);
    this.#daemon = await start();
    this.#handle();
  }

  #requestStop(): void {
    this.#isStopping = true;
    this.#handle();
  }

  #handle(): void {
    const daemon = this.#daemon;
    if (!daemon) return;
    if (this.#isReloadRequested) daemon.reload?.();
    this.#isReloadRequested = false;
    if (!this.#isStopping) return;
    this.#daemon = undefined;
    daemon
      .stop()
      .then(() => process.exit(0))
      .catch((error: Error) => {
        process.stderr.write(`${error.message}\n`);
        process.exit(1);
      });
  }
}

let signals: DaemonSignals | undefined;

/** The signals to this process, which are handled from the first call on. */
export function daemonSignals(): DaemonSignals {
  signals ??= new DaemonSignals();
  return signals;
}
