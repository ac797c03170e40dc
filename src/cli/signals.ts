/** Signals that end a daemon. */

/** Ends the process after a graceful stop; a second signal ends it at once. */
export function stopOnSignal(stop: () => Promise<void>): void {
  let stopping = false;
  const onSignal = (): void => {
    if (stopping) process.exit(1);
    stopping = true;
    stop()
      .then(() => process.exit(0))
      .catch((error: Error) => {
        process.stderr.write(`${error.message}\n`);
        process.exit(1);
      });
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
}
