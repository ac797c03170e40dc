/** Handling of the signals that stop a daemon. */

/** Shuts the process down gracefully on SIGTERM or SIGINT; a second signal exits immediately with code 1. */
export function stopOnSignal(stop: () => Promise<void>): void {
  let isStopping = false;
  const onSignal = (): void => {
    if (isStopping) process.exit(1);
    isStopping = true;
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
