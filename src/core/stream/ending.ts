/** Which evidence makes an answer complete whose end is marked by the close of its connection alone. */

/** The bytes of a runner's answer that a tunnel passed on. */
export interface TunnelBytes {
  /** Bytes that arrived at the VM that asked for the tunnel. */
  readonly arrived: number;
  /** Bytes that the runner sent before it closed its connection; undefined if the forwarding VM does not tell. */
  readonly sent: number | undefined;
}

/** What is known of a connection that was closed without a reset. */
export interface CloseEvidence {
  /** Undefined if the connection was direct. */
  readonly tunnel: TunnelBytes | undefined;
  /** Whether the runner's process still ran after the close. */
  readonly isRunning: boolean;
}

/**
 * Whether the answer is complete. A process that is killed closes its connections as one does that has
 * sent its whole answer, so each process on the way must have shown that it still runs.
 */
export function isWholeByClose({ tunnel, isRunning }: CloseEvidence): boolean {
  return isRunning && (tunnel === undefined || tunnel.arrived === tunnel.sent);
}
