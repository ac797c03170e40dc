/** Request ids. They carry the address of the gateway that holds the request, so that anyone can ask it. */

const GATEWAY_MARK = '~';
const RUN_MARK = '.';

/** Id of a request; `sequence` must be unique for the gateway, restarts included. */
export function requestId(gateway: string, sequence: string): string {
  return `${gateway}${GATEWAY_MARK}${sequence}`;
}

/** Address of the gateway that holds a request. */
export function gatewayOf(id: string): string {
  return id.slice(0, Math.max(0, id.indexOf(GATEWAY_MARK)));
}

/** Id of one attempt on a runner; two attempts of a request never share one. */
export function runIdOf(id: string, attempt: number): string {
  return `${id}${RUN_MARK}${attempt}`;
}

/** The request to which a run belongs. */
export function requestOf(runId: string): string {
  return runId.slice(0, Math.max(0, runId.lastIndexOf(RUN_MARK)));
}
