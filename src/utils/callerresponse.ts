/** Responses whose last headers are chosen as they begin. */

import type { IncomingMessage, OutgoingHttpHeaders } from 'node:http';
import { ServerResponse } from 'node:http';

/** A response to a caller. */
export class CallerResponse<
  Request extends IncomingMessage = IncomingMessage,
> extends ServerResponse<Request> {
  #chooseHeaders: (() => Readonly<Record<string, string>>) | undefined;

  /** Sets what chooses the headers to add. */
  addAtBegin(choose: () => Readonly<Record<string, string>>): void {
    this.#chooseHeaders = choose;
  }

  override writeHead(status: number, ...rest: readonly unknown[]): this {
    const added = this.#chooseHeaders?.() ?? {};
    const headers = rest.at(-1);
    if (Array.isArray(headers)) {
      const all = [...(headers as string[]), ...Object.entries(added).flat()];
      return super.writeHead(status, ...(rest.slice(0, -1) as []), all);
    }
    Object.entries(added).forEach(([name, value]) => this.setHeader(name, value));
    return super.writeHead(status, ...(rest as [OutgoingHttpHeaders]));
  }
}
