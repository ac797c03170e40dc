/** Request ids. They contain the address of the gateway that holds the request, so that any process can contact it. */

const GATEWAY_SEPARATOR = '~';
const RUN_SEPARATOR = '.';

/** Id of a request; `sequence` must be unique per gateway, also across restarts. */
export function requestId(gateway: string, sequence: string): string {
  return `${gateway}${GATEWAY_SEPARATOR}${sequence}`;
}

/** Address of the gateway that holds a request; empty if the id has none. */
export function gatewayOf(id: string): string {
  return id.slice(0, Math.max(0, id.indexOf(GATEWAY_SEPARATOR)));
}

/** Id of one attempt on a runner; two attempts of a request never share one. */
export function runIdOf(id: string, attempt: number): string {
  return `${id}${RUN_SEPARATOR}${attempt}`;
}

/** Id of the request to which a run belongs; empty if the run id has none. */
export function requestOf(runId: string): string {
  return runId.slice(0, Math.max(0, runId.lastIndexOf(RUN_SEPARATOR)));
}
